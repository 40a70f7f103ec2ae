//! Requests that come while this node's knowledge of the engines is too old.
//!
//! The store is being read then, and answers within some milliseconds where it can be
//! reached. A request that does not wait for that may go to an engine that has left: the
//! engine ends in the midst of it. Where the store is away for all there is nothing to
//! wait for.

use super::choice::ChosenEngine;
use super::Forwarding;
use crate::reliance::{reliance, Reliance};
use crate::time::within;

/// Longest wait of a request, in milliseconds: a call of a well store takes 4 ms, and
/// 250 ms over a link that is full.
const LONGEST_HOLD_MS: u64 = 300;
/// Part of the site's bound on leaving engines for which the last ones of a service serve
/// on: some end when the bound is over, and requests must be done by then.
const GRACE_DIVISOR: u64 = 2;
/// Part of the time that a request has left for which it waits at most.
const LEFT_SHARE: u64 = 4;

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
                let news = gateway.site_learned.listen();
                if reliance(gateway, gateway.clock.now()).needs_no_wait() {
                    return;
                }
                news.await;
            }
        };
        within(LONGEST_HOLD_MS.min(left_ms / LEFT_SHARE), learning).await;
        let now = gateway.clock.now();
        let after = reliance(gateway, now);
        gateway.metrics.held_requests.inc();
        self.record.held(before, after, now.since(began));
        after != Reliance::Behind
    }

    /// Whether the engine is still one that requests go to, right before the bytes go:
    /// connecting takes up to a quarter of a second.
    pub(super) fn is_still_chosen(&self, chosen: &ChosenEngine) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let Some(engine) = beliefs.engines.get(&chosen.instance) else {
            return false;
        };
        if engine.record.is_leaving || engine.record.address != chosen.address {
            return false;
        }
        let notice = beliefs.engines.leaving_notice(engine);
        notice
            .is_none_or(|notice| chosen.leaves && now.since(notice.since) < self.leaving_grace_ms())
    }

    /// Time for which engines that say that they leave may serve the request where no other
    /// ones are left, in milliseconds. They may end under a request: one that may run only
    /// once is not sent to them.
    pub(super) fn leaving_grace_ms(&self) -> u64 {
        let delivery = &self.received.admission.route.delivery;
        match delivery.is_repeatable() {
            true => self.gateway.settings().bounds.leaving_engine_ms / GRACE_DIVISOR,
            false => 0,
        }
    }
}
