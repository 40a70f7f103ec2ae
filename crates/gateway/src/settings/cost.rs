//! Settings for the costs by which an engine is chosen.

use super::checks::{not_negative, over_zero, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[cost]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CostSettings {
    /// Prefill rate of an engine, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of the KV cache that is evicted by another copy, as a share of the time to prefill
    /// it again.
    pub eviction_share: f64,
    /// Cost of prefilling what is already cached at another engine, in addition to the time
    /// that it takes, as a multiple of that time.
    pub reread_share: f64,
    /// Cost of weights older than the newest in use, in milliseconds.
    pub stale_version_ms: f64,
    /// Cost of sending a request to another zone, in milliseconds.
    pub zone_ms: f64,
    /// Assumed round trip to another region until one is measured, in milliseconds.
    pub region_round_trip_ms: f64,
    /// Cost of sending a request to another region, in round trips: for opening the
    /// connection and for the exchange itself, and as many again because the state known of
    /// that region is older.
    pub region_round_trips: f64,
    /// Cost of each kilobyte sent between regions, in milliseconds.
    pub region_kilobyte_ms: f64,
    /// Cost of an engine with no free slots, in milliseconds.
    pub slot_ms: f64,
    /// Number of nodes that send to the same engines.
    pub senders: f64,
}

impl Default for CostSettings {
    fn default() -> Self {
        Self {
            prefill_tokens_per_ms: 40.0,
            eviction_share: 0.5,
            reread_share: 2.0,
            stale_version_ms: 80.0,
            zone_ms: 12.0,
            region_round_trip_ms: 40.0,
            region_round_trips: 3.0,
            region_kilobyte_ms: 8.0,
            slot_ms: 30.0,
            senders: 7.0,
        }
    }
}

impl CostSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        not_negative("cost.reread_share", self.reread_share)?;
        not_negative("cost.region_round_trip_ms", self.region_round_trip_ms)?;
        not_negative("cost.region_round_trips", self.region_round_trips)?;
        not_negative("cost.region_kilobyte_ms", self.region_kilobyte_ms)?;
        over_zero("cost.prefill_tokens_per_ms", self.prefill_tokens_per_ms)?;
        over_zero("cost.senders", self.senders)
    }
}
