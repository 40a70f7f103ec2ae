//! Excess of bad answers: a stop without a statistical test, which needs no decider.

use crate::baseline::{
    late_bucket, Baseline, LATE_MARGIN_BUCKETS, LATE_MARGIN_BUCKETS_IN_CUT_OVER,
};
use crate::counts::{Counts, RouteCounts};
use crate::finding::{Finding, Symptom};

/// Bad answers beyond the tolerated number, over the fleet, from which a version is
/// stopped without a test. Half of the fifty bad answers from which `roll_back_ms` is
/// measured.
pub const MANY_BAD_ANSWERS: u64 = 25;
/// The rule that applies without any evidence from the tests.
const WITHOUT_TEST: ExcessRule = ExcessRule {
    limit: MANY_BAD_ANSWERS,
    factor: 2.0,
    late_quantile: 0.1,
    late_margin_buckets: LATE_MARGIN_BUCKETS_IN_CUT_OVER,
};
/// The rule that applies when the tests already show a large part of a proof.
const UNDER_SUSPICION: ExcessRule = ExcessRule {
    limit: 20,
    factor: 1.0,
    late_quantile: 0.25,
    late_margin_buckets: LATE_MARGIN_BUCKETS,
};

/// Finds bad answers of the target beyond the tolerated number when they are many. Every
/// node that knows the fleet's sums stops by this rule, with or without a decider.
///
/// During a cut-over, times are not compared without a test: the established engines no
/// longer answer at the same time, and caches are cold.
pub fn many_bad_answers(sums: &Counts, is_cutting_over: bool) -> Option<Finding> {
    excess_finding(sums, &WITHOUT_TEST, is_cutting_over)
}

/// The same with a stricter rule, for use when the tests already show a large part of a
/// proof.
pub fn many_bad_answers_under_suspicion(sums: &Counts, is_cutting_over: bool) -> Option<Finding> {
    excess_finding(sums, &UNDER_SUSPICION, is_cutting_over)
}

/// Defines which answers count as bad beyond the tolerated number.
struct ExcessRule {
    /// Number of excess bad answers from which the version is stopped.
    limit: u64,
    /// Share of the established engines' answers beyond which a first byte is late.
    late_quantile: f64,
    /// Multiple of the tolerated rate beyond which bad answers are in excess.
    factor: f64,
    /// Histogram buckets of margin before a first byte counts as late.
    late_margin_buckets: usize,
}

fn excess_finding(sums: &Counts, rule: &ExcessRule, is_cutting_over: bool) -> Option<Finding> {
    let mut failures = Excess::default();
    let mut late = Excess::default();
    for counts in sums.routes.values() {
        failures.add_failures(counts, rule);
        if !is_cutting_over {
            late.add_late(counts, rule);
        }
    }
    let worse = match failures.excess >= late.excess {
        true => failures,
        false => late,
    };
    let limit = rule.limit as f64;
    (worse.excess >= limit).then(|| Finding {
        symptom: Symptom::ManyBadAnswers,
        route: None,
        answers: worse.answers,
        bad: worse.bad,
        borne_share: worse.tolerated / worse.answers.max(1) as f64,
        evidence: worse.excess,
        threshold: limit,
    })
}

/// Bad answers beyond the tolerated number.
#[derive(Clone, Copy, Debug, Default)]
struct Excess {
    answers: u64,
    bad: u64,
    tolerated: f64,
    excess: f64,
}

impl Excess {
    fn add_failures(&mut self, counts: &RouteCounts, rule: &ExcessRule) {
        let tolerated = Baseline::from_overall(&counts.established).tolerated_failure_rate();
        let target = &counts.target;
        self.add(target.answers, target.failures, tolerated * rule.factor);
    }

    fn add_late(&mut self, counts: &RouteCounts, rule: &ExcessRule) {
        let Some(bucket) = late_bucket(&counts.established, rule.late_quantile) else {
            return;
        };
        let tolerated = Baseline::from_overall(&counts.established).tolerated_late_rate(bucket);
        let times = &counts.target.first_byte;
        let late = times.count_from_bucket(bucket + rule.late_margin_buckets);
        self.add(times.total(), late, tolerated * rule.factor);
    }

    fn add(&mut self, answers: u64, bad: u64, borne_share: f64) {
        let tolerated = borne_share * answers as f64;
        self.answers += answers;
        self.bad += bad;
        self.tolerated += tolerated;
        // A good route must not offset the excess of a bad one.
        self.excess += (bad as f64 - tolerated).max(0.0);
    }
}
