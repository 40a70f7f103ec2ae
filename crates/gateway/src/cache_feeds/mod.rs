//! Following the cache contents of engines and KV cache stores.
//!
//! Both report changes by long polling: a call is held until there are some. A failed call
//! costs cache hits but never an answer: without a feed, the node estimates the contents
//! from where prompts were sent.

pub mod call_pacing;
mod engines;
mod first_answers;
mod follow_duty;
mod store;

pub use engines::{engines_to_follow, follow_engine_caches, FollowedEngine};
pub use store::{cache_stores, follow_cache_stores};

use crate::answer_limits::ANSWER_LIMITS;
use crate::http_call::{CallConnection, CallError};
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use ploverlift_policy::ids::ZoneName;
use std::net::SocketAddr;
use std::sync::Arc;

/// Minimum pause after a call was refused because all event calls were in use, in milliseconds.
const MIN_REFUSED_PAUSE_MS: u64 = 4_000;
/// Pause after a failed call, in milliseconds.
const RETRY_MS: u64 = 400;

/// A connection for calls for events, not opened yet.
fn events_connection(gateway: &Gateway, address: SocketAddr) -> CallConnection {
    let memory = Arc::clone(&gateway.byte_budget.engine_calls);
    CallConnection::new(address, ANSWER_LIMITS.cache_events_bytes, memory)
}

/// Time limits of calls for events.
#[derive(Clone, Copy)]
struct EventWait {
    /// Time for which a call is held while there are no events, in milliseconds.
    hold_ms: u64,
    /// Maximum additional wait for the answer, in milliseconds.
    slack_ms: u64,
}

/// An answer to a call for events.
struct EventsAnswer {
    answer: CacheAnswer,
    /// Size of the body, in bytes.
    bytes: usize,
}

/// Requests the events after a position from an engine or a cache store in a zone.
async fn ask_for_events(
    gateway: &Gateway,
    connection: &mut CallConnection,
    position: u64,
    zone: &ZoneName,
    wait: EventWait,
) -> Result<EventsAnswer, CallError> {
    let head = gateway.site.cache_events_head(position, wait.hold_ms);
    let timeout_ms = wait.hold_ms + wait.slack_ms;
    let (head, body) = connection.call(head, &[], timeout_ms).await?;
    let distance = gateway.topology.distance(&gateway.zone, zone);
    gateway
        .metrics
        .count_event_bytes(distance, body.len() as u64);
    Ok(EventsAnswer {
        answer: gateway.site.read_cache_answer(&head, &body),
        bytes: body.len(),
    })
}

/// A random pause after a refused call, in milliseconds.
fn refused_pause_ms() -> u64 {
    fastrand::u64(MIN_REFUSED_PAUSE_MS..2 * MIN_REFUSED_PAUSE_MS)
}
