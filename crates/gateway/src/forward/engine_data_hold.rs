//! Requests that come while this node's knowledge of the engines is too old.
//!
//! The store is being read then, and answers within some milliseconds where it can be
//! reached. A request that does not wait for that may go to an engine that has left: the
//! engine ends in the midst of it. Where the store is away for all there is nothing to
//! wait for.

use super::Forwarding;
use crate::reliance::{reliance, Reliance};
use crate::time::within;

/// Longest wait of a request, in milliseconds: a call of a well store takes 4 ms, and
/// 250 ms over a link that is full.
const MAX_HOLD_MS: u64 = 300;
/// Part of the time that a request has left for which it waits at most.
const HOLD_DIVISOR: u64 = 4;

impl Forwarding {
    /// Waits shortly while it is not known which engines leave; false when this node is
    /// known to lack what others know, and should not send the request.
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
                let changed = gateway.site_learned.listen();
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
