//! The clock by which all ages, leases, proofs and deadlines count.
//!
//! A suspended machine's steady clock stands still, and so do all timers; what a node knew
//! before it slept would seem as young as it was. This clock goes on meanwhile
//! (`CLOCK_BOOTTIME`), and setting the time of day does not move it. Whoever waited on a
//! timer wakes late and looks at the ages again before it acts.

use ploverlift_policy::ids::Millis;
use rustix::time::{clock_gettime, ClockId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// What the clock shows at its start, in milliseconds: times before the start can be told
/// from its zero.
const START_MS: u64 = 1_000_000;

/// A clock with a fixed start that never goes back.
#[derive(Clone, Debug)]
pub struct Clock {
    start_ms: u64,
    suspension: Option<Suspension>,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start_ms: boot_ms(),
            suspension: None,
        }
    }
}

impl Clock {
    /// A clock that can be moved on, as by a suspension of the machine.
    pub fn suspendable() -> (Self, Suspension) {
        let suspension = Suspension::default();
        let clock = Self {
            start_ms: boot_ms(),
            suspension: Some(suspension.clone()),
        };
        (clock, suspension)
    }

    /// The present time.
    pub fn now(&self) -> Millis {
        let suspended_ms = self.suspension.as_ref().map_or(0, Suspension::total_ms);
        Millis(START_MS + boot_ms() - self.start_ms + suspended_ms)
    }
}

/// Suspensions of the machine, as a test plays them: the clock goes on and no timer does.
#[derive(Clone, Debug, Default)]
pub struct Suspension {
    total_ms: Arc<AtomicU64>,
}

impl Suspension {
    /// The machine sleeps for so long, in milliseconds.
    pub fn sleep(&self, milliseconds: u64) {
        self.total_ms.fetch_add(milliseconds, Ordering::AcqRel);
    }

    fn total_ms(&self) -> u64 {
        self.total_ms.load(Ordering::Acquire)
    }
}

/// Time since the machine started, suspensions included, in milliseconds.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// The time of day in milliseconds since 1970, which only tells two lives of a node
/// apart; 0 where the clock stands before that.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
