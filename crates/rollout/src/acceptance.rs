//! Whether a version has answered so much so well that it may be completed.

use crate::baseline::{later_half_baseline, Baseline};
use crate::counts::{Counts, RouteCounts, Side, SideCounts};

/// Chance that a version of which [`MIN_DETECTABLE_DEFECT`] more answers fail is accepted.
pub const FALSE_ACCEPTANCE_CHANCE: f64 = 0.001;
/// The same where the deadline leaves no time for more answers.
const REDUCED_FALSE_ACCEPTANCE_CHANCE: f64 = 0.01;
/// The same then by route, and of the answers since all traffic moved.
const REDUCED_PART_FALSE_ACCEPTANCE_CHANCE: f64 = 0.1;
/// Part of the answers that a bad version fails at least.
const MIN_DETECTABLE_DEFECT: f64 = 0.04;

/// Part of the first bytes that are later than borne of a slow version at least: slower by
/// 2 it is some 0.6 of the rest.
const MIN_LATE_RISE: f64 = 0.3;
/// Chance that such a version counts as prompt.
const FALSE_TIMELINESS_CHANCE: f64 = 0.01;

/// The same beyond that, as a part of the failures that are borne: where many requests
/// fail by themselves, a few more could be told from chance by thousands of answers only.
const DEFECT_PER_TOLERATED_RATE: f64 = 0.5;

/// How sure a version must be to be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assurance {
    /// Before the deadline: on the whole; by route and since all traffic moved, a little.
    Reduced,
    /// After the deadline there is time: of each.
    Full,
}

/// Whether a version has answered so much so well that one of which
/// [`MIN_DETECTABLE_DEFECT`] more answers fail hardly ever would, on the whole, on each route
/// with a tenth of its answers, and since all traffic moved.
pub fn is_accepted(sums: &Counts, since_cut_over: &Counts, assurance: Assurance) -> bool {
    let (chance, part_chance) = match assurance {
        Assurance::Reduced => (
            REDUCED_FALSE_ACCEPTANCE_CHANCE,
            REDUCED_PART_FALSE_ACCEPTANCE_CHANCE,
        ),
        Assurance::Full => (FALSE_ACCEPTANCE_CHANCE, FALSE_ACCEPTANCE_CHANCE),
    };
    let target = sums.all_routes(Side::Target);
    let established = sums.all_routes(Side::Established);
    let since = since_cut_over.all_routes(Side::Target);
    let is_significant = |counts: &&RouteCounts| counts.target.answers * 10 >= target.answers;
    let mut routes = sums.routes.values().filter(is_significant);
    has_answered_well(&target, &established, chance)
        && has_answered_well(&since, &established, part_chance)
        && routes.all(|it| has_answered_well(&it.target, &it.established, part_chance))
}

/// Whether its first bytes came so soon that a version of which [`MIN_LATE_RISE`] more are
/// beyond the established median hardly ever gave them. To be asked while the established
/// engines answer at the same time.
pub fn is_first_byte_timely(sums: &Counts) -> bool {
    let log_ratios = sums.routes.values().filter_map(|counts| {
        let (bucket, tolerated) = later_half_baseline(&counts.established)?;
        let late = counts.target.first_byte.count_from_bucket(bucket);
        let answers = counts.target.first_byte.total();
        Some(log_likelihood_ratio(
            answers,
            late,
            tolerated,
            MIN_LATE_RISE,
        ))
    });
    log_ratios.sum::<f64>() <= FALSE_TIMELINESS_CHANCE.ln()
}

/// Logarithm of how much likelier the bad answers are of a version that fails more.
fn log_likelihood_ratio(answers: u64, bad: u64, tolerated: f64, rise: f64) -> f64 {
    let raised = tolerated + rise * (1.0 - tolerated);
    let (bad, good) = (bad as f64, answers.saturating_sub(bad) as f64);
    bad * (raised / tolerated).ln() + good * ((1.0 - raised) / (1.0 - tolerated)).ln()
}

/// Wald's test, at its lower end.
fn has_answered_well(target: &SideCounts, established: &SideCounts, chance: f64) -> bool {
    let tolerated = Baseline::from_overall(established).tolerated_failure_rate();
    let defect = MIN_DETECTABLE_DEFECT + DEFECT_PER_TOLERATED_RATE * tolerated;
    log_likelihood_ratio(target.answers, target.failures, tolerated, defect) <= chance.ln()
}
