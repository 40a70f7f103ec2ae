//! The node's clock: milliseconds since the process started.

use ploverlift_policy::ids::Millis;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock with a fixed start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock {
    /// The present time.
    pub fn now(&self) -> Millis {
        Millis(self.start.elapsed().as_millis() as u64)
    }
}

/// Milliseconds of Unix time, for incarnations and leases.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
