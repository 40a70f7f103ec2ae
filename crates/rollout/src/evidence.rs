//! Target against established engines at the same time, by route.
//!
//! What both versions fail alike is the requests' own fault: the rate of failures that
//! is borne is that of the established engines, with room for chance. A time to the
//! first byte is bad when it lies beyond a quantile of the established engines' times,
//! with one bucket (√2) of room.

use crate::counts::{Counts, EngineSlotCounts, RouteCounts, RouteTag, Side, SideCounts};
use crate::detector::{self, ChangeDetector};
use crate::first_byte::BUCKETS;
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, VecDeque};

/// Chance that a good version is rolled back by the tests of one rollout.
pub const FALSE_ROLL_BACK_CHANCE: f64 = 0.000_5;
/// Chance that a version of which [`SMALLEST_DEFECT`] more answers fail is accepted.
pub const FALSE_ACCEPTANCE_CHANCE: f64 = 0.001;
/// The same where the deadline leaves no time for more answers.
const FALSE_ACCEPTANCE_CHANCE_IN_HASTE: f64 = 0.01;
/// The same then by route, and of the answers since all traffic moved.
const FALSE_ACCEPTANCE_CHANCE_OF_PART_IN_HASTE: f64 = 0.1;
/// Part of the answers that a bad version fails at least.
const SMALLEST_DEFECT: f64 = 0.04;
/// Time between two steps of the tests, in milliseconds; counts come five times a
/// second.
pub const STEP_MS: u64 = 200;
/// Steps that the chance of an error is reckoned for beyond the rollout's duration: the
/// cut-over takes 10 s or less.
const STEPS_AFTER_DEADLINE: u64 = 50;
/// Tests of each route, and of all together.
const TESTS_PER_ROUTE: usize = 1 + LATE_QUANTILES.len();
/// Bad answers in excess of what is borne, over the fleet, from which a version is
/// stopped without a test; at the fiftieth, the time to stop begins to run.
pub const MANY_BAD_ANSWERS: u64 = 25;
/// What counts as bad without any test.
const WITHOUT_TEST: ExcessRule = ExcessRule {
    factor: 2.0,
    late_room: LATE_ROOM_IN_CUT_OVER,
};
/// What counts as bad when the tests already show much of a proof.
const UNDER_SUSPICION: ExcessRule = ExcessRule {
    factor: 1.0,
    late_room: LATE_ROOM,
};
/// Rate of failures that is always borne.
const MIN_BORNE_FAILURES: f64 = 0.01;
/// Rate of late first bytes that is always borne.
const MIN_BORNE_LATE: f64 = 0.05;
/// No more than that is borne, else a test could find nothing.
const MAX_BORNE: f64 = 0.8;
/// Late first bytes hang together by queues: so many count as one.
const LATE_DESIGN_EFFECT: f64 = 2.0;
/// Shares of the established engines' answers beyond which a first byte counts as late.
const LATE_QUANTILES: [f64; 2] = [0.5, 0.1];
/// Buckets of room before a first byte counts as late: slower by √2 is borne.
const LATE_ROOM: usize = 1;
/// The same once the established engines serve less and less beside the target.
const LATE_ROOM_IN_CUT_OVER: usize = 2;
/// Answers of the established engines below which their times say nothing.
const MIN_BASELINE_ANSWERS: u64 = 20;
/// Steps over which the established engines' recent answers are taken: 3 s.
const RECENT_STEPS: usize = 30;
/// Failures of one engine slot that count as the engine's own fault at most.
const ONE_ENGINE_FAILURES: u64 = 20;
/// Failures of all other engines that are borne then, beside their usual rate.
const OTHER_ENGINES_FAILURES: f64 = 2.0;
/// Answers of other engines from which it can be told that one engine alone is bad.
const MIN_OTHER_ENGINES_ANSWERS: u64 = 5;

/// What of the answers is worse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// More of them fail.
    Failures,
    /// They arrive later.
    SlowFirstByte,
    /// So many are bad that the version is stopped without a test.
    ManyBadAnswers,
    /// Nodes have stopped sending to it by what they saw alone.
    NodesStopped,
}

/// The evidence that a version is bad, for the log line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Finding {
    /// What is worse.
    pub symptom: Symptom,
    /// On which route; nothing for all together.
    pub route: Option<RouteTag>,
    /// Answers of the target that were judged.
    pub answers: u64,
    /// Bad ones among them.
    pub bad: u64,
    /// Share of bad ones that would be borne, by the established engines' answers.
    pub borne_share: f64,
    /// Logarithm of the evidence; the bad answers in excess for
    /// [`Symptom::ManyBadAnswers`], nodes for [`Symptom::NodesStopped`].
    pub evidence: f64,
    /// Where it counts as proof, in the same unit.
    pub threshold: f64,
}

/// The tests of one route, or of all together.
#[derive(Clone, Copy, Debug, Default)]
struct RouteTests {
    failures: ChangeDetector,
    late: [ChangeDetector; LATE_QUANTILES.len()],
}

/// The tests of one rollout.
#[derive(Clone, Debug)]
pub struct Evidence {
    steps: u64,
    seen: Counts,
    established_steps: VecDeque<Counts>,
    tests: BTreeMap<Option<RouteTag>, RouteTests>,
    stepped_at: Option<Millis>,
}

impl Evidence {
    /// Tests of a rollout that lasts so long, in milliseconds.
    pub fn lasting(duration_ms: u64) -> Self {
        Self {
            steps: duration_ms / STEP_MS + STEPS_AFTER_DEADLINE,
            seen: Counts::default(),
            established_steps: VecDeque::new(),
            tests: BTreeMap::new(),
            stepped_at: None,
        }
    }

    /// Takes in the fleet's sums; says what is bad, if that is proven.
    pub fn take(&mut self, sums: &Counts, is_cutting_over: bool, now: Millis) -> Option<Finding> {
        if let Some(finding) = many_bad_answers(sums) {
            return Some(finding);
        }
        let is_due = self.stepped_at.is_none_or(|at| now.since(at) >= STEP_MS);
        if is_due {
            self.stepped_at = Some(now);
            self.step(sums, is_cutting_over);
        }
        self.proven(sums)
    }

    /// The strongest evidence so far against the version.
    pub fn strongest(&self) -> Option<Finding> {
        let findings = self.tests.iter().flat_map(|(route, tests)| {
            let failures = tests.failures.evidence();
            let late = tests.latest();
            [
                self.finding(Symptom::Failures, *route, failures),
                self.finding(Symptom::SlowFirstByte, *route, late),
            ]
        });
        findings.max_by(|one, other| one.evidence.total_cmp(&other.evidence))
    }

    /// Evidence from which a version counts as bad: the chance of an error is shared by
    /// all tests that run.
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
        let room = match is_cutting_over {
            true => LATE_ROOM_IN_CUT_OVER,
            false => LATE_ROOM,
        };
        let mut pooled = Pooled::default();
        for (route, counts) in &added.routes {
            let baseline = Baseline {
                whole: sums.routes[route].established,
                recent: recent.routes[route].established,
            };
            let tests = self.tests.entry(Some(*route)).or_default();
            tests.step(&counts.target, &baseline, room, &mut pooled);
        }
        self.step_all_routes(&pooled);
    }

    /// All routes together: each answer is measured by its own route's baseline.
    fn step_all_routes(&mut self, pooled: &Pooled) {
        let tests = self.tests.entry(None).or_default();
        pooled.failures.step(&mut tests.failures, 1.0);
        for (test, late) in tests.late.iter_mut().zip(&pooled.late) {
            late.step(test, LATE_DESIGN_EFFECT);
        }
    }

    fn proven(&self, sums: &Counts) -> Option<Finding> {
        let strongest = self.strongest()?;
        let is_proven = strongest.evidence >= strongest.threshold;
        let is_excused = strongest.symptom == Symptom::Failures && is_one_engine_alone(sums);
        (is_proven && !is_excused).then_some(strongest)
    }

    fn finding(&self, symptom: Symptom, route: Option<RouteTag>, evidence: f64) -> Finding {
        let sums = &self.seen;
        let side = |side| match route {
            Some(route) => *sums.routes[&route].side(side),
            None => sums.all_routes(side),
        };
        let (target, established) = (side(Side::Target), side(Side::Established));
        let baseline = Baseline::of_whole(&established);
        let (bad, borne_share) = match symptom {
            Symptom::SlowFirstByte => {
                let bucket = late_bucket(&established, LATE_QUANTILES[1]).unwrap_or(0);
                let late = target.first_byte.from_bucket(bucket + LATE_ROOM);
                (late, baseline.borne_late(bucket))
            }
            _ => (target.failures, baseline.borne_failures()),
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
    fn step(&mut self, target: &SideCounts, baseline: &Baseline, room: usize, pooled: &mut Pooled) {
        let failures = Batch::new(target.answers, target.failures, baseline.borne_failures());
        failures.step(&mut self.failures, 1.0);
        pooled.failures.add(&failures);
        for (index, quantile) in LATE_QUANTILES.into_iter().enumerate() {
            let Some(bucket) = late_bucket(baseline.times(), quantile) else {
                continue;
            };
            let late = target.first_byte.from_bucket(bucket + room);
            let borne = baseline.borne_late(bucket);
            let late = Batch::new(target.first_byte.total(), late, borne);
            late.step(&mut self.late[index], LATE_DESIGN_EFFECT);
            pooled.late[index].add(&late);
        }
    }

    /// The strongest evidence that first bytes are late.
    fn latest(&self) -> f64 {
        let late = self.late.iter().map(ChangeDetector::evidence);
        late.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Answers of one step, bad ones among them, and how many would be borne.
#[derive(Clone, Copy, Debug, Default)]
struct Batch {
    answers: u64,
    bad: u64,
    borne: f64,
}

impl Batch {
    fn new(answers: u64, bad: u64, borne_share: f64) -> Self {
        Self {
            answers,
            bad,
            borne: borne_share * answers as f64,
        }
    }

    fn add(&mut self, other: &Self) {
        self.answers += other.answers;
        self.bad += other.bad;
        self.borne += other.borne;
    }

    fn step(&self, test: &mut ChangeDetector, design_effect: f64) {
        if self.answers == 0 {
            return;
        }
        let borne_share = self.borne / self.answers as f64;
        test.step(self.answers, self.bad, borne_share, design_effect);
    }
}

/// One step's answers of all routes.
#[derive(Clone, Copy, Debug, Default)]
struct Pooled {
    failures: Batch,
    late: [Batch; LATE_QUANTILES.len()],
}

/// The established engines' answers to compare with.
struct Baseline {
    whole: SideCounts,
    recent: SideCounts,
}

impl Baseline {
    fn of_whole(established: &SideCounts) -> Self {
        Self {
            whole: *established,
            recent: SideCounts::default(),
        }
    }

    /// Share of failures that is borne: the higher of the whole and the recent one, with
    /// room for chance.
    fn borne_failures(&self) -> f64 {
        let whole = upper_share(self.whole.failures, self.whole.answers);
        let recent = match self.recent.answers >= MIN_BASELINE_ANSWERS {
            true => upper_share(self.recent.failures, self.recent.answers),
            false => 0.0,
        };
        whole.max(recent).clamp(MIN_BORNE_FAILURES, MAX_BORNE)
    }

    /// Recent times where there are enough, else all.
    fn times(&self) -> &SideCounts {
        match self.recent.first_byte.total() >= MIN_BASELINE_ANSWERS {
            true => &self.recent,
            false => &self.whole,
        }
    }

    fn borne_late(&self, bucket: usize) -> f64 {
        let times = &self.times().first_byte;
        upper_share(times.from_bucket(bucket), times.total()).clamp(MIN_BORNE_LATE, MAX_BORNE)
    }
}

/// The share that is seen, and two standard deviations of chance.
fn upper_share(count: u64, total: u64) -> f64 {
    let count = count as f64;
    (count + 2.0 * count.sqrt() + 1.0) / (total as f64 + 4.0)
}

/// The first bucket in or beyond which at most a share of the answers lies.
fn late_bucket(established: &SideCounts, share: f64) -> Option<usize> {
    let times = &established.first_byte;
    let total = times.total();
    if total < MIN_BASELINE_ANSWERS {
        return None;
    }
    (0..BUCKETS).find(|&bucket| times.from_bucket(bucket) as f64 <= share * total as f64)
}

/// How sure a version must be to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assurance {
    /// Before the deadline: on the whole; by route and since all traffic moved, a little.
    InHaste,
    /// After the deadline there is time: of each.
    Full,
}

/// Whether a version has answered so much so well that one of which
/// [`SMALLEST_DEFECT`] more answers fail hardly ever would, on the whole, on each route
/// with a tenth of its answers, and since all traffic moved.
pub fn is_accepted(sums: &Counts, since_cut_over: &Counts, assurance: Assurance) -> bool {
    let (chance, part_chance) = match assurance {
        Assurance::InHaste => (
            FALSE_ACCEPTANCE_CHANCE_IN_HASTE,
            FALSE_ACCEPTANCE_CHANCE_OF_PART_IN_HASTE,
        ),
        Assurance::Full => (FALSE_ACCEPTANCE_CHANCE, FALSE_ACCEPTANCE_CHANCE),
    };
    let target = sums.all_routes(Side::Target);
    let established = sums.all_routes(Side::Established);
    let since = since_cut_over.all_routes(Side::Target);
    let is_worth_judging = |counts: &&RouteCounts| counts.target.answers * 10 >= target.answers;
    let mut routes = sums.routes.values().filter(is_worth_judging);
    has_answered_well(&target, &established, chance)
        && has_answered_well(&since, &established, part_chance)
        && routes.all(|it| has_answered_well(&it.target, &it.established, part_chance))
}

/// Wald's test, at its lower end.
fn has_answered_well(target: &SideCounts, established: &SideCounts, chance: f64) -> bool {
    let borne = Baseline::of_whole(established).borne_failures();
    let raised = borne + SMALLEST_DEFECT * (1.0 - borne);
    let bad = target.failures as f64;
    let good = target.answers as f64 - bad;
    let log_ratio = bad * (raised / borne).ln() + good * ((1.0 - raised) / (1.0 - borne)).ln();
    log_ratio <= chance.ln()
}

/// Bad answers of the target beyond what is borne, when they are many. Every node that
/// knows the fleet's sums stops by this, with or without a decider.
pub fn many_bad_answers(sums: &Counts) -> Option<Finding> {
    excess_finding(sums, &WITHOUT_TEST)
}

/// The same where the tests show much of a proof already: fewer excuses are made.
pub fn many_suspicious_answers(sums: &Counts) -> Option<Finding> {
    excess_finding(sums, &UNDER_SUSPICION)
}

/// Which answers count as bad beyond what is borne.
struct ExcessRule {
    /// How often more bad answers than the established engines' are borne.
    factor: f64,
    /// Buckets of room before a first byte counts as late.
    late_room: usize,
}

fn excess_finding(sums: &Counts, rule: &ExcessRule) -> Option<Finding> {
    let mut failures = Excess::default();
    let mut late = Excess::default();
    for counts in sums.routes.values() {
        failures.add_failures(counts, rule);
        late.add_late(counts, rule);
    }
    let worse = match failures.excess >= late.excess {
        true => failures,
        false => late,
    };
    let limit = MANY_BAD_ANSWERS as f64;
    (worse.excess >= limit).then(|| Finding {
        symptom: Symptom::ManyBadAnswers,
        route: None,
        answers: worse.answers,
        bad: worse.bad,
        borne_share: worse.borne / worse.answers.max(1) as f64,
        evidence: worse.excess,
        threshold: limit,
    })
}

/// Bad answers beyond what is borne.
#[derive(Clone, Copy, Debug, Default)]
struct Excess {
    answers: u64,
    bad: u64,
    borne: f64,
    excess: f64,
}

impl Excess {
    fn add_failures(&mut self, counts: &RouteCounts, rule: &ExcessRule) {
        let borne = Baseline::of_whole(&counts.established).borne_failures();
        let target = &counts.target;
        self.add(target.answers, target.failures, borne * rule.factor);
    }

    fn add_late(&mut self, counts: &RouteCounts, rule: &ExcessRule) {
        let Some(bucket) = late_bucket(&counts.established, LATE_QUANTILES[1]) else {
            return;
        };
        let borne = Baseline::of_whole(&counts.established).borne_late(bucket);
        let times = &counts.target.first_byte;
        let late = times.from_bucket(bucket + rule.late_room);
        self.add(times.total(), late, borne * rule.factor);
    }

    fn add(&mut self, answers: u64, bad: u64, borne_share: f64) {
        let borne = borne_share * answers as f64;
        self.answers += answers;
        self.bad += bad;
        self.borne += borne;
        self.excess += bad as f64 - borne;
    }
}

/// Whether one engine fails and the others do not: its health is at fault, not the
/// version. Not for ever, for a version may be bad where one engine gets the most.
fn is_one_engine_alone(sums: &Counts) -> bool {
    let slots = &sums.target_engines;
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
    let failures_of_others = all.failures - worst.failures;
    let borne = OTHER_ENGINES_FAILURES + 2.0 * MIN_BORNE_FAILURES * others as f64;
    worst.failures < ONE_ENGINE_FAILURES
        && others >= MIN_OTHER_ENGINES_ANSWERS
        && failures_of_others as f64 <= borne
}
