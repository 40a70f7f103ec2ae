//! Backoff between failed store calls.

use crate::time::sleep;

/// First pause after a failed call, in milliseconds.
const FIRST_PAUSE_MS: u64 = 60;
/// Maximum pause after failed calls, in milliseconds.
const MAX_PAUSE_MS: u64 = 250;

/// Exponential backoff with jitter, so that nodes that lost the store at the same time do
/// not retry at the same time.
pub(crate) struct Backoff {
    pause_ms: u64,
}

impl Backoff {
    /// A backoff that starts with the shortest pause.
    pub(crate) fn new() -> Self {
        Self {
            pause_ms: FIRST_PAUSE_MS,
        }
    }

    /// Returns to the shortest pause after a successful call.
    pub(crate) fn reset(&mut self) {
        self.pause_ms = FIRST_PAUSE_MS;
    }

    /// Pauses after a failed call and doubles the next pause.
    pub(crate) async fn wait(&mut self) {
        let jittered = self.pause_ms / 2 + fastrand::u64(0..=self.pause_ms / 2);
        sleep(jittered).await;
        self.pause_ms = (self.pause_ms * 2).min(MAX_PAUSE_MS);
    }
}
