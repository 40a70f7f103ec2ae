//! A node's own test: it stops sending to the target at once if its own requests show
//! that the target is bad.

use crate::baseline::upper_share;
use crate::counts::{RouteCounts, RouteTag};
use crate::detector::{threshold, ChangeDetector};
use crate::finding::{Finding, Symptom};
use std::collections::BTreeMap;

/// Chance that one node stops because of the failures of a good version during a
/// rollout: about 0.01 for 81 nodes, and one node alone does not roll the version back.
const FALSE_STOP_CHANCE: f64 = 0.000_1;
/// Number of the target's answers at one node for which the chance is calculated.
const EXPECTED_ANSWERS: u64 = 300;
/// Failure rate that is always tolerated, because a node has few answers to compare
/// with.
const MIN_TOLERATED_RATE: f64 = 0.03;
/// Upper limit of the tolerated failure rate.
const MAX_TOLERATED_RATE: f64 = 0.8;

/// The tests of a node's own answers from the target, by route: failures that both
/// versions have in common are caused by the requests, and their rate differs between
/// routes.
#[derive(Clone, Debug, Default)]
pub struct OwnStop {
    tests: BTreeMap<RouteTag, ChangeDetector>,
    finding: Option<Finding>,
}

impl OwnStop {
    /// Adds an answer of the target on a route; `own` are this node's counts of the
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

    /// The evidence because of which the node stopped, if it did.
    pub fn finding(&self) -> Option<&Finding> {
        self.finding.as_ref()
    }
}
