//! State of a stand-in engine: settings, cache, batch, and the record of all runs,
//! which tests compare with the node's behaviour.

use crate::engine_cache::BlockCache;
use ploverlift_clock::{unix_ms, Clock};
use ploverlift_policy::chain::{ChainSeed, PromptChain};
use ploverlift_policy::ids::{CacheScope, Millis, WeightsVersion};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard};

/// Settings of a stand-in engine.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Name in the machine list.
    pub name: String,
    /// Model it serves.
    pub model: String,
    /// Requests that decode at the same time.
    pub slots: u32,
    /// Requests that may wait for a slot; further ones are refused as not run.
    pub max_waiting: u32,
    /// Time to prefill one uncached token, in microseconds.
    pub prefill_micros_per_token: u64,
    /// Time between two tokens, in milliseconds.
    pub decode_ms: u64,
    /// Time to load weights, in milliseconds.
    pub load_ms: u64,
    /// Capacity of the cache, in blocks.
    pub cache_blocks: usize,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Assumed bytes per token.
    pub bytes_per_token: u32,
    /// Incarnation of the process; higher after each restart.
    pub incarnation: u64,
}

impl EngineSettings {
    /// Settings of a small, fast engine.
    pub fn named(name: &str, model: &str) -> Self {
        Self {
            name: name.to_owned(),
            model: model.to_owned(),
            slots: 32,
            max_waiting: 256,
            prefill_micros_per_token: 20,
            decode_ms: 10,
            load_ms: 600,
            cache_blocks: 4_096,
            block_tokens: 1_000,
            bytes_per_token: 4,
            incarnation: unix_ms(),
        }
    }
}

/// Counters of one request id.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunRecord {
    /// Times the request was run from its start.
    pub runs: u32,
    /// Times a stream was resumed.
    pub resumes: u32,
    /// Times the caller closed the connection before the end.
    pub cancelled: u32,
    /// Times the answer was sent completely.
    pub completed: u32,
    /// Cache scope of the request.
    pub scope: String,
}

/// Mutable state of an engine.
pub struct EngineTables {
    /// Cached blocks.
    pub cache: BlockCache,
    /// Time since the last use of the most recently evicted block, at its eviction, in
    /// milliseconds.
    pub eviction_age_ms: u64,
    /// Weights it serves.
    pub weights: WeightsVersion,
    /// Whether the engine is leaving and refuses new requests.
    pub leaving: bool,
    /// Whether the engine is loading weights.
    pub loading: bool,
    /// Highest fencing token of any accepted order.
    pub fencing_token: u64,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Prompt tokens not yet prefilled.
    pub queued_tokens: u32,
    /// Record of runs by request id.
    pub runs: BTreeMap<String, RunRecord>,
}

/// One stand-in engine.
pub struct EngineState {
    /// Settings, fixed at the start.
    pub settings: EngineSettings,
    /// Monotonic clock.
    pub clock: Clock,
    tables: Mutex<EngineTables>,
}

impl EngineState {
    /// An engine with an empty cache.
    pub fn new(settings: EngineSettings) -> Self {
        let tables = EngineTables {
            cache: BlockCache::new(settings.cache_blocks),
            eviction_age_ms: 0,
            weights: WeightsVersion(1),
            leaving: false,
            loading: false,
            fencing_token: 0,
            running: 0,
            waiting: 0,
            queued_tokens: 0,
            runs: BTreeMap::new(),
        };
        Self {
            settings,
            clock: Clock::default(),
            tables: Mutex::new(tables),
        }
    }

    /// Locks the mutable state.
    pub fn tables(&self) -> MutexGuard<'_, EngineTables> {
        self.tables
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The prompt's blocks under the engine's present weights.
    pub fn chain(&self, scope: &str, prompt: &[u8]) -> PromptChain {
        let scope = CacheScope::from(scope);
        let seed = ChainSeed {
            scope: &scope,
            model: &self.settings.model,
            weights: self.tables().weights,
        };
        let (block_tokens, bytes) = (self.settings.block_tokens, self.settings.bytes_per_token);
        PromptChain::of_text(&seed, prompt, block_tokens, bytes)
    }

    /// Caches a prompt's blocks.
    pub fn store(&self, chain: &PromptChain, now: Millis) {
        let mut tables = self.tables();
        let evicted = tables.cache.store(&chain.blocks, now);
        if let Some(last) = evicted.last() {
            tables.eviction_age_ms = last.idle_ms;
        }
    }

    /// The engine's metrics in Prometheus text format.
    pub fn metrics_page(&self) -> String {
        let tables = self.tables();
        let rows = [
            ("vllm:num_requests_running", u64::from(tables.running)),
            ("vllm:num_requests_waiting", u64::from(tables.waiting)),
            ("engine_batch_slots", u64::from(self.settings.slots)),
            (
                "engine_queued_prompt_tokens",
                u64::from(tables.queued_tokens),
            ),
            ("engine_cache_eviction_age_ms", tables.eviction_age_ms),
            ("engine_incarnation", self.settings.incarnation),
            ("engine_weights_version", tables.weights.0),
            ("engine_leaving", u64::from(tables.leaving)),
            ("engine_loading", u64::from(tables.loading)),
            ("engine_cached_blocks", tables.cache.len() as u64),
        ];
        let lines = rows.map(|(name, value)| format!("{name} {value}\n"));
        lines.concat()
    }
}
