//! A node that sees the target badly by its own requests stops at once.

use crate::baseline::upper_share;
use crate::counts::{RouteCounts, RouteTag};
use crate::detector::{threshold, ChangeDetector};
use crate::finding::{Finding, Symptom};
use std::collections::BTreeMap;

/// Chance that one node stops by the failures of a good version in a rollout: 81 nodes
/// make it 0.01, and one alone does not roll it back.
const FALSE_STOP_CHANCE: f64 = 0.000_1;
/// Answers of the target at one node that the chance is reckoned for.
const EXPECTED_ANSWERS: u64 = 300;
/// Rate of failures that is always borne: a node has few answers to compare with.
const MIN_TOLERATED_RATE: f64 = 0.03;
/// No more than that is borne.
const MAX_TOLERATED_RATE: f64 = 0.8;

/// What a node's own requests have shown of the target, by route: what both versions
/// fail is the requests' own fault, and differs by route.
#[derive(Clone, Debug, Default)]
pub struct OwnStop {
    tests: BTreeMap<RouteTag, ChangeDetector>,
    finding: Option<Finding>,
}

impl OwnStop {
    /// Takes in an answer of the target on a route; `own` are this node's counts of the
    /// route.
    pub fn note(&mut self, route: RouteTag, has_failed: bool, own: &RouteCounts) {
        let established = &own.established;
        let tolerated = upper_share(established.failures, established.answers);
        let tolerated = tolerated.clamp(MIN_TOLERATED_RATE, MAX_TOLERATED_RATE);
        let test = self.tests.entry(route).or_default();
        test.step(1, u64::from(has_failed), tolerated, 1.0);
        let limit = threshold(EXPECTED_ANSWERS, 1, FALSE_STOP_CHANCE);
        let is_bad = test.evidence() >= limit;
        if !is_bad || self.finding.is_some() {
            return;
        }
        self.finding = Some(Finding {
            symptom: Symptom::Failures,
            route: Some(route),
            answers: own.target.answers,
            bad: own.target.failures,
            borne_share: tolerated,
            evidence: test.evidence(),
            threshold: limit,
        });
    }

    /// Why it stopped, if it did.
    pub fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }
}
