//! Following what engines and KV cache stores hold.
//!
//! Each of them tells changes to those who ask, and holds a call until there are
//! some. A call that fails costs hits and never an answer: without a feed the
//! node relies on where prompts were sent.

pub mod call_pacing;
mod engines;
mod first_answers;
mod follow_duty;
mod store;

pub use engines::{engines_to_follow, follow_engine_caches, FollowedEngine};
pub use store::{cache_stores, follow_cache_stores};

use crate::http_call::{CallConnection, CallError};
use crate::ports::CacheAnswer;
use crate::state::Gateway;
use ploverlift_policy::ids::ZoneName;

/// Shortest pause after there was no room for the call, in milliseconds.
const MIN_REFUSED_PAUSE_MS: u64 = 4_000;
/// Pause after a call that failed, in milliseconds.
const RETRY_MS: u64 = 400;

/// How long calls for events may take.
#[derive(Clone, Copy)]
struct EventWait {
    /// How long a call is held where there are no events, in milliseconds.
    hold_ms: u64,
    /// Longest wait for an answer beyond it, in milliseconds.
    slack_ms: u64,
}

/// An answer to a call for events.
struct EventsAnswer {
    answer: CacheAnswer,
    /// The size of its body.
    bytes: usize,
}

/// Asks an engine or a store in a zone for the events after a position.
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

/// The pause after there was no room for a call, in milliseconds.
fn refused_pause_ms() -> u64 {
    fastrand::u64(MIN_REFUSED_PAUSE_MS..2 * MIN_REFUSED_PAUSE_MS)
}
