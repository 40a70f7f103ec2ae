//! The time that a planned stop leaves to requests.

use ploverlift_policy::ids::Millis;

/// The time that a planned stop leaves to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopWindow {
    /// When requests that still run are answered as unfinished.
    pub concludes: Millis,
}

impl StopWindow {
    /// Time until requests that still run are answered as unfinished, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        self.concludes.since(now)
    }
}
