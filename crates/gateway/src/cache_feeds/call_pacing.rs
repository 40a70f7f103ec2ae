//! How nodes share the limited number of concurrent event calls of a KV cache store.
//!
//! Nodes do not coordinate: each pauses between two calls for long enough that the calls of
//! all nodes fit. Where that pause would be too long, only relays call.

use std::time::Duration;

/// Time for which a call is held while there are no events: long enough that a store does not
/// take the call for a probe.
pub const HOLD_TIME: Duration = Duration::from_millis(250);
/// Minimum pause between two calls, so that events arrive in batches.
const MIN_PAUSE: Duration = Duration::from_millis(60);
/// Maximum pause of a node with which all nodes still call; beyond it, only relays do.
const MAX_PAUSE_FOR_ALL: Duration = Duration::from_millis(2_000);
/// Share of the concurrent calls of a store that the nodes use.
const USED_CALLS_SHARE: f64 = 0.8;
/// Concurrent calls of a store if the configuration does not specify them.
const DEFAULT_CALLS: u32 = 12;
/// Number of refused calls up to which the pause doubles, to at most 16 times its length.
const MAX_DOUBLINGS: u32 = 4;
/// Share of a pause by which it is randomly longer or shorter, so that nodes that started
/// together do not call at the same time.
const JITTER: f64 = 0.2;

/// Nodes that may call a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Callers {
    /// Number of nodes in the store's region.
    pub near: usize,
    /// Number of relays in other regions.
    pub far_relays: usize,
    /// Number of relays in all zones; 0 in a fleet without relays.
    pub relays: usize,
}

/// Which nodes call a store, and how often.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallPacing {
    /// Whether the store accepts too few concurrent calls for the nodes of its region, so
    /// that only relays call.
    pub are_relays_alone: bool,
    /// Pause of a node between two calls.
    pub pause: Duration,
}

impl CallPacing {
    /// Pacing of these callers at a store that accepts `calls` concurrent calls.
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

    /// The pause after `refused` consecutive refused calls; `random_unit` is between 0 and 1.
    pub fn pause_after(&self, refused: u32, random_unit: f64) -> Duration {
        let doubled = self.pause * 2_u32.pow(refused.min(MAX_DOUBLINGS));
        doubled.mul_f64(1.0 - JITTER + 2.0 * JITTER * random_unit)
    }
}

/// The pause with which the calls of all callers fit if each is held for the whole time.
fn pause(callers: usize, calls: Option<u32>) -> Duration {
    let calls = f64::from(calls.unwrap_or(DEFAULT_CALLS).max(1)) * USED_CALLS_SHARE;
    let turns = (callers as f64 / calls - 1.0).max(0.0);
    HOLD_TIME.mul_f64(turns).max(MIN_PAUSE)
}
