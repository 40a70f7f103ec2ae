//! Whether a version has answered so much so well that it may be completed.

use crate::baseline::Baseline;
use crate::counts::{Counts, RouteCounts, Side, SideCounts};

/// Chance that a version of which [`SMALLEST_DEFECT`] more answers fail is accepted.
pub const FALSE_ACCEPTANCE_CHANCE: f64 = 0.001;
/// The same where the deadline leaves no time for more answers.
const FALSE_ACCEPTANCE_CHANCE_IN_HASTE: f64 = 0.01;
/// The same then by route, and of the answers since all traffic moved.
const FALSE_ACCEPTANCE_CHANCE_OF_PART_IN_HASTE: f64 = 0.1;
/// Part of the answers that a bad version fails at least.
const SMALLEST_DEFECT: f64 = 0.04;

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
