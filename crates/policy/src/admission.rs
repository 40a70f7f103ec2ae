//! Rate limits per tenant, shares of an overloaded pool, and admission by deadline.

use crate::ids::{Millis, TenantName};
use std::collections::HashMap;

/// The delay before a retry, returned with a rejection by a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfter {
    /// Milliseconds after which a retry can succeed.
    pub after_ms: u64,
}

/// Shortest retry delay returned to a caller, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 1_000;
/// Longest retry delay returned to a caller, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 60_000;

impl RetryAfter {
    /// A retry delay, clamped to [`MIN_RETRY_AFTER_MS`] and [`MAX_RETRY_AFTER_MS`].
    pub fn clamped(milliseconds: u64) -> Self {
        Self {
            after_ms: milliseconds.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS),
        }
    }

    /// The value of a `Retry-After` header, in whole seconds, rounded up.
    pub fn seconds_rounded_up(self) -> u64 {
        self.after_ms.div_ceil(1_000)
    }
}

/// A token bucket whose rate can change when the node's quota changes.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    updated: Millis,
    rate_per_second: f64,
    burst: f64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate_per_second: f64, burst: f64, now: Millis) -> Self {
        let burst = burst.max(1.0);
        Self {
            tokens: burst,
            updated: now,
            rate_per_second,
            burst,
        }
    }

    /// Changes rate and burst. Tokens in the bucket are kept, up to the new burst.
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
    /// When the bucket is empty: the time until the next token is available.
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

/// In-flight requests of each tenant in one pool, for comparison with its share.
#[derive(Clone, Debug, Default)]
pub struct TenantShares {
    in_flight: HashMap<TenantName, u32>,
}

impl TenantShares {
    /// Whether one more request keeps the tenant within its share of an
    /// overloaded pool. Only tenants with requests in flight count, so the share
    /// of an idle tenant is divided among the others.
    pub fn is_within_share(
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

    /// In-flight requests of all tenants.
    pub fn total(&self) -> u32 {
        self.in_flight.values().sum()
    }
}

/// Rejects a request immediately when its expected time to first token exceeds the time
/// that remains before its deadline.
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
