//! Follows the cache contents of the engines.
//!
//! Nodes follow the engines of their own zone, which causes no traffic between zones. The
//! first follower of an engine reports its evictions to all other nodes. Engines of a zone
//! without any node are followed by nodes of other zones.

use super::first_answers::FirstAnswerLimit;
use super::follow_duty::follow_duty;
use super::{ask_for_events, events_connection, refused_pause_ms, EventWait, RETRY_MS};
use crate::beliefs::{ActiveConfiguration, Beliefs};
use crate::engine_paths::connect::{connect_engine, Unconnected};
use crate::http_call::CallConnection;
use crate::peers::roles::role;
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_balancing::cache_followers::{
    max_feeds, within_budget, Assignment, FollowDuty, FollowingNodes,
};
use ploverlift_balancing::catalogue::{Engine, InstanceId};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::peer_loads::{EngineTag, ZoneTag};
use ploverlift_policy::ids::{Millis, ZoneName};
use smol::Task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Period at which the assignment of engines is renewed, in milliseconds.
const CHECK_PERIOD_MS: u64 = 500;
/// Time limits of calls for events: a running engine answers within them, so the feed soon
/// detects an engine that no longer answers at all.
const EVENT_WAIT: EventWait = EventWait {
    hold_ms: 400,
    slack_ms: 350,
};
/// Pause between two calls, in milliseconds, so that events arrive in batches.
const BATCH_PERIOD_MS: u64 = 100;

/// An engine whose events this node follows.
#[derive(Clone, Debug)]
pub struct FollowedEngine {
    /// The engine's incarnation.
    pub instance: InstanceId,
    tag: EngineTag,
    address: SocketAddr,
    zone: ZoneName,
}

/// Follows engines until the task is dropped.
pub async fn follow_engine_caches(gateway: Arc<Gateway>) {
    let mut feeds: HashMap<InstanceId, Task<()>> = HashMap::new();
    let first_answers = Arc::new(FirstAnswerLimit::of(&gateway.settings().node));
    loop {
        let wanted = engines_to_follow(&gateway, gateway.clock.now());
        let before = feeds.len();
        feeds.retain(|instance, _| wanted.iter().any(|engine| engine.instance == *instance));
        let given_up = before - feeds.len();
        let begun = wanted.len() - feeds.len();
        for engine in wanted {
            let instance = engine.instance.clone();
            let (gateway, first_answers) = (&gateway, &first_answers);
            feeds.entry(instance).or_insert_with(|| {
                let (gateway, first_answers) = (Arc::clone(gateway), Arc::clone(first_answers));
                smol::spawn(follow_engine(gateway, first_answers, engine))
            });
        }
        note_feeds(&gateway, begun, given_up, feeds.len());
        sleep(CHECK_PERIOD_MS).await;
    }
}

fn note_feeds(gateway: &Gateway, begun: usize, given_up: usize, followed: usize) {
    gateway.metrics.followed_caches.set(followed as i64);
    gateway.metrics.begun_cache_feeds.inc_by(begun as u64);
    if begun > 0 || given_up > 0 {
        let now = gateway.clock.now();
        let nodes = match follow_duty(gateway, now) {
            FollowDuty::Shared(nodes) => nodes.near.len() + 1,
            FollowDuty::Kept | FollowDuty::Nothing => 0,
        };
        slog::info!(gateway.log, "cache feeds";
            "begun" => begun, "given_up" => given_up, "followed" => followed,
            "zone_nodes" => nodes, "role" => role(gateway, now).name());
    }
}

/// Reassigns the engines that this node follows and returns them.
pub fn engines_to_follow(gateway: &Gateway, now: Millis) -> Vec<FollowedEngine> {
    let settings = gateway.settings();
    let duty = match settings.cache.follow_engines {
        true => follow_duty(gateway, now),
        false => FollowDuty::Nothing,
    };
    let mut beliefs = gateway.beliefs();
    let assigned = match &duty {
        FollowDuty::Shared(nodes) => {
            let assigned = assigned_among(nodes, &beliefs);
            within_budget(assigned, max_feeds(settings.node.cpu_cores))
        }
        FollowDuty::Kept => beliefs.engine_caches.assignments().clone(),
        FollowDuty::Nothing => HashMap::new(),
    };
    let known = assigned
        .keys()
        .filter_map(|tag| beliefs.engines.by_tag(*tag));
    let followed = known.map(|engine| FollowedEngine {
        instance: engine.record.instance.clone(),
        tag: engine.tag,
        address: engine.record.address,
        zone: engine.record.zone.clone(),
    });
    let followed = followed.collect();
    beliefs.engine_caches.assign(assigned);
    followed
}

/// The engines assigned to this node among the following nodes.
fn assigned_among(nodes: &FollowingNodes, beliefs: &Beliefs) -> HashMap<EngineTag, Assignment> {
    let configuration = beliefs.configuration.as_deref();
    let engines = beliefs.engines.iter();
    let assigned = engines.filter_map(|engine| {
        let zone = ZoneTag::of(&engine.record.zone);
        let followers = max_followers(configuration, engine);
        let assignment = nodes.assignment(engine.tag, zone, followers)?;
        Some((engine.tag, assignment))
    });
    assigned.collect()
}

/// Maximum number of concurrent event calls to an engine.
fn max_followers(configuration: Option<&ActiveConfiguration>, engine: &Engine) -> usize {
    let services = configuration.map(|known| &known.document.services);
    let service = services.and_then(|services| services.get(&engine.record.service));
    let calls = service.and_then(|service| service.max_event_calls);
    calls.unwrap_or(0) as usize
}

async fn follow_engine(
    gateway: Arc<Gateway>,
    first_answers: Arc<FirstAnswerLimit>,
    engine: FollowedEngine,
) {
    let mut connection = events_connection(&gateway, engine.address);
    let mut is_followed = false;
    loop {
        let next = gateway
            .beliefs()
            .engine_caches
            .of(engine.tag)
            .map(|kept| kept.next());
        let permit = match next {
            Some(_) => None,
            None => Some(first_answers.permit().await),
        };
        let position = next.unwrap_or(0);
        let answered = match open_feed(&gateway, &engine, &mut connection).await {
            Ok(()) => {
                let zone = &engine.zone;
                ask_for_events(&gateway, &mut connection, position, zone, EVENT_WAIT).await
            }
            Err(unconnected) => Err(unconnected.error),
        };
        let bytes = answered.as_ref().map_or(0, |answered| answered.bytes);
        let pause_ms = match answered.map(|answered| answered.answer) {
            Ok(CacheAnswer::Events(batch)) => {
                take_events(&gateway, &engine, &batch);
                note_followed(&gateway, &engine, &mut is_followed, true);
                BATCH_PERIOD_MS
            }
            Ok(CacheAnswer::TooManyCalls) => {
                stop_following(&gateway, &engine, &mut is_followed);
                refused_pause_ms()
            }
            Ok(CacheAnswer::Invalid) => {
                connection.reset();
                stop_following(&gateway, &engine, &mut is_followed);
                RETRY_MS
            }
            Err(error) => {
                connection.reset();
                if is_followed {
                    slog::info!(gateway.log, "engine cache not read";
                        "engine" => &engine.instance.0, "error" => error.to_string());
                }
                stop_following(&gateway, &engine, &mut is_followed);
                eject(&gateway, &engine);
                RETRY_MS
            }
        };
        if let Some(permit) = permit {
            permit.release_after(bytes).await;
        }
        sleep(pause_ms).await;
    }
}

/// Opens the connection for calls, by the path that works, unless it is open.
async fn open_feed(
    gateway: &Arc<Gateway>,
    engine: &FollowedEngine,
    connection: &mut CallConnection,
) -> Result<(), Unconnected> {
    if connection.is_open() {
        return Ok(());
    }
    let timeout_ms = gateway.settings().attempts.connect_timeout_ms;
    let connecting = connect_engine(gateway, &engine.instance, engine.address, timeout_ms);
    connection.use_stream(connecting.await?.stream);
    Ok(())
}

fn take_events(gateway: &Gateway, engine: &FollowedEngine, batch: &CacheEvents) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let evicted = beliefs.engine_caches.follow(engine.tag).apply(batch);
    if evicted.is_empty() {
        return;
    }
    let assignment = beliefs.engine_caches.assignment(engine.tag);
    let is_reporter = assignment.is_some_and(Assignment::reports_evictions);
    beliefs
        .holders
        .note_dropped(&evicted, engine.tag, is_reporter, now);
}

fn stop_following(gateway: &Gateway, engine: &FollowedEngine, is_followed: &mut bool) {
    gateway.beliefs().engine_caches.forget(engine.tag);
    note_followed(gateway, engine, is_followed, false);
}

/// Ejects an engine that does not answer calls for events, before requests detect it one by
/// one, each after its own time-out.
fn eject(gateway: &Gateway, engine: &FollowedEngine) {
    gateway.note_outcome(&engine.instance, Outcome::Unreachable);
}

fn note_followed(gateway: &Gateway, engine: &FollowedEngine, is_followed: &mut bool, is_now: bool) {
    let was_followed = std::mem::replace(is_followed, is_now);
    if was_followed != is_now {
        slog::info!(gateway.log, "engine cache";
            "engine" => &engine.instance.0, "followed" => is_now);
    }
}
