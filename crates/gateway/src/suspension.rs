//! Detects that this node was suspended: its machine slept, or its process was stopped.
//!
//! Watches that were open before the suspension may miss the changes made meanwhile until
//! they time out, and their timers were suspended as well. So all feeds that follow the
//! store are restarted at once.

use crate::state::Gateway;
use crate::time::sleep;
use std::sync::Arc;

/// Interval between two checks of the clock, in milliseconds.
const CHECK_PERIOD_MS: u64 = 100;
/// Delay of a check beyond its interval that counts as a suspension, in milliseconds. On a
/// busy machine, a process waits for less than this.
const SUSPENSION_THRESHOLD_MS: u64 = 1_000;

/// Detects intervals in which no timer ran, until the task is dropped.
pub async fn detect_suspension(gateway: Arc<Gateway>) {
    loop {
        let before = gateway.clock.now();
        sleep(CHECK_PERIOD_MS).await;
        let passed_ms = gateway.clock.now().since(before);
        let suspended_ms = passed_ms.saturating_sub(CHECK_PERIOD_MS);
        if suspended_ms >= SUSPENSION_THRESHOLD_MS {
            slog::warn!(gateway.log, "stood still"; "for_ms" => suspended_ms);
            gateway.beliefs().store_outage.note_suspension();
            gateway.suspension_detected.notify(usize::MAX);
        }
    }
}
