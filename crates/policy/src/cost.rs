//! The scoring function: the expected time to first token at one engine, in
//! milliseconds, by terms.

use crate::fleet::Engine;
use crate::ids::{Millis, ZoneName};
use serde::{Deserialize, Serialize};

/// Terms of an engine's cost, each in milliseconds of time to first token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Expected wait behind work that was sent before.
    pub wait_ms: f64,
    /// Prefill of tokens that are not cached, weighted by the operator.
    pub prefill_ms: f64,
    /// Travel between this node's zone and the engine's, both ways.
    pub distance_ms: f64,
}

impl Cost {
    /// The sum of all terms.
    pub fn total_ms(&self) -> f64 {
        self.wait_ms + self.prefill_ms + self.distance_ms
    }
}

/// Constants of a pool and a site that the cost depends on.
#[derive(Clone, Debug)]
pub struct CostModel {
    /// Time to prefill one token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Weight of recomputation over the plain time it takes.
    pub recompute_weight: f64,
    /// Travel one way between zones, in milliseconds.
    pub zone_distance_ms: f64,
    /// Expected time until a place in a full batch is free, in milliseconds for each request ahead.
    pub slot_wait_ms: f64,
}

/// Expected wait for one place of a full batch, in milliseconds. Replaced by
/// the measured drain rate once an engine reports one.
pub const DEFAULT_SLOT_WAIT_MS: f64 = 50.0;

/// How much of a cached prefix is still expected to be there, from 0 to 1.
///
/// Engines let the least recently used block go first, so a block is there
/// until its age reaches the engine's eviction age: full worth up to
/// [`SAFE_AGE_SHARE`] of it, then falling to nothing at the age itself.
pub fn expected_retention(age_ms: u64, eviction_age_ms: u64) -> f64 {
    let eviction_age = eviction_age_ms.max(1) as f64;
    let relative = age_ms as f64 / eviction_age;
    ((1.0 - relative) / (1.0 - SAFE_AGE_SHARE)).clamp(0.0, 1.0)
}

/// Share of the eviction age up to which a block is counted on in full.
pub const SAFE_AGE_SHARE: f64 = 0.8;

impl CostModel {
    /// The cost of an engine for a prompt of `prompt_tokens`, of which it is
    /// believed to hold `cached_tokens`, last used at `used_at`.
    pub fn cost(
        &self,
        engine: &Engine,
        own_zone: &ZoneName,
        prompt_tokens: u32,
        cached: Option<(u32, Millis)>,
        now: Millis,
    ) -> Cost {
        let expected_cached = cached.map_or(0.0, |(tokens, used_at)| {
            f64::from(tokens) * expected_retention(now.since(used_at), engine.eviction_age_ms)
        });
        let uncached = (f64::from(prompt_tokens) - expected_cached).max(0.0);
        Cost {
            wait_ms: self.wait(engine, now),
            prefill_ms: uncached * self.prefill_ms_per_token * self.recompute_weight,
            distance_ms: self.distance(engine, own_zone),
        }
    }

    /// Prefill of what was sent before, less what the engine has done since its
    /// report, and the wait for a place when the batch is full.
    fn wait(&self, engine: &Engine, now: Millis) -> f64 {
        let reported = f64::from(engine.load.queued_tokens) * self.prefill_ms_per_token;
        let done = now.since(engine.reported_at) as f64;
        let unreported = f64::from(engine.unreported.tokens()) * self.prefill_ms_per_token;
        let present = engine.load.running + engine.load.waiting + engine.unreported.requests();
        let excess_requests = if engine.load.slots == 0 {
            0
        } else {
            (present + 1).saturating_sub(engine.load.slots)
        };
        (reported - done).max(0.0) + unreported + f64::from(excess_requests) * self.slot_wait_ms
    }

    fn distance(&self, engine: &Engine, own_zone: &ZoneName) -> f64 {
        if engine.zone == *own_zone {
            0.0
        } else {
            2.0 * self.zone_distance_ms
        }
    }
}
