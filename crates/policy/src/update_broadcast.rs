//! The schedule on which a change is broadcast to other nodes. Datagrams can be lost, so
//! each change is sent more than once.

use crate::ids::Millis;

/// Number of times a change is sent, because datagrams can be lost.
const BROADCASTS_PER_UPDATE: u32 = 3;
/// Delay between the first and second broadcast, in milliseconds. Each further delay is
/// twice as long.
const FIRST_REPEAT_DELAY_MS: u64 = 250;

/// The remaining broadcasts of one change. The default has none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct UpdateBroadcast {
    remaining: u32,
    due_at: Millis,
}

impl UpdateBroadcast {
    /// Starts the broadcasts of a change; the first is due immediately.
    pub fn begin(now: Millis) -> Self {
        Self {
            remaining: BROADCASTS_PER_UPDATE,
            due_at: now,
        }
    }

    /// Sends a change only once, where later changes repeat it.
    pub fn once(now: Millis) -> Self {
        Self {
            remaining: 1,
            due_at: now,
        }
    }

    /// Whether a broadcast is due.
    pub fn is_due(&self, now: Millis) -> bool {
        self.remaining > 0 && self.due_at <= now
    }

    /// Records that the change is sent now and schedules the next broadcast. Has no effect
    /// when none is due.
    pub fn record_broadcast(&mut self, now: Millis) {
        if self.is_due(now) {
            let sent = BROADCASTS_PER_UPDATE.saturating_sub(self.remaining);
            self.remaining -= 1;
            self.due_at = now.plus(FIRST_REPEAT_DELAY_MS << sent);
        }
    }
}
