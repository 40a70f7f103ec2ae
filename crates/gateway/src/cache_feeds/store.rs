//! Follows the contents of the KV cache stores.
//!
//! Without it, each node would save each shared prompt again, and the saves alone would
//! saturate a store's link.
//!
//! Traffic from another region has a cost, so only relays follow a store of another region
//! and report its contents to the nodes of their zone ([`crate::peers::store_contents`]).
//!
//! A store accepts only a few concurrent calls for events, over all nodes. Therefore the more
//! nodes there are, the longer each pauses between two calls.

use super::call_pacing::{CallPacing, Callers, HOLD_TIME};
use super::{ask_for_events, events_connection, EventWait, RETRY_MS};
use crate::beliefs::ActiveConfiguration;
use crate::http_call::CallConnection;
use crate::peers::address_book::RELAYS_PER_ZONE;
use crate::peers::roles::{role, Role};
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_balancing::cache_contents::CacheEvents;
use ploverlift_balancing::cache_stores::CacheStoreState;
use ploverlift_balancing::peer_loads::ZoneTag;
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::topology::Distance;
use smol::Task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// Period of checks of the configured stores, in milliseconds.
const CHECK_PERIOD_MS: u64 = 400;
/// Maximum wait for an answer beyond the time for which a call is held, in milliseconds.
const SLACK_MS: u64 = 500;
/// Number of consecutive refused calls after which the known contents are no longer used.
const MAX_REFUSED_CALLS: u32 = 3;

/// The KV cache stores in a configuration.
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
        sleep(CHECK_PERIOD_MS).await;
    }
}

fn configured_stores(gateway: &Gateway) -> Vec<CacheStore> {
    let configuration = gateway.configuration();
    let stores = configuration.as_deref().map(cache_stores);
    stores.into_iter().flatten().cloned().collect()
}

async fn follow_store(gateway: Arc<Gateway>, store: CacheStore) {
    let mut connection = events_connection(&gateway, store.address);
    let mut refused = 0;
    loop {
        let call_pacing = call_pacing(&gateway, &store);
        if is_reported(&gateway, &store, &call_pacing) {
            connection.reset();
            expire_contents(&gateway, &store);
            sleep(RETRY_MS).await;
            continue;
        }
        let state = poll(&gateway, &store, &mut connection).await;
        refused = match state {
            CacheStoreState::Unobserved => refused + 1,
            _ => 0,
        };
        if state != CacheStoreState::Unobserved || refused >= MAX_REFUSED_CALLS {
            note_state(&gateway, &store, state);
        } else if is_lost(&gateway, &store) {
            note_state(&gateway, &store, CacheStoreState::Unobserved);
        }
        match state {
            CacheStoreState::Lost => {
                connection.reset();
                sleep(RETRY_MS).await;
            }
            _ => {
                let pause = call_pacing.pause_after(refused, fastrand::f64());
                sleep(pause.as_millis() as u64).await;
            }
        }
    }
}

fn is_lost(gateway: &Gateway, store: &CacheStore) -> bool {
    let beliefs = gateway.beliefs();
    let known = beliefs.cache_stores.of(store.address);
    known.is_none_or(|known| known.state() == CacheStoreState::Lost)
}

fn expire_contents(gateway: &Gateway, store: &CacheStore) {
    let now = gateway.clock.now();
    let stores = &mut gateway.beliefs().cache_stores;
    stores.expire_reported(store.address, now);
}

/// Whether relays report the contents of the store to this node.
fn is_reported(gateway: &Gateway, store: &CacheStore, call_pacing: &CallPacing) -> bool {
    let is_for_relays = call_pacing.are_relays_alone || is_far(gateway, store);
    is_for_relays && role(gateway, gateway.clock.now()) == Role::Follower
}

fn is_far(gateway: &Gateway, store: &CacheStore) -> bool {
    gateway.topology.distance(&gateway.zone, &store.zone) == Distance::OtherRegion
}

/// Which nodes call the store, and how often.
fn call_pacing(gateway: &Gateway, store: &CacheStore) -> CallPacing {
    let far: Vec<ZoneTag> = gateway
        .topology
        .zones_far_from(&store.zone)
        .map(ZoneTag::of)
        .collect();
    let book = gateway.address_book();
    let has_relays = book.has_relays();
    let relays = |nodes: usize| match has_relays {
        true => nodes.min(RELAYS_PER_ZONE),
        false => nodes,
    };
    let mut callers = Callers {
        near: 0,
        far_relays: 0,
        relays: 0,
    };
    for (zone, nodes) in book.nodes_by_zone() {
        match far.contains(&zone) {
            true => callers.far_relays += relays(nodes),
            false => callers.near += nodes,
        }
        if has_relays {
            callers.relays += relays(nodes);
        }
    }
    CallPacing::of(callers, store.max_event_calls)
}

/// Requests events and applies the answer.
async fn poll(
    gateway: &Gateway,
    store: &CacheStore,
    connection: &mut CallConnection,
) -> CacheStoreState {
    let position = {
        let mut beliefs = gateway.beliefs();
        beliefs.cache_stores.of_mut(store.address).contents().next()
    };
    let wait = EventWait {
        hold_ms: HOLD_TIME.as_millis() as u64,
        slack_ms: SLACK_MS,
    };
    let answered = ask_for_events(gateway, connection, position, &store.zone, wait).await;
    match answered.map(|answered| answered.answer) {
        Ok(CacheAnswer::Events(batch)) => {
            take_events(gateway, store, &batch);
            CacheStoreState::Followed
        }
        Ok(CacheAnswer::TooManyCalls) => CacheStoreState::Unobserved,
        Ok(CacheAnswer::Invalid) | Err(_) => CacheStoreState::Lost,
    }
}

fn take_events(gateway: &Gateway, store: &CacheStore, batch: &CacheEvents) {
    let call_pacing = call_pacing(gateway, store);
    let mut beliefs = gateway.beliefs();
    let contents = beliefs.cache_stores.of_mut(store.address).contents_mut();
    let is_reset = contents.epoch() != Some(batch.epoch) || batch.has_gap;
    contents.apply(batch);
    if call_pacing.are_relays_alone || is_far(gateway, store) {
        let changes = &mut beliefs.relaying.store_changes;
        changes.note_events(store.address, &batch.events, is_reset);
    }
}

fn note_state(gateway: &Gateway, store: &CacheStore, state: CacheStoreState) {
    let mut beliefs = gateway.beliefs();
    let belief = beliefs.cache_stores.of_mut(store.address);
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
