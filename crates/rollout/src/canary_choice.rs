//! Choice of the requests that a node sends to the canary once it has a credit.

use crate::baseline::Baseline;
use crate::counts::{Counts, RouteCounts};
use crate::gate_terms::CanaryRequest;
use crate::stage::{RolloutNumber, MILLION};
use ploverlift_routing::prompt::ChainKey;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Fraction of all prompts that the canary prefers, as a multiple of its share: enough
/// for their requests to use up the share, few enough for the target's caches to be
/// warm.
const PREFERRED_PROMPTS_FACTOR: u64 = 4;
/// Upper limit of the canary's share of a route's requests, as a multiple of the overall
/// share, while the credits do not suffice for more.
const ROUTE_SHARE_FACTOR: f64 = 1.5;
/// The same for a route whose requests may be executed only once.
const ONCE_ROUTE_SHARE_FACTOR: f64 = 0.5;
/// Arrivals at the target that each route gets in addition, so that routes with few
/// requests are judged.
const ROUTE_START_ARRIVALS: f64 = 3.0;
/// Answers of the target that are required on routes with repeatable requests before it
/// gets one that may be executed only once.
pub const MIN_REPEATABLE_ANSWERS: u64 = 20;
/// Failures among those answers that are tolerated in addition to the rate of the
/// established engines on the same routes and two standard deviations of it.
const TOLERATED_REPEATABLE_FAILURES: f64 = 1.0;
/// Number of requests of a service after which it is known whether any of them are
/// repeatable.
const ROUTES_KNOWN_AFTER_REQUESTS: u64 = 50;

/// How urgently the fleet needs the next request for the canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Urgency {
    /// Only requests with a preferred prompt are chosen.
    PreferredPrompts,
    /// The preferred prompts do not use up the share: any prompt is chosen.
    AnyPrompt,
}

/// Whether a request goes to the canary.
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

/// Whether the canary prefers a prompt; requests without one are all equal.
fn is_preferred(prompt: Option<ChainKey>, share_ppm: u32, rollout: RolloutNumber) -> bool {
    let Some(prompt) = prompt else {
        return true;
    };
    let position = xxh3_64_with_seed(&prompt.0.to_le_bytes(), rollout.0) % MILLION;
    position < PREFERRED_PROMPTS_FACTOR * u64::from(share_ppm)
}

/// Whether the route's allowance of the canary is not used up.
fn has_route_allowance(request: &CanaryRequest, known: &Counts, share_ppm: u32) -> bool {
    let nothing = RouteCounts::default();
    let counts = known.routes.get(&request.route).unwrap_or(&nothing);
    let share_factor = match request.is_repeatable {
        true => ROUTE_SHARE_FACTOR,
        false => ONCE_ROUTE_SHARE_FACTOR,
    };
    let share = share_factor * f64::from(share_ppm) / MILLION as f64;
    (counts.target_arrivals as f64) < share * counts.requests as f64 + ROUTE_START_ARRIVALS
}

/// Whether the target has answered enough repeatable requests well, or the service has
/// no such requests.
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

/// Number of the target's answers on a route that may fail, at the tolerated rate.
fn tolerated_failure_rate(route: &RouteCounts) -> f64 {
    let share = Baseline::from_overall(&route.established).tolerated_failure_rate();
    share * route.target.answers as f64
}

/// Number of the target's engines that serve the canary: each carries as much load as an
/// established one, but at least two serve, so that a bad engine can be distinguished from
/// a bad version.
pub fn canary_engines(target: usize, established: usize, share_ppm: u32) -> usize {
    let share = f64::from(share_ppm) / MILLION as f64;
    let carrying = (share * established as f64).ceil() as usize;
    carrying.max(2).min(target)
}

/// Selects these engines, the same ones on each node without coordination. `engines` are
/// the hashes of the names of the target's engines that may serve.
pub fn canary_subset(engines: &[u64], count: usize, rollout: RolloutNumber) -> Vec<u64> {
    let mut ordered = engines.to_vec();
    ordered.sort_by_key(|engine| xxh3_64_with_seed(&engine.to_le_bytes(), rollout.0));
    ordered.truncate(count);
    ordered
}
