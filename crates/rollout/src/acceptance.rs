//! Acceptance test: whether a version has enough good answers to be completed.

use crate::baseline::{later_half_baseline, Baseline};
use crate::counts::{Counts, RouteCounts, Side, SideCounts};

/// Chance of accepting a version that fails [`MIN_DETECTABLE_DEFECT`] more of its
/// answers.
pub const FALSE_ACCEPTANCE_CHANCE: f64 = 0.001;
/// The same chance before the deadline, when there is no time for more answers.
const REDUCED_FALSE_ACCEPTANCE_CHANCE: f64 = 0.01;
/// The same chance before the deadline for each route, and for the answers since the
/// cut-over.
const REDUCED_PART_FALSE_ACCEPTANCE_CHANCE: f64 = 0.1;
/// Smallest additional failure rate of a version that counts as bad.
const MIN_DETECTABLE_DEFECT: f64 = 0.04;

/// Smallest additional rate of late first bytes of a slow version, as a part of those
/// that are not late by the baseline; for a slowdown by 2 the rate is about 0.6.
const MIN_LATE_RISE: f64 = 0.3;
/// Chance that such a slow version passes as timely.
const FALSE_TIMELINESS_CHANCE: f64 = 0.01;

/// Increase of [`MIN_DETECTABLE_DEFECT`] for each unit of the tolerated failure rate:
/// where many requests fail by themselves, it would take thousands of answers to
/// distinguish a smaller defect from chance.
const DEFECT_PER_TOLERATED_RATE: f64 = 0.5;

/// How strong the evidence must be to accept a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assurance {
    /// Before the deadline: weaker evidence, in particular for each route and for the
    /// answers since the cut-over.
    Reduced,
    /// After the deadline, when there is time: full evidence for all of these.
    Full,
}

/// Whether a version that fails [`MIN_DETECTABLE_DEFECT`] more answers would hardly ever
/// have answered this well: overall, on each route with at least a tenth of its answers,
/// and since the cut-over.
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

/// Whether a version with [`MIN_LATE_RISE`] more first bytes beyond the established
/// median would hardly ever have answered this early. Meaningful only while the
/// established engines answer at the same time.
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

/// Logarithm of the likelihood of the answers at a rate raised by `rise`, relative to
/// the tolerated rate.
fn log_likelihood_ratio(answers: u64, bad: u64, tolerated: f64, rise: f64) -> f64 {
    let raised = tolerated + rise * (1.0 - tolerated);
    let (bad, good) = (bad as f64, answers.saturating_sub(bad) as f64);
    bad * (raised / tolerated).ln() + good * ((1.0 - raised) / (1.0 - tolerated)).ln()
}

/// Wald's sequential probability ratio test, lower boundary.
fn has_answered_well(target: &SideCounts, established: &SideCounts, chance: f64) -> bool {
    let tolerated = Baseline::from_overall(established).tolerated_failure_rate();
    let defect = MIN_DETECTABLE_DEFECT + DEFECT_PER_TOLERATED_RATE * tolerated;
    log_likelihood_ratio(target.answers, target.failures, tolerated, defect) <= chance.ln()
}
