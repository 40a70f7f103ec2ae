//! An exponentially decaying sum, used to measure recent rates.

use crate::ids::Millis;

/// A sum that decays by a factor of e every `DECAY_MS` milliseconds and is never negative.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum<const DECAY_MS: u64> {
    sum: f64,
    updated_at: Millis,
}

impl<const DECAY_MS: u64> DecayingSum<DECAY_MS> {
    /// Adds to the sum. A negative amount reverses an earlier addition.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.sum = (self.value(now) + amount).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// The decayed sum at `now`.
    pub fn value(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.updated_at) as f64;
        self.sum * (-age_ms / DECAY_MS as f64).exp()
    }

    /// The recent rate of additions per millisecond.
    pub fn per_ms(&self, now: Millis) -> f64 {
        self.value(now) / DECAY_MS as f64
    }

    /// The recent rate of additions per second.
    pub fn per_second(&self, now: Millis) -> f64 {
        self.value(now) * 1_000.0 / DECAY_MS as f64
    }
}
