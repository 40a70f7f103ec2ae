//! Follows what the KV cache stores hold.
//!
//! Without it each node would save each shared prompt anew, and the saves alone
//! would fill a store's link.
//!
//! Events from another region are paid for: there only relays follow a store, and tell
//! the nodes of their zone ([`crate::peers::store_contents`]).
//!
//! A store holds a few calls for events at once, over all nodes. So the nodes take
//! turns: the more there are, the longer each rests between two calls.

use super::{ask_for_events, EventWait, RETRY_MS};
use crate::beliefs::ActiveConfiguration;
use crate::http_call::CallConnection;
use crate::peers::address_book::RELAYS_PER_ZONE;
use crate::peers::roles::{role, Role};
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::cache_stores::CacheStoreState;
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::topology::Distance;
use smol::Task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Time between two looks at which stores there are, in milliseconds.
const LOOK_PERIOD_MS: u64 = 400;
/// How long calls for events may take: held no longer than others may have to wait for
/// their turn, and no shorter than what a store takes for a probe.
const WAIT: EventWait = EventWait {
    held_ms: 250,
    slack_ms: 500,
};
/// Shortest pause between two calls, in milliseconds, so that events come in batches.
const GATHER_MS: u64 = 60;
/// Longest pause between two calls, in milliseconds: a store that is lost is noticed
/// within it.
const LONGEST_PAUSE_MS: u64 = 2_000;
/// Part of the calls that a store holds at once that the nodes' turns fill.
const CALLS_SHARE: f64 = 0.8;

/// The KV cache stores.
pub fn cache_stores(configuration: &ActiveConfiguration) -> impl Iterator<Item = &CacheStore> {
    let services = configuration.document.services.values();
    services.filter_map(|service| service.cache_store.as_ref())
}

/// Follows all stores until the task is dropped.
pub async fn follow_cache_stores(gateway: Arc<Gateway>) {
    let mut feeds: HashMap<SocketAddr, Task<()>> = HashMap::new();
    loop {
        let stores = configured_stores(&gateway);
        let is_configured = |address| stores.iter().any(|store| store.address == address);
        feeds.retain(|address, _| is_configured(*address));
        {
            let mut beliefs = gateway.beliefs();
            beliefs.cache_stores.retain(is_configured);
            beliefs.relaying.store_changes.retain(is_configured);
        }
        for store in stores {
            feeds
                .entry(store.address)
                .or_insert_with(|| smol::spawn(follow_store(Arc::clone(&gateway), store)));
        }
        sleep(LOOK_PERIOD_MS).await;
    }
}

fn configured_stores(gateway: &Gateway) -> Vec<CacheStore> {
    let configuration = gateway.configuration();
    let stores = configuration.as_deref().map(cache_stores);
    stores.into_iter().flatten().cloned().collect()
}

async fn follow_store(gateway: Arc<Gateway>, store: CacheStore) {
    let mut connection = CallConnection::new(store.address);
    loop {
        if is_told(&gateway, &store) {
            connection.reset();
            expire_told(&gateway, &store);
            sleep(RETRY_MS).await;
            continue;
        }
        let state = poll(&gateway, &store, &mut connection).await;
        let turn_ms = turn_ms(&gateway, &store);
        let pause_ms = match state {
            CacheStoreState::Followed => turn_ms,
            // Another node has this turn.
            CacheStoreState::Unobserved => turn_ms + fastrand::u64(0..=RETRY_MS),
            CacheStoreState::Lost => {
                connection.reset();
                RETRY_MS
            }
        };
        sleep(pause_ms).await;
    }
}

fn expire_told(gateway: &Gateway, store: &CacheStore) {
    let now = gateway.clock.now();
    let stores = &mut gateway.beliefs().cache_stores;
    stores.expire_told(store.address, now);
}

/// Whether relays tell this node what the store keeps.
fn is_told(gateway: &Gateway, store: &CacheStore) -> bool {
    is_far(gateway, store) && role(gateway, gateway.clock.now()) == Role::Follower
}

fn is_far(gateway: &Gateway, store: &CacheStore) -> bool {
    gateway.topology.distance(&gateway.zone, &store.zone) == Distance::OtherRegion
}

/// The pause between two calls with which the calls of all nodes fit those that the
/// store holds at once, in milliseconds.
fn turn_ms(gateway: &Gateway, store: &CacheStore) -> u64 {
    let nodes = callers_of_a_store(gateway);
    let calls = store.max_event_calls.map_or(f64::INFINITY, f64::from);
    let calls_for_each = calls * CALLS_SHARE / nodes as f64;
    let pause_ms = WAIT.held_ms as f64 * (1.0 / calls_for_each - 1.0);
    (pause_ms.max(0.0) as u64).clamp(GATHER_MS, LONGEST_PAUSE_MS)
}

/// Nodes that follow one store: those of its region and the relays of others.
fn callers_of_a_store(gateway: &Gateway) -> usize {
    let book = gateway.address_book();
    let all = book.listed_nodes().max(1);
    match book.has_relays() {
        true => {
            let in_region = all.div_ceil(gateway.topology.region_count());
            all.min(in_region + book.zones().len() * RELAYS_PER_ZONE)
        }
        false => all,
    }
}

/// Asks for events, and takes in what the answer shows.
async fn poll(
    gateway: &Gateway,
    store: &CacheStore,
    connection: &mut CallConnection,
) -> CacheStoreState {
    let since = {
        let mut beliefs = gateway.beliefs();
        beliefs.cache_stores.of_mut(store.address).contents().next()
    };
    let state = match ask_for_events(gateway, connection, since, &store.zone, WAIT).await {
        Ok(CacheAnswer::Events(batch)) => {
            let mut beliefs = gateway.beliefs();
            let belief = beliefs.cache_stores.of_mut(store.address);
            belief.contents_mut().apply(&batch);
            if is_far(gateway, store) {
                let changes = &mut beliefs.relaying.store_changes;
                changes.follow(store.address, &batch.events);
            }
            CacheStoreState::Followed
        }
        Ok(CacheAnswer::TooManyCalls) => CacheStoreState::Unobserved,
        Ok(CacheAnswer::Invalid) | Err(_) => CacheStoreState::Lost,
    };
    note_state(gateway, store, state);
    state
}

fn note_state(gateway: &Gateway, store: &CacheStore, state: CacheStoreState) {
    let mut beliefs = gateway.beliefs();
    let belief = beliefs.cache_stores.of_mut(store.address);
    let state = match (belief.state(), state) {
        // What was followed is known but for a turn.
        (CacheStoreState::Followed, CacheStoreState::Unobserved) => CacheStoreState::Followed,
        (_, state) => state,
    };
    let known = belief.note_state(state);
    drop(beliefs);
    if known == state {
        return;
    }
    let address = store.address.to_string();
    match state {
        CacheStoreState::Followed => {
            slog::info!(gateway.log, "cache store followed"; "address" => address);
        }
        CacheStoreState::Unobserved => {
            slog::info!(gateway.log, "cache store not observed"; "address" => address);
        }
        CacheStoreState::Lost => {
            slog::warn!(gateway.log, "cache store lost"; "address" => address);
        }
    }
}
