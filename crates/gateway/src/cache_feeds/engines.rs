//! Follows what the engines keep, as far as they have room for this node's calls.

use super::{ask_for_events, refused_pause_ms, RETRY_MS};
use crate::http_call::CallConnection;
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::catalogue::{Engine, InstanceId};
use ploverlift_balancing::engine_caches::is_follower;
use ploverlift_balancing::peer_loads::{EngineTag, PeerId};
use smol::Task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two looks at which engines are to be followed, in milliseconds.
const LOOK_PERIOD_MS: u64 = 500;
/// Pause between two calls, in milliseconds, so that events come in batches.
const GATHER_MS: u64 = 100;

/// An engine whose events are to be followed.
#[derive(Clone, Debug)]
struct FollowedEngine {
    instance: InstanceId,
    tag: EngineTag,
    address: SocketAddr,
}

/// Follows engines until the task is dropped.
pub async fn follow_engine_caches(gateway: Arc<Gateway>) {
    let mut feeds: HashMap<InstanceId, Task<()>> = HashMap::new();
    loop {
        let wanted = engines_to_follow(&gateway);
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

fn engines_to_follow(gateway: &Gateway) -> Vec<FollowedEngine> {
    let own = PeerId::of(&gateway.settings().node.name);
    let beliefs = gateway.beliefs();
    let Some(configuration) = beliefs.configuration.as_ref() else {
        return Vec::new();
    };
    let services = &configuration.document.services;
    let is_wanted = |engine: &&Engine| {
        let service = services.get(&engine.record.service);
        let limit = service.and_then(|service| service.max_event_calls);
        limit.is_some_and(|limit| {
            is_follower(own, beliefs.peer_loads.peers(), engine.tag, limit as usize)
        })
    };
    let wanted = beliefs.engines.iter().filter(is_wanted);
    let followed = wanted.map(|engine| FollowedEngine {
        instance: engine.record.instance.clone(),
        tag: engine.tag,
        address: engine.record.address,
    });
    followed.collect()
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
        let answer = ask_for_events(&gateway, &mut connection, next.unwrap_or(0)).await;
        let pause_ms = match answer {
            Ok(CacheAnswer::Events(batch)) => {
                let mut beliefs = gateway.beliefs();
                beliefs.engine_caches.follow(engine.tag).apply(&batch);
                note_followed(&gateway, &engine, &mut is_followed, true);
                GATHER_MS
            }
            Ok(CacheAnswer::TooManyCalls) => {
                stop_relying(&gateway, &engine, &mut is_followed);
                refused_pause_ms()
            }
            Ok(CacheAnswer::Invalid) | Err(_) => {
                connection.reset();
                stop_relying(&gateway, &engine, &mut is_followed);
                RETRY_MS
            }
        };
        sleep(pause_ms).await;
    }
}

fn stop_relying(gateway: &Gateway, engine: &FollowedEngine, is_followed: &mut bool) {
    gateway.beliefs().engine_caches.forget(engine.tag);
    note_followed(gateway, engine, is_followed, false);
}

fn note_followed(gateway: &Gateway, engine: &FollowedEngine, is_followed: &mut bool, is_now: bool) {
    let was_followed = std::mem::replace(is_followed, is_now);
    if was_followed != is_now {
        slog::info!(gateway.log, "engine cache";
            "engine" => &engine.instance.0, "followed" => is_now);
    }
}
