//! How long the configuration at hand may be relied on.
//!
//! A key that was taken away must stop to work within a bound, also at a node
//! that cannot reach the store any more. So a node may accept keys only while
//! it can prove that its configuration was the newest a short time ago. The
//! proof counts from the *sending* of the call that gave it: what the store
//! acknowledged before that moment would have been in the answer.

use ploverlift_policy::ids::Millis;

/// The last proof that the configuration was the newest one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proven_at: Option<Millis>,
}

impl Freshness {
    /// A call that was sent at `sent` showed the newest configuration.
    pub fn prove(&mut self, sent: Millis) {
        self.proven_at = self.proven_at.max(Some(sent));
    }

    /// Time since the last proof, in milliseconds; nothing before the first.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        self.proven_at.map(|proven| now.since(proven))
    }

    /// Whether keys may be accepted: the last proof is at most `limit_ms` old.
    pub fn allows_keys(&self, now: Millis, limit_ms: u64) -> bool {
        self.age_ms(now).is_some_and(|age| age <= limit_ms)
    }
}
