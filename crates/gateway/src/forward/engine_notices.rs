//! Whether the engine of a request still wants it, by its record and by what it said in
//! answers, and when callers may come back where none does.

use super::choice::ChosenEngine;
use super::Forwarding;

/// Part of the site's bound on leaving engines for which the last ones of a service serve
/// on: some end when the bound is over, and requests must be done by then.
const GRACE_DIVISOR: u64 = 2;
/// Part of the time until the first backoff ends within which callers come back.
const RETRY_SPREAD_DIVISOR: u64 = 4;
/// Shortest time within which they do, in milliseconds.
const MIN_RETRY_SPREAD_MS: u64 = 20;
/// Longest time within which they do, in milliseconds.
const MAX_RETRY_SPREAD_MS: u64 = 500;

impl Forwarding {
    /// Whether the engine is still one that requests go to, right before the bytes go:
    /// connecting takes up to a quarter of a second.
    pub(super) fn is_still_eligible(&self, chosen: &ChosenEngine) -> bool {
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

    /// Whether no backoff from the engine is running.
    pub(super) fn has_no_backoff(&self, chosen: &ChosenEngine) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let engine = beliefs.engines.get(&chosen.instance);
        engine.is_none_or(|engine| beliefs.engines.backoff(engine, now).is_none())
    }

    /// When the caller of a request that no engine has run may come back, in milliseconds:
    /// once the first backoff of the service's engines ends, each at a moment of its own.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let usual_ms = self.gateway.settings().attempts.retry_after_ms;
        let Some(wait_ms) = self.shortest_backoff_ms() else {
            return usual_ms;
        };
        let spread_ms = wait_ms / RETRY_SPREAD_DIVISOR;
        let spread_ms = spread_ms.clamp(MIN_RETRY_SPREAD_MS, MAX_RETRY_SPREAD_MS);
        wait_ms + fastrand::u64(..=spread_ms)
    }

    /// Time until the first backoff of the service's engines ends; nothing while an engine
    /// has none.
    fn shortest_backoff_ms(&self) -> Option<u64> {
        let now = self.gateway.clock.now();
        let service = &self.received.admission.service;
        let beliefs = self.gateway.beliefs();
        let engines = &beliefs.engines;
        if engines.notices.is_empty() {
            return None;
        }
        let mut shortest = None;
        for engine in engines.of_service(service) {
            if engines.is_leaving(engine) {
                continue;
            }
            let left_ms = engines.backoff(engine, now)?.resumes_at.since(now);
            shortest = Some(shortest.map_or(left_ms, |known: u64| known.min(left_ms)));
        }
        shortest
    }
}
