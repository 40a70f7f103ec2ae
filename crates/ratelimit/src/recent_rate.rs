//! Use a second, over the last second or so.

use ploverlift_policy::ids::Millis;

/// Time in which past use loses weight by a factor of e, in milliseconds: a tenant of
/// a few requests a second has some in it, and a sudden rise shows in half of it.
const DECAY_MS: f64 = 1_000.0;

/// A decaying sum of use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RecentRate {
    tokens: f64,
    noted_at: Millis,
}

impl RecentRate {
    /// Tokens were used, or given back where negative.
    pub fn note(&mut self, tokens: f64, now: Millis) {
        self.tokens = (self.recent_tokens(now) + tokens).max(0.0);
        self.noted_at = self.noted_at.max(now);
    }

    /// Tokens used lately, the older the less.
    pub fn recent_tokens(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.noted_at) as f64;
        self.tokens * (-age_ms / DECAY_MS).exp()
    }

    /// Tokens a second.
    pub fn per_second(&self, now: Millis) -> f64 {
        self.recent_tokens(now) * 1_000.0 / DECAY_MS
    }
}
