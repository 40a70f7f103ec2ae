//! The clock that all ages, leases, proofs and deadlines are measured with.
//!
//! The monotonic clock and all timers stop while a machine is suspended, so by that clock
//! the state of a node would seem as recent after the suspension as before. This clock
//! (`CLOCK_BOOTTIME`) advances during a suspension and is not affected when the time of day
//! is set. A task that waited on a timer is woken late and has to check ages again before it
//! acts.

use ploverlift_policy::ids::Millis;
use rustix::time::{clock_gettime, ClockId};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Reading of the clock at its start, in milliseconds. It is above zero so that points in
/// time before the start can be represented and differ from zero.
const START_MS: u64 = 1_000_000;

/// A clock that starts at a fixed reading and never goes back.
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
    /// Creates a clock and a handle that simulates suspensions of the machine, for tests.
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

/// Simulates suspensions of the machine in tests: the clock advances but timers do not.
#[derive(Clone, Debug, Default)]
pub struct Suspension {
    total_ms: Arc<AtomicU64>,
}

impl Suspension {
    /// Simulates a suspension of `milliseconds`.
    pub fn sleep(&self, milliseconds: u64) {
        self.total_ms.fetch_add(milliseconds, Ordering::AcqRel);
    }

    fn total_ms(&self) -> u64 {
        self.total_ms.load(Ordering::Acquire)
    }
}

/// Time since the machine booted, including suspensions, in milliseconds.
fn boot_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Milliseconds since the Unix epoch; 0 if the system clock is set to an earlier time. It
/// only distinguishes two incarnations of a node; durations are measured with [`Clock`].
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
