//! Which of a node's requests are the canary's, once it may send one.

use crate::baseline::Baseline;
use crate::counts::{Counts, RouteCounts};
use crate::gate_terms::CanaryRequest;
use crate::stage::{RolloutNumber, MILLION};
use ploverlift_routing::prompt::ChainKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Part of all prompts that the canary prefers, as a multiple of its share: enough that
/// their requests use it up, few enough that the target's caches are warm.
const PREFERRED_PROMPTS_FACTOR: u64 = 4;
/// Share of a route's requests that the canary gets, as a multiple of the whole share,
/// while the credits suffice for no more.
const ROUTE_SHARE_FACTOR: f64 = 1.5;
/// The same of a route whose requests may run once only.
const ONCE_ROUTE_SHARE_FACTOR: f64 = 0.5;
/// Arrivals that each route gets beyond its part, so that rare routes are judged.
const ROUTE_START_ARRIVALS: f64 = 3.0;
/// Answers of the target on routes whose requests may be repeated, before it gets one
/// that may run once only.
pub const MIN_REPEATABLE_ANSWERS: u64 = 20;
/// Failures among those answers that are borne beyond what the established engines'
/// answers on the same routes bear, and two standard deviations of that.
const TOLERATED_REPEATABLE_FAILURES: f64 = 1.0;
/// Requests of a service after which it is known whether any may be repeated.
const ROUTES_KNOWN_AFTER_REQUESTS: u64 = 50;

/// How much the fleet wants the canary's next request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// It keeps to the preferred prompts.
    PreferredPrompts,
    /// The preferred prompts do not use the share up.
    AnyPrompt,
}

/// Whether a request is the canary's.
pub fn is_canary_request(
    request: &CanaryRequest,
    known: &Counts,
    share_ppm: u32,
    rollout: RolloutNumber,
    urgency: Urgency,
) -> bool {
    has_route_allowance(request, known, share_ppm)
        && (request.is_repeatable || is_vetted(known))
        && (urgency == Urgency::AnyPrompt || is_preferred(request.prompt, share_ppm, rollout))
}

/// Whether the canary prefers a prompt; requests without one are all alike.
fn is_preferred(prompt: Option<ChainKey>, share_ppm: u32, rollout: RolloutNumber) -> bool {
    let Some(prompt) = prompt else {
        return true;
    };
    let place = xxh3_64_with_seed(&prompt.0.to_le_bytes(), rollout.0) % MILLION;
    place < PREFERRED_PROMPTS_FACTOR * u64::from(share_ppm)
}

/// Whether the route's part of the canary is not used up.
fn has_route_allowance(request: &CanaryRequest, known: &Counts, share_ppm: u32) -> bool {
    let nothing = RouteCounts::default();
    let counts = known.routes.get(&request.route).unwrap_or(&nothing);
    let part = match request.is_repeatable {
        true => ROUTE_SHARE_FACTOR,
        false => ONCE_ROUTE_SHARE_FACTOR,
    };
    let share = part * f64::from(share_ppm) / MILLION as f64;
    (counts.target_arrivals as f64) < share * counts.requests as f64 + ROUTE_START_ARRIVALS
}

/// Whether requests that may be repeated have shown the version, or there are none.
fn is_vetted(known: &Counts) -> bool {
    let repeatable = || known.routes.values().filter(|route| route.is_repeatable);
    let requests: u64 = repeatable().map(|route| route.requests).sum();
    if requests == 0 {
        return known.requests() >= ROUTES_KNOWN_AFTER_REQUESTS;
    }
    let answers: u64 = repeatable().map(|route| route.target.answers).sum();
    let failures: u64 = repeatable().map(|route| route.target.failures).sum();
    let tolerated: f64 = repeatable().map(tolerated_failure_rate).sum();
    let by_chance = 2.0 * tolerated.sqrt() + TOLERATED_REPEATABLE_FAILURES;
    answers >= MIN_REPEATABLE_ANSWERS && failures as f64 <= tolerated + by_chance
}

/// How many of the target's answers on a route may fail as the established ones do.
fn tolerated_failure_rate(route: &RouteCounts) -> f64 {
    let share = Baseline::from_overall(&route.established).tolerated_failure_rate();
    share * route.target.answers as f64
}

/// How many engines of the target serve the canary, so that each carries as much as an
/// established one does; two at least, so that a bad engine is told from a bad version.
pub fn canary_engines(target: usize, established: usize, share_ppm: u32) -> usize {
    let share = f64::from(share_ppm) / MILLION as f64;
    let carrying = (share * established as f64).ceil() as usize;
    carrying.max(2).min(target)
}

/// Which engines those are: the same at each node, without a word between them. Takes
/// the hashes of the names of the target's engines that may serve.
pub fn canary_subset(engines: &[u64], count: usize, rollout: RolloutNumber) -> Vec<u64> {
    let mut ordered = engines.to_vec();
    ordered.sort_by_key(|engine| xxh3_64_with_seed(&engine.to_le_bytes(), rollout.0));
    ordered.truncate(count);
    ordered
}
