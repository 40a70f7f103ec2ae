//! What other nodes have sent to engines since their loads were told.
//!
//! Loads are a quarter of a second old. An engine that looks idle, as one that has just
//! loaded a new version, looks so to all nodes at the same moment, and in that time all
//! send to it what only some should. So a node counts what the others send meanwhile:
//! as much as it sends itself, each, and always to the engines that look cheapest. That
//! fills them up to one level (water-filling); below it, engines are alike.

use ploverlift_policy::decaying_sum::DecayingSum;

/// Time in which past requests lose weight by a factor of e, in milliseconds: a node of
/// a large fleet sends a dozen requests in it.
const DECAY_MS: u64 = 3_000;

/// Prompt tokens that this node gave engines to read lately.
pub type RecentPrefill = DecayingSum<DECAY_MS>;

/// The level up to which a volume fills engines of these costs, cheapest first. Costs
/// and volume in milliseconds; without engines or volume it is the lowest cost.
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
