//! Rate limits by tenant, shares of an overloaded pool, and admission by deadline.

use crate::ids::{Millis, TenantName};
use std::collections::HashMap;

/// A refusal by a limit: when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// Milliseconds after which a new try can succeed.
    pub after_ms: u64,
}

/// Shortest time given in a refusal, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest time given in a refusal, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 60_000;

impl RetryAfter {
    /// A refusal with a time within the bounds.
    pub fn clamped(milliseconds: u64) -> Self {
        Self {
            after_ms: milliseconds.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }

    /// The value of a `Retry-After` header, in whole seconds, rounded up.
    pub fn retry_after_seconds(self) -> u64 {
        self.after_ms.div_ceil(1_000)
    }
}

/// A token bucket whose rate can change with a quota lease.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated: Millis,
    rate_per_second: f64,
    burst: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate_per_second: f64, burst: f64, now: Millis) -> Self {
        let burst = burst.max(1.0);
        Self {
            tokens: burst,
            updated: now,
            rate_per_second,
            burst,
        }
    }

    /// Changes rate and burst and keeps what is in the bucket, up to the new burst.
    pub fn set_rate(&mut self, rate_per_second: f64, burst: f64, now: Millis) {
        self.refill(now);
        self.rate_per_second = rate_per_second;
        self.burst = burst.max(1.0);
        self.tokens = self.tokens.min(self.burst);
    }

    fn refill(&mut self, now: Millis) {
        let seconds = now.since(self.updated) as f64 / 1_000.0;
        self.tokens = (self.tokens + seconds * self.rate_per_second).min(self.burst);
        self.updated = self.updated.max(now);
    }

    /// Takes one token.
    ///
    /// # Errors
    /// When the bucket is empty: the time until a token is there.
    pub fn take(&mut self, now: Millis) -> Result<(), RetryAfter> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = 1.0 - self.tokens;
        let seconds = missing / self.rate_per_second.max(f64::EPSILON);
        Err(RetryAfter::clamped((seconds * 1_000.0).ceil() as u64))
    }
}

/// Requests of each tenant that are under way in one pool, against its share.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    in_flight: HashMap<TenantName, u32>,
}

impl TenantShares {
    /// Whether one more request keeps the tenant within its share of an
    /// overloaded pool. Only tenants with requests under way count, so an idle
    /// tenant's share goes to the others.
    pub fn within_share(
        &self,
        tenant: &TenantName,
        weight_of: impl Fn(&TenantName) -> u32,
        capacity: u32,
    ) -> bool {
        let own = self.in_flight.get(tenant).copied().unwrap_or(0);
        let active = self.in_flight.keys().filter(|other| *other != tenant);
        let others: u64 = active.map(|other| u64::from(weight_of(other))).sum();
        let weight = u64::from(weight_of(tenant).max(1));
        let share = u64::from(capacity) * weight / (others + weight);
        u64::from(own) < share.max(1)
    }

    /// Counts the start of a request.
    pub fn start(&mut self, tenant: &TenantName) {
        *self.in_flight.entry(tenant.clone()).or_default() += 1;
    }

    /// Counts the end of a request.
    pub fn finish(&mut self, tenant: &TenantName) {
        if let Some(count) = self.in_flight.get_mut(tenant) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                self.in_flight.remove(tenant);
            }
        }
    }

    /// Requests of all tenants that are under way.
    pub fn total(&self) -> u32 {
        self.in_flight.values().sum()
    }
}

/// Refuses at once when the expected time to first token is beyond the deadline.
///
/// # Errors
/// The time after which the queue is expected to be short enough.
pub fn admit_by_deadline(expected_ms: f64, remaining_ms: u64) -> Result<(), RetryAfter> {
    if expected_ms <= remaining_ms as f64 {
        return Ok(());
    }
    let excess = expected_ms - remaining_ms as f64;
    Err(RetryAfter::clamped(excess.ceil() as u64))
}
