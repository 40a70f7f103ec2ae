//! A sum in which what was added loses weight with time, for rates of the recent past.

use crate::ids::Millis;

/// A sum that falls by a factor of e in `DECAY_MS` milliseconds; never below zero.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DecayingSum<const DECAY_MS: u64> {
    sum: f64,
    updated_at: Millis,
}

impl<const DECAY_MS: u64> DecayingSum<DECAY_MS> {
    /// Adds to the sum; negative amounts are given back.
    pub fn add(&mut self, amount: f64, now: Millis) {
        self.sum = (self.value(now) + amount).max(0.0);
        self.updated_at = self.updated_at.max(now);
    }

    /// The sum as it is now.
    pub fn value(&self, now: Millis) -> f64 {
        let age_ms = now.since(self.updated_at) as f64;
        self.sum * (-age_ms / DECAY_MS as f64).exp()
    }

    /// What was added in a millisecond, lately.
    pub fn per_ms(&self, now: Millis) -> f64 {
        self.value(now) / DECAY_MS as f64
    }

    /// What was added in a second, lately.
    pub fn per_second(&self, now: Millis) -> f64 {
        self.value(now) * 1_000.0 / DECAY_MS as f64
    }
}
