//! Follows what the engines keep.
//!
//! Nodes follow the engines of their own zone: calls within a zone cost no bytes
//! between zones. The first follower of an engine tells all other nodes what the
//! engine has dropped. Engines of a zone without any node are followed from
//! elsewhere.

use super::{ask_for_events, refused_pause_ms, EventWait, RETRY_MS};
use crate::beliefs::Beliefs;
use crate::http_call::CallConnection;
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_balancing::catalogue::{Engine, InstanceId};
use ploverlift_balancing::engine_caches::{follower_rank, FOLLOWERS};
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId, ZoneTag};
use ploverlift_policy::ids::{Millis, ZoneName};
use smol::Task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two looks at which engines are to be followed, in milliseconds.
const LOOK_PERIOD_MS: u64 = 500;
/// How long calls for events may take: a live engine answers within it, so the feed
/// shows soon that an engine no longer answers at all.
const WAIT: EventWait = EventWait {
    held_ms: 400,
    slack_ms: 350,
};
/// Pause between two calls, in milliseconds, so that events come in batches.
const GATHER_MS: u64 = 100;
/// Time from the start after which engines of zones without any node are followed,
/// in milliseconds: before it, the other nodes were not heard of yet.
const FAR_AFTER_MS: u64 = 3_000;

/// An engine whose events are to be followed.
#[derive(Clone, Debug)]
pub struct FollowedEngine {
    /// Its life.
    pub instance: InstanceId,
    tag: EngineTag,
    address: SocketAddr,
    zone: ZoneName,
}

/// Follows engines until the task is dropped.
pub async fn follow_engine_caches(gateway: Arc<Gateway>) {
    let mut feeds: HashMap<InstanceId, Task<()>> = HashMap::new();
    loop {
        let wanted = engines_to_follow(&gateway, gateway.clock.now());
        feeds.retain(|instance, _| wanted.iter().any(|engine| engine.instance == *instance));
        forget_others(&gateway, &wanted);
        for engine in wanted {
            let instance = engine.instance.clone();
            feeds
                .entry(instance)
                .or_insert_with(|| smol::spawn(follow_engine(Arc::clone(&gateway), engine)));
        }
        sleep(LOOK_PERIOD_MS).await;
    }
}

/// The engines that this node follows now.
pub fn engines_to_follow(gateway: &Gateway, now: Millis) -> Vec<FollowedEngine> {
    let uptime_ms = now.since(gateway.started_at);
    if !gateway.settings().cache.follow_engines {
        return Vec::new();
    }
    let beliefs = gateway.beliefs();
    let Some(configuration) = beliefs.configuration.as_ref() else {
        return Vec::new();
    };
    let services = &configuration.document.services;
    let is_wanted = |engine: &&Engine| {
        let service = services.get(&engine.record.service);
        let calls = service.and_then(|service| service.max_event_calls);
        let followers = FOLLOWERS.min(calls.unwrap_or(0) as usize);
        let rank = own_rank(gateway, &beliefs, engine, uptime_ms);
        rank.is_some_and(|rank| rank < followers)
    };
    let wanted = beliefs.engines.iter().filter(is_wanted);
    let followed = wanted.map(|engine| FollowedEngine {
        instance: engine.record.instance.clone(),
        tag: engine.tag,
        address: engine.record.address,
        zone: engine.record.zone.clone(),
    });
    followed.collect()
}

/// The place of this node among those that may follow an engine; nothing when it
/// may not.
fn own_rank(
    gateway: &Gateway,
    beliefs: &Beliefs,
    engine: &Engine,
    uptime_ms: u64,
) -> Option<usize> {
    let own = PeerId::of(&gateway.settings().node.name);
    let zone = ZoneTag::of(&engine.record.zone);
    let relayed = &beliefs.peer_loads.relayed;
    if relayed.is_heard() {
        let members = relayed.members().iter().copied();
        let others = members.filter(|member| *member != own);
        let is_orphan = !relayed.has_nodes(zone) && uptime_ms >= FAR_AFTER_MS;
        let may_follow = engine.record.zone == gateway.zone || is_orphan;
        return may_follow.then(|| follower_rank(own, others, engine.tag));
    }
    let peers = || beliefs.peer_loads.peers();
    if engine.record.zone == gateway.zone {
        let near = peers().filter(|(_, peer_zone)| *peer_zone == zone);
        return Some(follower_rank(own, near.map(|(peer, _)| peer), engine.tag));
    }
    let has_nodes = peers().any(|(_, peer_zone)| peer_zone == zone);
    if has_nodes || uptime_ms < FAR_AFTER_MS {
        return None;
    }
    let all = peers().map(|(peer, _)| peer);
    Some(follower_rank(own, all, engine.tag))
}

/// Forgets what engines keep that are gone or that other nodes follow from now on.
fn forget_others(gateway: &Gateway, wanted: &[FollowedEngine]) {
    let mut beliefs = gateway.beliefs();
    let is_wanted = |tag| wanted.iter().any(|engine| engine.tag == tag);
    beliefs.engine_caches.retain(is_wanted);
    let followed = beliefs.engine_caches.len();
    gateway.metrics.followed_caches.set(followed as i64);
}

async fn follow_engine(gateway: Arc<Gateway>, engine: FollowedEngine) {
    let mut connection = CallConnection::new(engine.address);
    let mut is_followed = false;
    loop {
        let next = gateway
            .beliefs()
            .engine_caches
            .of(engine.tag)
            .map(|kept| kept.next());
        let answer = ask_for_events(
            &gateway,
            &mut connection,
            next.unwrap_or(0),
            &engine.zone,
            WAIT,
        )
        .await;
        let pause_ms = match answer {
            Ok(CacheAnswer::Events(batch)) => {
                take_events(&gateway, &engine, &batch);
                note_followed(&gateway, &engine, &mut is_followed, true);
                GATHER_MS
            }
            Ok(CacheAnswer::TooManyCalls) => {
                stop_relying(&gateway, &engine, &mut is_followed);
                refused_pause_ms()
            }
            Ok(CacheAnswer::Invalid) => {
                connection.reset();
                stop_relying(&gateway, &engine, &mut is_followed);
                RETRY_MS
            }
            Err(_) => {
                connection.reset();
                stop_relying(&gateway, &engine, &mut is_followed);
                eject(&gateway, &engine);
                RETRY_MS
            }
        };
        sleep(pause_ms).await;
    }
}

fn take_events(gateway: &Gateway, engine: &FollowedEngine, batch: &CacheEvents) {
    let now = gateway.clock.now();
    let mut beliefs = gateway.beliefs();
    let dropped = beliefs.engine_caches.follow(engine.tag).apply(batch);
    if dropped.is_empty() {
        return;
    }
    let known = beliefs.engines.get(&engine.instance);
    let rank = known.and_then(|known| own_rank(gateway, &beliefs, known, FAR_AFTER_MS));
    let tells = rank == Some(0);
    beliefs
        .holders
        .note_dropped(&dropped, engine.tag, tells, now);
}

fn stop_relying(gateway: &Gateway, engine: &FollowedEngine, is_followed: &mut bool) {
    gateway.beliefs().engine_caches.forget(engine.tag);
    note_followed(gateway, engine, is_followed, false);
}

/// An engine that does not answer calls for events is ejected before requests
/// have to find out, one by one and each by its own time-out.
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
