//! Ejects engines that do not serve requests, and tries them again later.
//!
//! Detection relies on traffic alone: an engine whose health check succeeds may still
//! fail its requests. An unreachable engine is ejected at once. An engine that fails part
//! of its requests is avoided when its failure rate stands out from that of its service
//! ([`crate::selection`] compares them).

use ploverlift_policy::ids::Millis;

/// First time for which an unreachable engine is ejected, in milliseconds.
const FIRST_EJECTION_MS: u64 = 400;
/// Longest time for which an engine is ejected after failures in a row, in milliseconds.
const MAX_EJECTION_MS: u64 = 3_000;
/// Weight of the newest outcome in the failure rate.
const NEWEST_WEIGHT: f64 = 0.15;
/// Half-life of the failure rate without outcomes, in milliseconds. An avoided engine
/// produces no outcomes, so without decay it would be avoided forever.
const FAILURE_HALF_LIFE_MS: f64 = 3_000.0;

/// Outcome of a request at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The engine answered properly.
    Answered,
    /// The engine answered with a failure of its own.
    Failed,
    /// The engine reported that it did not run the request: full, loading or leaving.
    Refused,
    /// The answer broke off, violated the protocol or never came.
    Broken,
    /// No connection was established.
    Unreachable,
}

/// Health of one engine as observed by this node's own traffic.
#[derive(Clone, Copy, Debug, Default)]
pub struct EngineHealth {
    failure_rate: f64,
    last_outcome: Millis,
    outcomes: u32,
    failures_in_a_row: u32,
    ejected_until: Option<Millis>,
    trial_since: Option<Millis>,
}

/// Time after which a trial without an outcome no longer counts, in milliseconds.
const TRIAL_TIMEOUT_MS: u64 = 2_000;

impl EngineHealth {
    /// Share of failed requests, weighted towards the newest. It decays while there are
    /// no outcomes.
    pub fn failure_rate(&self, now: Millis) -> f64 {
        let idle = now.since(self.last_outcome) as f64;
        self.failure_rate * 0.5_f64.powf(idle / FAILURE_HALF_LIFE_MS)
    }

    /// Number of outcomes recorded so far.
    pub fn outcomes(&self) -> u32 {
        self.outcomes
    }

    /// Whether the engine may be chosen: it is not ejected, and no other request is
    /// trying it after an ejection.
    pub fn may_be_chosen(&self, now: Millis) -> bool {
        if self.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        let on_trial = self.trial_since;
        on_trial.is_none_or(|since| now.since(since) >= TRIAL_TIMEOUT_MS)
    }

    /// Whether the engine was ejected and has not answered since.
    pub fn is_suspected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Records that a request is about to be sent.
    pub fn on_begin(&mut self, now: Millis) {
        if self.ejected_until.is_some() {
            self.trial_since = Some(now);
        }
    }

    /// Records the outcome of a request.
    pub fn on_outcome(&mut self, outcome: Outcome, now: Millis) {
        self.outcomes = self.outcomes.saturating_add(1);
        let failed = matches!(
            outcome,
            Outcome::Failed | Outcome::Broken | Outcome::Unreachable
        );
        let newest = if failed { 1.0 } else { 0.0 };
        self.failure_rate = self.failure_rate(now);
        self.last_outcome = now;
        self.failure_rate += NEWEST_WEIGHT * (newest - self.failure_rate);
        match outcome {
            Outcome::Answered | Outcome::Refused | Outcome::Failed => self.clear_ejection(),
            Outcome::Unreachable => self.eject(now),
            // One broken answer may be chance; a second one in a row ejects the engine.
            Outcome::Broken if self.failures_in_a_row > 0 => self.eject(now),
            Outcome::Broken => {
                self.failures_in_a_row += 1;
                self.trial_since = None;
            }
        }
    }

    /// Drops the failures that were observed, because the link to the engine caused them.
    pub fn forget_failures(&mut self) {
        self.failure_rate = 0.0;
        self.clear_ejection();
    }

    fn clear_ejection(&mut self) {
        self.failures_in_a_row = 0;
        self.ejected_until = None;
        self.trial_since = None;
    }

    /// Ejects the engine until this time, or longer if it is already ejected for longer.
    pub fn eject_until(&mut self, until: Millis) {
        self.ejected_until = self.ejected_until.max(Some(until));
        self.trial_since = None;
    }

    /// Lets one request try an ejected engine that accepts connections again.
    pub fn allow_trial(&mut self, now: Millis) {
        if self.ejected_until.is_some() {
            self.ejected_until = Some(now);
            self.trial_since = None;
        }
    }

    /// Ejects the engine, for longer with each failure in a row.
    pub fn eject(&mut self, now: Millis) {
        let doublings = self.failures_in_a_row.min(4);
        let duration = (FIRST_EJECTION_MS << doublings).min(MAX_EJECTION_MS);
        self.failures_in_a_row = self.failures_in_a_row.saturating_add(1);
        self.ejected_until = Some(now.plus(duration));
        self.trial_since = None;
    }
}
