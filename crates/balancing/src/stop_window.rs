//! Which requests a node that stops as planned still accepts.

use ploverlift_policy::ids::Millis;

/// What is known of the time that a request takes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpectedDuration {
    /// Time until its deadline or the time-out of its route, whichever is first, in milliseconds.
    pub limit_ms: u64,
    /// Time in which requests of its route end, in milliseconds; `None` if that is not known.
    pub predicted_ms: Option<u64>,
    /// Whether another node can go on with its answer after this node has broken it off.
    pub is_resumable: bool,
}

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

    /// Whether a request that arrives now can end within the window, as far as is known.
    pub fn accepts(&self, expected: &ExpectedDuration, now: Millis) -> bool {
        let left_ms = self.left_ms(now);
        expected.is_resumable
            || expected.limit_ms <= left_ms
            || expected
                .predicted_ms
                .is_none_or(|predicted_ms| predicted_ms <= left_ms)
    }
}
