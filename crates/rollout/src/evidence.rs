//! Comparison of the target with the established engines over the same time, by route.
//!
//! Failures that both versions have in common are caused by the requests: the tolerated
//! failure rate is that of the established engines, with an allowance for chance. A time
//! to the first byte is bad if it lies beyond a quantile of the established engines'
//! times, with a margin of one bucket (√2).

use crate::baseline::{
    late_bucket, later_half_baseline, Baseline, LATE_MARGIN_BUCKETS,
    LATE_MARGIN_BUCKETS_IN_CUT_OVER,
};
use crate::counts::{Counts, EngineSlotCounts, RouteTag, Side, SideCounts};
use crate::detector::{self, ChangeDetector};
use crate::excess::many_bad_answers;
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, VecDeque};

pub use crate::finding::{Finding, Symptom};

/// Chance that the tests of one rollout roll back a good version.
pub const FALSE_ROLL_BACK_CHANCE: f64 = 0.000_5;
/// Time between two steps of the tests, in milliseconds; counts arrive five times a
/// second.
pub const STEP_MS: u64 = 200;
/// Steps beyond the rollout's duration for which the chance of an error is calculated: a
/// cut-over takes 10 s or less.
const STEPS_AFTER_DEADLINE: u64 = 50;
/// Number of tests of each route, and of all routes together.
const TESTS_PER_ROUTE: usize = 2 + LATE_QUANTILES.len();
/// Number of late first bytes that count as one independent observation; queues make
/// them correlated.
const LATE_DESIGN_EFFECT: f64 = 1.5;
/// Shares of the established engines' answers beyond which a first byte counts as late.
const LATE_QUANTILES: [f64; 2] = [0.25, 0.1];
/// Number of steps over which recent answers are counted: 3 s.
const RECENT_STEPS: usize = 15;
/// Number of failures in one engine slot from which they are no longer attributed to the
/// engine alone.
const MAX_SINGLE_ENGINE_FAILURES: u64 = 20;
/// Failures of all other engines that are tolerated in this case, in addition to their
/// usual rate.
const TOLERATED_OTHER_ENGINES_FAILURES: f64 = 2.0;
/// The same, as a fraction of the failing engine's failures.
const TOLERATED_OTHER_ENGINES_FRACTION: f64 = 0.1;
/// Minimum number of answers of other engines that shows that only one engine is bad.
const MIN_OTHER_ENGINES_ANSWERS: u64 = 5;

/// The tests of one route, or of all routes together.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTests {
    failures: ChangeDetector,
    later_half: ChangeDetector,
    late: [ChangeDetector; LATE_QUANTILES.len()],
}

/// The tests of one rollout.
#[derive(Clone, Debug)]
pub struct Evidence {
    steps: u64,
    seen: Counts,
    /// Counts of the last [`RECENT_STEPS`] steps.
    recent: Counts,
    established_steps: VecDeque<Counts>,
    tests: BTreeMap<Option<RouteTag>, RouteTests>,
    stepped_at: Option<Millis>,
}

impl Evidence {
    /// Creates the tests of a rollout with this duration, in milliseconds.
    pub fn for_duration(duration_ms: u64) -> Self {
        Self {
            steps: duration_ms / STEP_MS + STEPS_AFTER_DEADLINE,
            seen: Counts::default(),
            recent: Counts::default(),
            established_steps: VecDeque::new(),
            tests: BTreeMap::new(),
            stepped_at: None,
        }
    }

    /// Updates the tests with the fleet's sums; returns a finding if the version is
    /// proven to be bad.
    pub fn update(&mut self, sums: &Counts, is_cutting_over: bool, now: Millis) -> Option<Finding> {
        if let Some(finding) = many_bad_answers(sums, is_cutting_over) {
            return Some(finding);
        }
        let is_due = self.stepped_at.is_none_or(|at| now.since(at) >= STEP_MS);
        if is_due {
            self.stepped_at = Some(now);
            self.step(sums, is_cutting_over);
        }
        self.proven_finding()
    }

    /// The strongest evidence so far against the version.
    pub fn strongest(&self) -> Option<Finding> {
        let findings = self.tests.iter().flat_map(|(route, tests)| {
            let failures = tests.failures.evidence();
            let late = tests.strongest_late_evidence();
            [
                self.finding(Symptom::Failures, *route, failures),
                self.finding(Symptom::SlowFirstByte, *route, late),
            ]
        });
        findings.max_by(|one, other| one.evidence.total_cmp(&other.evidence))
    }

    /// Evidence from which a version counts as bad; all running tests share the chance
    /// of an error.
    fn threshold(&self) -> f64 {
        let tests = self.tests.len() * TESTS_PER_ROUTE;
        detector::threshold(self.steps, tests, FALSE_ROLL_BACK_CHANCE)
    }

    fn step(&mut self, sums: &Counts, is_cutting_over: bool) {
        let added = sums.since(&self.seen);
        self.established_steps.push_back(self.seen.clone());
        if self.established_steps.len() > RECENT_STEPS {
            self.established_steps.pop_front();
        }
        self.seen = sums.clone();
        let before_recent = self.established_steps.front().cloned().unwrap_or_default();
        let recent = sums.since(&before_recent);
        let margin_buckets = match is_cutting_over {
            true => LATE_MARGIN_BUCKETS_IN_CUT_OVER,
            false => LATE_MARGIN_BUCKETS,
        };
        let mut pooled = PooledBatches::default();
        for (route, counts) in &added.routes {
            let baseline = Baseline {
                overall: sums.routes[route].established,
                recent: recent.routes[route].established,
            };
            let tests = self.tests.entry(Some(*route)).or_default();
            tests.step(&counts.target, &baseline, margin_buckets, &mut pooled);
        }
        self.step_all_routes(&pooled);
        self.recent = recent;
    }

    /// Steps the tests of all routes together; each answer is compared with the baseline
    /// of its own route.
    fn step_all_routes(&mut self, pooled: &PooledBatches) {
        let tests = self.tests.entry(None).or_default();
        pooled.failures.step(&mut tests.failures, 1.0);
        pooled
            .later_half
            .step(&mut tests.later_half, LATE_DESIGN_EFFECT);
        for (test, late) in tests.late.iter_mut().zip(&pooled.late) {
            late.step(test, LATE_DESIGN_EFFECT);
        }
    }

    fn proven_finding(&self) -> Option<Finding> {
        let strongest = self.strongest()?;
        let is_proven = strongest.evidence >= strongest.threshold;
        let is_excused =
            strongest.symptom == Symptom::Failures && is_single_engine_fault(&self.recent);
        (is_proven && !is_excused).then_some(strongest)
    }

    fn finding(&self, symptom: Symptom, route: Option<RouteTag>, evidence: f64) -> Finding {
        let sums = &self.seen;
        let side = |side| match route {
            Some(route) => *sums.routes[&route].side(side),
            None => sums.all_routes(side),
        };
        let (target, established) = (side(Side::Target), side(Side::Established));
        let baseline = Baseline::from_overall(&established);
        let (bad, borne_share) = match symptom {
            Symptom::SlowFirstByte => {
                let bucket = late_bucket(&established, LATE_QUANTILES[0]).unwrap_or(0);
                let late = target
                    .first_byte
                    .count_from_bucket(bucket + LATE_MARGIN_BUCKETS);
                (late, baseline.tolerated_late_rate(bucket))
            }
            _ => (target.failures, baseline.tolerated_failure_rate()),
        };
        Finding {
            symptom,
            route,
            answers: target.answers,
            bad,
            borne_share,
            evidence,
            threshold: self.threshold(),
        }
    }
}

impl RouteTests {
    fn step(
        &mut self,
        target: &SideCounts,
        baseline: &Baseline,
        margin_buckets: usize,
        pooled: &mut PooledBatches,
    ) {
        let failures = Batch::new(
            target.answers,
            target.failures,
            baseline.tolerated_failure_rate(),
        );
        failures.step(&mut self.failures, 1.0);
        pooled.failures.add(&failures);
        if let Some((bucket, tolerated)) = later_half_baseline(baseline.timing_counts())
            .filter(|_| margin_buckets == LATE_MARGIN_BUCKETS)
        {
            let late = target.first_byte.count_from_bucket(bucket);
            let later = Batch::new(target.first_byte.total(), late, tolerated);
            later.step(&mut self.later_half, LATE_DESIGN_EFFECT);
            pooled.later_half.add(&later);
        }
        for (index, quantile) in LATE_QUANTILES.into_iter().enumerate() {
            let Some(bucket) = late_bucket(baseline.timing_counts(), quantile) else {
                continue;
            };
            let late = target.first_byte.count_from_bucket(bucket + margin_buckets);
            let tolerated = baseline.tolerated_late_rate(bucket);
            let late = Batch::new(target.first_byte.total(), late, tolerated);
            late.step(&mut self.late[index], LATE_DESIGN_EFFECT);
            pooled.late[index].add(&late);
        }
    }

    /// The strongest evidence that first bytes are late.
    fn strongest_late_evidence(&self) -> f64 {
        let late = self.late.iter().chain([&self.later_half]);
        let late = late.map(ChangeDetector::evidence);
        late.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// The answers of one step, the bad ones among them, and the number of bad ones that is
/// tolerated.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    answers: u64,
    bad: u64,
    tolerated: f64,
}

impl Batch {
    fn new(answers: u64, bad: u64, borne_share: f64) -> Self {
        Self {
            answers,
            bad,
            tolerated: borne_share * answers as f64,
        }
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.tolerated += other.tolerated;
    }

    fn step(&self, test: &mut ChangeDetector, design_effect: f64) {
        if self.answers == 0 {
            return;
        }
        let borne_share = self.tolerated / self.answers as f64;
        test.step(self.answers, self.bad, borne_share, design_effect);
    }
}

/// The answers of one step on all routes.
#[derive(Clone, Copy, Debug, Default)]
struct PooledBatches {
    failures: Batch,
    later_half: Batch,
    late: [Batch; LATE_QUANTILES.len()],
}

/// Whether, in the recent counts, one engine fails while the others do not, so that the
/// engine is at fault and not the version. Only up to a number of failures, because a
/// version may be bad on the engine that gets the most requests.
fn is_single_engine_fault(recent: &Counts) -> bool {
    let slots = &recent.target_engines;
    let Some(worst) = slots.iter().max_by_key(|slot| slot.failures) else {
        return false;
    };
    let all = slots
        .iter()
        .fold(EngineSlotCounts::default(), |all, slot| EngineSlotCounts {
            answers: all.answers + slot.answers,
            failures: all.failures + slot.failures,
        });
    let others = all.answers - worst.answers;
    let failures_of_others = (all.failures - worst.failures) as f64;
    let established = recent.all_routes(Side::Established);
    let usual_share = established.failures as f64 / established.answers.max(1) as f64;
    let tolerated = TOLERATED_OTHER_ENGINES_FAILURES
        + usual_share * others as f64
        + TOLERATED_OTHER_ENGINES_FRACTION * worst.failures as f64;
    worst.failures < MAX_SINGLE_ENGINE_FAILURES
        && others >= MIN_OTHER_ENGINES_ANSWERS
        && failures_of_others <= tolerated
}
