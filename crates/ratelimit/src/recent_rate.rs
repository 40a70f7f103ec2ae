//! Recent use of a tenant.

use ploverlift_policy::decaying_sum::DecayingSum;

/// Time constant by which past use decays, in milliseconds. The sum of a tenant with a few
/// requests a second stays above zero, and a sudden rise shows within half of this time.
const DECAY_MS: u64 = 1_000;

/// Exponentially decaying sum of the used units.
pub type RecentRate = DecayingSum<DECAY_MS>;
