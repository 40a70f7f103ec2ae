//! Constants of the emulated fleet and site.

use serde::{Deserialize, Serialize};

/// The fleet, the site and its network.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetModel {
    /// Number of engines, spread over the zones in turn.
    pub engines: usize,
    /// Number of nodes, spread over the zones in turn.
    pub nodes: usize,
    /// Number of zones.
    pub zones: usize,
    /// One-way delay between zones, in milliseconds.
    pub zone_distance_ms: f64,
    /// Requests that an engine decodes at the same time.
    pub slots: usize,
    /// Time to prefill one uncached token, in microseconds.
    pub prefill_micros_per_token: u64,
    /// Time between two tokens, in milliseconds.
    pub decode_ms: u64,
    /// Tokens in a block.
    pub block_tokens: u32,
    /// Capacity of an engine's cache, in blocks.
    pub cache_blocks: usize,
    /// Time between two load reports, in milliseconds.
    pub report_period_ms: u64,
    /// Age of a load report when it arrives, in milliseconds.
    pub report_lag_ms: u64,
    /// Operator's weight of recomputation; 1.0 is neutral.
    pub recompute_weight: f64,
}

impl FleetModel {
    /// The fleet of the `bula` workload: 18 engines, three zones, 1.5 ms between zones.
    pub fn bula() -> Self {
        Self {
            engines: 18,
            nodes: 6,
            zones: 3,
            zone_distance_ms: 1.5,
            slots: 24,
            prefill_micros_per_token: 30,
            decode_ms: 12,
            block_tokens: 1_000,
            cache_blocks: 260,
            report_period_ms: 300,
            report_lag_ms: 50,
            recompute_weight: 3.0,
        }
    }

    /// The fleet of the `city` workload: 12 engines, three zones, 1 ms between zones.
    pub fn city() -> Self {
        Self {
            engines: 12,
            zone_distance_ms: 1.0,
            cache_blocks: 400,
            ..Self::bula()
        }
    }
}
