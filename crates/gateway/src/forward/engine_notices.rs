//! Whether an engine still accepts a request, according to its record and its notices of
//! leaving and backoff in answers, and when callers may retry if no engine does.

use super::choice::ChosenEngine;
use super::Forwarding;

/// When all engines of a service leave, they are used for the site's bound on leaving
/// engines divided by this. Some engines end when the bound is over, and requests must be
/// finished by then.
const GRACE_DIVISOR: u64 = 2;
/// Retries of callers are spread over the time until the first backoff ends, divided by
/// this.
const RETRY_SPREAD_DIVISOR: u64 = 4;
/// Shortest time over which retries are spread, in milliseconds.
const MIN_RETRY_SPREAD_MS: u64 = 20;
/// Longest time over which retries are spread, in milliseconds.
const MAX_RETRY_SPREAD_MS: u64 = 500;

impl Forwarding {
    /// Whether requests may still be sent to the engine. Checked right before the bytes are
    /// sent, since connecting takes up to a quarter of a second.
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

    /// Time for which engines that have announced their leaving may still get the request when
    /// no others are available, in milliseconds. They may end while they run it, so the time is
    /// 0 for requests that may run only once.
    pub(super) fn leaving_grace_ms(&self) -> u64 {
        let delivery = &self.received.admission.route.delivery;
        match delivery.is_repeatable() {
            true => self.gateway.settings().bounds.leaving_engine_ms / GRACE_DIVISOR,
            false => 0,
        }
    }

    /// Whether the engine has no backoff in force.
    pub(super) fn has_no_backoff(&self, chosen: &ChosenEngine) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let engine = beliefs.engines.get(&chosen.instance);
        engine.is_none_or(|engine| beliefs.engines.backoff(engine, now).is_none())
    }

    /// Retry time for the caller of a request that no engine has run, in milliseconds. While
    /// all engines of the service are in backoff, it is the time until the first backoff ends,
    /// plus a random part that spreads the retries.
    pub(super) fn retry_after_ms(&self) -> u64 {
        let default_ms = self.gateway.settings().attempts.retry_after_ms;
        let Some(wait_ms) = self.shortest_backoff_ms() else {
            return default_ms;
        };
        let spread_ms = wait_ms / RETRY_SPREAD_DIVISOR;
        let spread_ms = spread_ms.clamp(MIN_RETRY_SPREAD_MS, MAX_RETRY_SPREAD_MS);
        wait_ms + fastrand::u64(..=spread_ms)
    }

    /// Time until the first backoff of the service's engines ends, in milliseconds; `None` while
    /// an engine that is not leaving has none.
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
