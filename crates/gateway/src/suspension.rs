//! Noticing that this node stood still: its machine slept, or its process was stopped.
//!
//! Watches that were open before hear nothing of what was changed meanwhile until they end
//! by timers that stood still as well. So all that follows the store begins anew at once.

use crate::state::Gateway;
use crate::time::sleep;
use std::sync::Arc;

/// Time between two looks at the clock, in milliseconds.
const CHECK_PERIOD_MS: u64 = 100;
/// Time beyond it after which this node stood still, in milliseconds: a busy machine lets a
/// process wait for less.
const SUSPENSION_THRESHOLD_MS: u64 = 1_000;

/// Looks for times in which no timer ran, until the task is dropped.
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
