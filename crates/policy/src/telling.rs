//! When a change is told to other nodes: datagrams are lost, so it is told more than once.

use crate::ids::Millis;

/// How often a change is told: datagrams are lost.
const TELLINGS: u32 = 3;
/// Time from the first telling to the second, in milliseconds; it doubles.
const FIRST_PAUSE_MS: u64 = 250;

/// The tellings of one change that are still due.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Telling {
    left: u32,
    due_at: Millis,
}

impl Telling {
    /// A change that is told at once, and again.
    pub fn begin(now: Millis) -> Self {
        Self {
            left: TELLINGS,
            due_at: now,
        }
    }

    /// Whether it is due now.
    pub fn is_due(&self, now: Millis) -> bool {
        self.left > 0 && self.due_at <= now
    }

    /// It is told now.
    pub fn note_told(&mut self, now: Millis) {
        if self.is_due(now) {
            let told = TELLINGS - self.left;
            self.left -= 1;
            self.due_at = now.plus(FIRST_PAUSE_MS << told);
        }
    }
}
