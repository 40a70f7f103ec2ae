//! Pauses between failed calls of the store.

use crate::time::sleep;

/// First pause after a failed call, in milliseconds.
const FIRST_PAUSE_MS: u64 = 60;
/// Longest pause after failed calls, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 250;

/// Pauses between failed calls: doubled each time and jittered, so that nodes
/// which lost the store together do not come back together.
pub(crate) struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    /// The first pause is the shortest.
    pub(crate) fn new() -> Self {
        Self {
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// A call went well.
    pub(crate) fn reset(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
    }

    /// Pauses after a call that failed.
    pub(crate) async fn wait(&mut self) {
        let jittered = self.pause_ms / 2 + fastrand::u64(0..=self.pause_ms / 2);
        sleep(jittered).await;
        self.pause_ms = (self.pause_ms * 2).min(LONGEST_PAUSE_MS);
    }
}
