//! Simulated engines: lives, weights, a cache of blocks with the scope and
//! weights they were computed with, and streams of pieces.

use ploverlift_policy::fleet::{EngineKey, EngineObservation, Health, LoadReport};
use ploverlift_policy::ids::{BlockHash, EngineName, Incarnation, WeightsVersion, ZoneName};
use std::collections::BTreeMap;

/// Under what a cached block was computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockOrigin {
    /// Cache scope of the request that stored it.
    pub scope: String,
    /// Weights it was computed with.
    pub weights: WeightsVersion,
    /// Life of the engine in which it was computed.
    pub incarnation: Incarnation,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct SimEngine {
    /// Name in the machine list.
    pub name: EngineName,
    /// Hash of the name.
    pub key: EngineKey,
    /// Failure domain.
    pub zone: ZoneName,
    /// Whether the process runs.
    pub alive: bool,
    /// Whether it refuses new work.
    pub leaving: bool,
    /// Its life.
    pub incarnation: Incarnation,
    /// Weights it serves.
    pub weights: WeightsVersion,
    /// Until when it loads weights, in world time.
    pub loading_until: u64,
    /// Highest fencing token of any order.
    pub fencing_token: u64,
    /// Cached blocks.
    pub cache: BTreeMap<BlockHash, BlockOrigin>,
    /// Requests under way.
    pub running: u32,
}

impl SimEngine {
    /// An engine in its first life.
    pub fn new(name: &str, zone: &str) -> Self {
        let name = EngineName::from(name);
        Self {
            key: EngineKey::of(&name),
            name,
            zone: ZoneName::from(zone),
            alive: true,
            leaving: false,
            incarnation: Incarnation(1),
            weights: WeightsVersion(1),
            loading_until: 0,
            fencing_token: 0,
            cache: BTreeMap::new(),
            running: 0,
        }
    }

    /// Starts a new life with an empty cache.
    pub fn restart(&mut self, new_incarnation: bool) {
        self.alive = true;
        self.leaving = false;
        self.running = 0;
        self.cache.clear();
        self.loading_until = 0;
        if new_incarnation {
            self.incarnation.0 += 1;
        }
    }

    /// Serves other weights from now on; what was cached is gone.
    pub fn change_weights(&mut self, weights: u64) {
        self.weights = WeightsVersion(weights);
        self.cache.clear();
    }

    /// What an observer sees at `now`.
    pub fn observation(&self, now: u64) -> EngineObservation {
        let health = if self.leaving {
            Health::Leaving
        } else if self.loading_until > now {
            Health::Loading
        } else {
            Health::Ready
        };
        EngineObservation {
            key: self.key,
            incarnation: self.incarnation,
            weights: self.weights,
            health,
            load: LoadReport {
                running: self.running,
                waiting: 0,
                slots: 64,
                queued_tokens: 0,
                eviction_age_ms: 0,
            },
        }
    }
}
