//! A token bucket. Its level may fall below zero: tokens that were admitted before this was
//! known are a debt that later refills pay off.

use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::RateLimit;

/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// Tokens that a limit grants in `ms` milliseconds.
pub fn granted_in(limit: &RateLimit, ms: u64) -> f64 {
    limit.per_second * ms as f64 / MS_PER_SECOND
}

/// A token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    level: f64,
    refilled_at: Millis,
}

impl Bucket {
    /// Creates a bucket with this level.
    pub fn with_level(level: f64, now: Millis) -> Self {
        Self {
            level,
            refilled_at: now,
        }
    }

    /// Refills the bucket up to the burst of its limit.
    pub fn refill(&mut self, limit: &RateLimit, now: Millis) {
        let granted = granted_in(limit, now.since(self.refilled_at));
        self.level = (self.level + granted).min(limit.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Removes tokens; a negative number returns them.
    pub fn take(&mut self, tokens: f64) {
        self.level -= tokens;
    }

    /// The remaining tokens. A negative level is a debt.
    pub fn level(&self) -> f64 {
        self.level
    }
}
