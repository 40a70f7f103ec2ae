//! Advances this node's gates while a rollout is open.

use super::stage_log::log_own_stop;
use crate::state::Gateway;
use crate::time::{sleep, within};
use std::sync::Arc;

/// Period while a rollout is open, in milliseconds.
const PERIOD_MS: u64 = 100;
/// Period while no rollout is open, in milliseconds.
const IDLE_PERIOD_MS: u64 = 1_000;

/// Advances the gates periodically until the task is dropped.
pub async fn advance_gates(gateway: Arc<Gateway>) {
    loop {
        let changed = gateway.order_changed.listen();
        if !gateway.beliefs().rollouts.is_any_open() {
            within(IDLE_PERIOD_MS, changed).await;
            continue;
        }
        let own = gateway.own_seat();
        let now = gateway.clock.now();
        let stopped = gateway.beliefs().rollouts.advance(&own, now);
        for stop in stopped {
            log_own_stop(&gateway, &stop.service.0, &stop.target.0, &stop.finding);
            gateway.report_due.notify(usize::MAX);
        }
        sleep(PERIOD_MS).await;
    }
}
