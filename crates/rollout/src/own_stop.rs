//! A node that sees the target badly by its own requests stops at once.

use crate::counts::{Counts, Side};
use crate::evidence::{Finding, Symptom};

/// Failures in a row of the target at one node that stop it.
const FAILURES_IN_A_ROW: u64 = 4;
/// Failures of the target at one node that stop it when they are many of its answers.
const OWN_FAILURES: u64 = 8;
/// Share of the target's answers at this node that must have failed for that.
const OWN_FAILURE_SHARE: f64 = 0.25;
/// How often more of the target's answers than of the established engines' must have
/// failed: what both fail is the requests' own fault.
const ESTABLISHED_FACTOR: f64 = 3.0;

/// What a node's own requests have shown of the target.
#[derive(Clone, Debug, Default)]
pub struct OwnStop {
    failures_in_a_row: u64,
    finding: Option<Finding>,
}

impl OwnStop {
    /// Takes in an answer of the target; `own` contains it.
    pub fn note(&mut self, has_failed: bool, own: &Counts) {
        self.failures_in_a_row = match has_failed {
            true => self.failures_in_a_row + 1,
            false => 0,
        };
        if self.finding.is_none() {
            self.finding = self.judge(own);
        }
    }

    /// Why it stopped, if it did.
    pub fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }

    fn judge(&self, own: &Counts) -> Option<Finding> {
        let target = own.all_routes(Side::Target);
        let established = own.all_routes(Side::Established);
        let share = target.failures as f64 / target.answers.max(1) as f64;
        let of_established = established.failures as f64 / established.answers.max(1) as f64;
        let is_own_fault = share > ESTABLISHED_FACTOR * of_established;
        let are_many = target.failures >= OWN_FAILURES && share >= OWN_FAILURE_SHARE;
        let is_bad = self.failures_in_a_row >= FAILURES_IN_A_ROW || are_many;
        (is_bad && is_own_fault).then_some(Finding {
            symptom: Symptom::Failures,
            route: None,
            answers: target.answers,
            bad: target.failures,
            borne_share: ESTABLISHED_FACTOR * of_established,
            evidence: target.failures as f64,
            threshold: FAILURES_IN_A_ROW as f64,
        })
    }
}
