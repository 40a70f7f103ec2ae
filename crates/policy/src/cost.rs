//! The scoring function: the expected time to first token at one engine, in
//! milliseconds, split into terms.

use crate::fleet::Engine;
use crate::ids::{Millis, ZoneName};
use serde::{Deserialize, Serialize};

/// Terms of an engine's cost, each in milliseconds of time to first token.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Cost {
    /// Expected wait for requests that were sent to the engine earlier.
    pub wait_ms: f64,
    /// Prefill of uncached tokens, multiplied by the pool's recompute weight.
    pub prefill_ms: f64,
    /// Network round trip between this node's zone and the engine's.
    pub distance_ms: f64,
}

impl Cost {
    /// The sum of all terms.
    pub fn total_ms(&self) -> f64 {
        self.wait_ms + self.prefill_ms + self.distance_ms
    }
}

/// Pool and site constants that the cost depends on.
#[derive(Clone, Debug)]
pub struct CostModel {
    /// Time to prefill one token, in milliseconds.
    pub prefill_ms_per_token: f64,
    /// Factor by which recomputation counts more than the time that it takes.
    pub recompute_weight: f64,
    /// One-way network latency between zones, in milliseconds.
    pub zone_distance_ms: f64,
    /// Expected wait for a slot of a full batch, in milliseconds per request ahead.
    pub slot_wait_ms: f64,
}

/// Expected wait for one slot of a full batch, in milliseconds. Replaced by the
/// measured rate at which slots become free once an engine reports one.
pub const DEFAULT_SLOT_WAIT_MS: f64 = 50.0;

/// Share of a cached prefix that the engine is expected to still hold, from 0 to 1.
///
/// Engines evict the least recently used block first, so a block stays cached until its
/// age reaches the engine's eviction age. The share is 1 up to [`SAFE_AGE_SHARE`] of that
/// age and then falls linearly to 0 at the eviction age.
pub fn expected_retention(age_ms: u64, eviction_age_ms: u64) -> f64 {
    let eviction_age = eviction_age_ms.max(1) as f64;
    let relative = age_ms as f64 / eviction_age;
    ((1.0 - relative) / (1.0 - SAFE_AGE_SHARE)).clamp(0.0, 1.0)
}

/// Share of the eviction age up to which a block is assumed to be cached.
pub const SAFE_AGE_SHARE: f64 = 0.8;

impl CostModel {
    /// The cost of an engine for a prompt of `prompt_tokens`. `cached` holds the number
    /// of tokens that the engine is believed to have cached and when they were last used.
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

    /// Prefill time of requests that were sent earlier, less the time that the engine has
    /// worked since its report, plus the wait for a slot when the batch is full.
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
