//! How nodes share the calls for events that a KV cache store holds at once.
//!
//! Nodes do not speak of it: each rests so long between two calls that the calls of
//! all fit. Where that would be too long, relays alone call.

use std::time::Duration;

/// How long a call is held where there are no events: no shorter than what a store
/// takes for a probe.
pub const HOLD_TIME: Duration = Duration::from_millis(250);
/// Shortest pause between two calls, so that events come in batches.
const MIN_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between two calls of each node, with which all nodes call.
const MAX_PAUSE_FOR_ALL: Duration = Duration::from_millis(2_000);
/// Part of the calls that a store holds at once that the nodes' turns fill.
const USED_CALLS_SHARE: f64 = 0.8;
/// Calls that a store holds at once where the configuration does not tell.
const DEFAULT_CALLS: u32 = 12;
/// Refused calls after which the pause is longest: 16 times as long.
const MAX_DOUBLINGS: u32 = 4;
/// Part of a pause by which it is drawn longer or shorter, so that nodes that started
/// together do not call together.
const JITTER: f64 = 0.2;

/// Nodes that may call a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Nodes of the store's region.
    pub near: usize,
    /// Relays of other regions.
    pub far_relays: usize,
    /// Relays of all zones; 0 in a fleet without any.
    pub relays: usize,
}

/// Who calls a store, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPacing {
    /// Whether the store has too few calls for the nodes of its region, so that relays
    /// alone call.
    pub are_relays_alone: bool,
    /// Pause of a node between two calls.
    pub pause: Duration,
}

impl CallPacing {
    /// CallPacing of these callers at a store that holds so many calls at once.
    pub fn of(callers: Callers, calls: Option<u32>) -> Self {
        let for_all = pause(callers.near + callers.far_relays, calls);
        let are_relays_alone = for_all > MAX_PAUSE_FOR_ALL && callers.relays > 0;
        Self {
            are_relays_alone,
            pause: match are_relays_alone {
                true => pause(callers.relays, calls),
                false => for_all,
            },
        }
    }

    /// The pause after so many refused calls in a row; `draw` is in 0 to 1.
    pub fn pause_after(&self, refused: u32, random_unit: f64) -> Duration {
        let doubled = self.pause * 2_u32.pow(refused.min(MAX_DOUBLINGS));
        doubled.mul_f64(1.0 - JITTER + 2.0 * JITTER * random_unit)
    }
}

/// The pause with which the calls of all callers fit, if each is held to its end.
fn pause(callers: usize, calls: Option<u32>) -> Duration {
    let calls = f64::from(calls.unwrap_or(DEFAULT_CALLS).max(1)) * USED_CALLS_SHARE;
    let turns = (callers as f64 / calls - 1.0).max(0.0);
    HOLD_TIME.mul_f64(turns).max(MIN_PAUSE)
}
