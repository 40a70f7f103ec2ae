//! How long the current configuration may be used.
//!
//! A revoked key must stop working within a bound, even at a node that can no longer reach
//! the store. A node therefore accepts keys only while it can prove that its configuration
//! was the newest one a short time ago. The age of a proof counts from the *sending* of the
//! call that gave it: the answer includes every change that the store acknowledged before
//! that.

use ploverlift_policy::ids::Millis;

/// The last proof that the configuration was the newest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proven_at: Option<Millis>,
}

impl Freshness {
    /// Records that a call sent at `sent` returned the newest configuration.
    pub fn prove(&mut self, sent: Millis) {
        self.proven_at = self.proven_at.max(Some(sent));
    }

    /// Time since the last proof, in milliseconds; `None` before the first.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proven_at.map(|proven| now.since(proven))
    }

    /// Whether keys may be accepted: the last proof is at most `limit_ms` old.
    pub fn allows_keys(&self, now: Millis, limit_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age| age <= limit_ms)
    }
}
