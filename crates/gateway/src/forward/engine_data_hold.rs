//! Holds requests while this node's data on the engines is too old.
//!
//! The store is being read at that time, and answers within some milliseconds if it can be
//! reached. A request that does not wait may be sent to an engine that has left, and the
//! engine ends while it runs it. When the store is down for all nodes, requests do not wait.

use super::Forwarding;
use crate::reliance::{reliance, Reliance};
use crate::time::within;

/// Longest wait of a request, in milliseconds. A call to a healthy store takes 4 ms, and
/// 250 ms over a saturated link.
const MAX_HOLD_MS: u64 = 300;
/// A request waits at most for its remaining time divided by this.
const HOLD_DIVISOR: u64 = 4;

impl Forwarding {
    /// Waits briefly while the data on the engines is too old. Returns false when other nodes
    /// have newer data than this one, so that it should not send the request.
    pub(super) async fn may_rely_on_engines(&mut self) -> bool {
        let began = self.gateway.clock.now();
        let before = reliance(&self.gateway, began);
        if before.needs_no_wait() {
            return true;
        }
        let left_ms = self.received.limits.left_ms(began);
        let gateway = &self.gateway;
        let learning = async {
            loop {
                let changed = gateway.site_updated.listen();
                if reliance(gateway, gateway.clock.now()).needs_no_wait() {
                    return;
                }
                changed.await;
            }
        };
        within(MAX_HOLD_MS.min(left_ms / HOLD_DIVISOR), learning).await;
        let now = gateway.clock.now();
        let after = reliance(gateway, now);
        gateway.metrics.held_requests.inc();
        self.record.record_hold(before, after, now.since(began));
        after != Reliance::Behind
    }
}
