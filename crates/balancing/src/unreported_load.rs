//! Estimates the load that other nodes have sent to engines since their last reports.
//!
//! Reported loads are a quarter of a second old. An engine that looks idle, for example
//! because it has just loaded a new version, looks idle to all nodes at the same moment,
//! and until the next reports all of them would send it what only some should. A node
//! therefore assumes that each other node meanwhile sends as much as it sends itself,
//! always to the engines that look cheapest. That fills them up to one level
//! (water-filling), and all engines below that level cost the same.

use ploverlift_policy::decaying_sum::DecayingSum;

/// Time in which past requests lose weight by a factor of e, in milliseconds: a node of a
/// large fleet sends about a dozen requests in it.
const DECAY_MS: u64 = 3_000;

/// Prompt tokens that this node recently sent to engines.
pub type RecentPrefill = DecayingSum<DECAY_MS>;

/// The level up to which a volume fills engines of these costs, cheapest first. Costs and
/// volume are in milliseconds. Without volume it is the lowest cost, and without engines
/// the volume itself.
pub fn filled_level(costs: &[f64], volume_ms: f64) -> f64 {
    let mut sorted = costs.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut used_ms = 0.0;
    let mut level = sorted.first().copied().unwrap_or(0.0);
    for (filled, cost) in sorted.iter().enumerate().skip(1) {
        let needed = (cost - level) * filled as f64;
        if used_ms + needed >= volume_ms {
            return level + (volume_ms - used_ms) / filled as f64;
        }
        used_ms += needed;
        level = *cost;
    }
    level + (volume_ms - used_ms) / sorted.len().max(1) as f64
}
