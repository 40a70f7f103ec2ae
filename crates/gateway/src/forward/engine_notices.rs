//! Whether the engine of a request still wants it, by its record and by what it said in
//! answers.

use super::choice::ChosenEngine;
use super::Forwarding;

/// Part of the site's bound on leaving engines for which the last ones of a service serve
/// on: some end when the bound is over, and requests must be done by then.
const GRACE_DIVISOR: u64 = 2;
impl Forwarding {
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

    /// Whether the engine wants requests from this node.
    pub(super) fn takes_requests(&self, chosen: &ChosenEngine) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let engine = beliefs.engines.get(&chosen.instance);
        engine.is_none_or(|engine| beliefs.engines.backoff(engine, now).is_none())
    }
}
