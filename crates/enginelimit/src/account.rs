//! The token account of one engine, kept by the holder of its group.

use ploverlift_balancing::engine_rate_limits::GrantedRate;
use ploverlift_policy::ids::Millis;
use ploverlift_ratelimit::bucket::Bucket;
use ploverlift_routing::rate_limit::{LimitUnit, RateLimit};

/// Tokens reserved for urgent requests.
const URGENT_RESERVE: f64 = 0.5;
/// Milliseconds in a second.
const MS_PER_SECOND: f64 = 1_000.0;

/// A token account of one engine.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    rate: RateLimit,
    bucket: Bucket,
}

impl Account {
    /// Opens an account with an empty bucket, because the tokens granted earlier are
    /// unknown.
    pub fn beginning_at(limit: f64, now: Millis) -> Self {
        Self {
            rate: rate(limit),
            bucket: Bucket::with_level(0.0, now),
        }
    }

    /// Changes the limit from `now` on.
    pub fn set_limit(&mut self, limit: f64, now: Millis) {
        self.bucket.refill(&self.rate, now);
        self.rate = rate(limit);
    }

    /// The granted rate, in requests a second.
    pub fn per_second(&self) -> f64 {
        self.rate.per_second
    }

    /// The number of available tokens.
    pub fn level(&self, now: Millis) -> f64 {
        let mut bucket = self.bucket;
        bucket.refill(&self.rate, now);
        bucket.level()
    }

    /// Takes a token if one is available for this urgency.
    pub fn take(&mut self, is_urgent: bool, now: Millis) -> bool {
        self.bucket.refill(&self.rate, now);
        let has_token = self.bucket.level() >= self.needed(is_urgent);
        if has_token {
            self.bucket.take(1.0);
        }
        has_token
    }

    /// Returns an unused token.
    pub fn return_token(&mut self, now: Millis) {
        self.bucket.refill(&self.rate, now);
        self.bucket.take(-1.0);
        // Caps the level at a full bucket.
        self.bucket.refill(&self.rate, now);
    }

    /// Time until a token is available, in milliseconds.
    pub fn wait_ms(&self, is_urgent: bool, now: Millis) -> u64 {
        let missing = self.needed(is_urgent) - self.level(now);
        (missing.max(0.0) / self.rate.per_second * MS_PER_SECOND).ceil() as u64
    }

    fn needed(&self, is_urgent: bool) -> f64 {
        match is_urgent || self.rate.burst < 1.0 + URGENT_RESERVE {
            true => 1.0,
            false => 1.0 + URGENT_RESERVE,
        }
    }
}

fn rate(limit: f64) -> RateLimit {
    let granted = GrantedRate::under(limit);
    RateLimit {
        per_second: granted.per_second,
        burst: granted.burst,
        unit: LimitUnit::Requests,
    }
}
