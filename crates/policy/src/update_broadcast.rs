//! When a change is told to other nodes: datagrams are lost, so it is told more than once.

use crate::ids::Millis;

/// How often a change is told: datagrams are lost.
const BROADCASTS_PER_UPDATE: u32 = 3;
/// Time from the first telling to the second, in milliseconds; it doubles.
const FIRST_REPEAT_DELAY_MS: u64 = 250;

/// The tellings of one change that are still due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateBroadcast {
    remaining: u32,
    due_at: Millis,
}

impl UpdateBroadcast {
    /// A change that is told at once, and again.
    pub fn begin(now: Millis) -> Self {
        Self {
            remaining: BROADCASTS_PER_UPDATE,
            due_at: now,
        }
    }

    /// Whether it is due now.
    pub fn is_due(&self, now: Millis) -> bool {
        self.remaining > 0 && self.due_at <= now
    }

    /// It is told now.
    pub fn record_broadcast(&mut self, now: Millis) {
        if self.is_due(now) {
            let sent = BROADCASTS_PER_UPDATE - self.remaining;
            self.remaining -= 1;
            self.due_at = now.plus(FIRST_REPEAT_DELAY_MS << sent);
        }
    }
}
