//! Simulated engines: incarnation, weights, load, and a cache that records for
//! each block the scope, weights and incarnation of its computation.

use ploverlift_policy::fleet::{EngineKey, EngineObservation, Health, LoadReport};
use ploverlift_policy::ids::{BlockHash, EngineName, Incarnation, WeightsVersion, ZoneName};
use std::collections::BTreeMap;

/// Conditions under which a cached block was computed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockOrigin {
    /// Cache scope of the request that stored it.
    pub scope: String,
    /// Weights it was computed with.
    pub weights: WeightsVersion,
    /// Incarnation of the engine that computed it.
    pub incarnation: Incarnation,
}

/// A simulated engine.
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
    /// Whether the engine is leaving and refuses new requests.
    pub leaving: bool,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Weights it serves.
    pub weights: WeightsVersion,
    /// World time at which the present load of weights ends, in milliseconds.
    pub loading_until: u64,
    /// Highest fencing token of any accepted order.
    pub fencing_token: u64,
    /// Cached blocks.
    pub cache: BTreeMap<BlockHash, BlockOrigin>,
    /// Number of requests that run.
    pub running: u32,
}

impl SimEngine {
    /// Creates an engine in its first incarnation.
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

    /// Restarts the process with an empty cache. The incarnation changes only with
    /// `new_incarnation`.
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

    /// Changes the weights and clears the cache.
    pub fn change_weights(&mut self, weights: u64) {
        self.weights = WeightsVersion(weights);
        self.cache.clear();
    }

    /// The engine's state as an observer gets it at world time `now`.
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
