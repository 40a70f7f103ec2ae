//! Follows what the KV cache store holds.
//!
//! Without it each node would save each shared prompt anew, and the saves alone
//! would fill the store's link.

use super::{ask_for_events, refused_pause_ms, EventWait, RETRY_MS};
use crate::beliefs::{ActiveConfiguration, CacheStoreState};
use crate::http_call::CallConnection;
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use crate::time::sleep;
use ploverlift_policy::ids::ZoneName;
use ploverlift_routing::configuration::CacheStore;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long calls for events may take.
const WAIT: EventWait = EventWait {
    held_ms: 1_000,
    slack_ms: 500,
};
/// Pause between two calls, in milliseconds, so that events come in batches.
const GATHER_MS: u64 = 60;

/// The KV cache store that nodes of a zone use: one in the zone where there
/// is one.
pub fn cache_store<'a>(
    configuration: &'a ActiveConfiguration,
    zone: &ZoneName,
) -> Option<&'a CacheStore> {
    let services = configuration.document.services.values();
    let stores = services.filter_map(|service| service.cache_store.as_ref());
    stores.max_by_key(|store| store.zone == *zone)
}

/// Follows the store until the task is dropped.
pub async fn follow_cache_store(gateway: Arc<Gateway>) {
    let mut followed: Option<(SocketAddr, CallConnection)> = None;
    loop {
        let configuration = gateway.configuration();
        let store = configuration
            .as_deref()
            .and_then(|known| cache_store(known, &gateway.zone));
        let Some(store) = store else {
            sleep(RETRY_MS).await;
            continue;
        };
        let is_known = followed
            .as_ref()
            .is_some_and(|(known, _)| *known == store.address);
        if !is_known {
            followed = Some((store.address, CallConnection::new(store.address)));
            gateway.beliefs().cache.contents.forget();
            note_state(&gateway, CacheStoreState::Lost);
        }
        let Some((_, connection)) = followed.as_mut() else {
            continue;
        };
        match poll(&gateway, connection).await {
            CacheStoreState::Followed => sleep(GATHER_MS).await,
            CacheStoreState::Unobserved => sleep(refused_pause_ms()).await,
            CacheStoreState::Lost => {
                connection.reset();
                sleep(RETRY_MS).await;
            }
        }
    }
}

/// Asks for events, and takes in what the answer shows.
async fn poll(gateway: &Gateway, connection: &mut CallConnection) -> CacheStoreState {
    let since = gateway.beliefs().cache.contents.next();
    match ask_for_events(gateway, connection, since, WAIT).await {
        Ok(CacheAnswer::Events(batch)) => {
            gateway.beliefs().cache.contents.apply(&batch);
            note_state(gateway, CacheStoreState::Followed)
        }
        Ok(CacheAnswer::TooManyCalls) => note_state(gateway, CacheStoreState::Unobserved),
        Ok(CacheAnswer::Invalid) | Err(_) => {
            gateway.beliefs().cache.contents.forget();
            note_state(gateway, CacheStoreState::Lost)
        }
    }
}

fn note_state(gateway: &Gateway, state: CacheStoreState) -> CacheStoreState {
    let known = std::mem::replace(&mut gateway.beliefs().cache.state, state);
    if known != state {
        match state {
            CacheStoreState::Followed => slog::info!(gateway.log, "cache store followed"),
            CacheStoreState::Unobserved => slog::info!(gateway.log, "cache store not observed"),
            CacheStoreState::Lost => slog::warn!(gateway.log, "cache store lost"),
        }
    }
    state
}
