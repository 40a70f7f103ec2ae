//! Use of a tenant over the last second or so.

use ploverlift_policy::decaying_sum::DecayingSum;

/// Time in which past use loses weight by a factor of e, in milliseconds: a tenant of
/// a few requests a second has some in it, and a sudden rise shows in half of it.
const DECAY_MS: u64 = 1_000;

/// Units that were used lately, the older the less.
pub type RecentRate = DecayingSum<DECAY_MS>;
