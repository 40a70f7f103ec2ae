//! Cost of an engine for a request, in milliseconds by named terms.

/// Rates from which costs are estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostRates {
    /// Prefill rate of an engine, in prompt tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of the cache entries that a copy of KV cache evicts, as a share of the time
    /// to prefill them again.
    pub eviction_share: f64,
    /// Additional cost of prefilling what is already cached elsewhere, as a multiple of
    /// the prefill time.
    pub reread_share: f64,
    /// Cost of weights older than the newest in use, in milliseconds.
    pub stale_version_ms: f64,
    /// Cost of leaving the zone, in milliseconds.
    pub zone_ms: f64,
    /// Cost of leaving the region, added to `zone_ms`.
    pub region: RegionRates,
    /// Cost of occupied slots, in milliseconds for all slots of an engine; a request costs
    /// this divided by the number of slots. It is the only cost of waiting for services
    /// whose requests have no prompt.
    pub slot_ms: f64,
    /// Assumed number of nodes that send to the same engines. While no other node reports
    /// its load, a node multiplies its own load by this number.
    pub senders: f64,
}

/// Rates from which the cost of leaving the region is estimated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionRates {
    /// Round-trip time assumed for another region while none was measured, in
    /// milliseconds.
    pub round_trip_ms: f64,
    /// Number of round trips that staying in the region is worth.
    pub round_trips: f64,
    /// Cost of sending a kilobyte between regions, in milliseconds.
    pub kilobyte_ms: f64,
}

impl RegionRates {
    /// Cost of sending `bytes` to another region with this round-trip time, in
    /// milliseconds.
    pub fn cost_ms(&self, round_trip_ms: Option<f64>, bytes: u64) -> f64 {
        let round_trip_ms = round_trip_ms.unwrap_or(self.round_trip_ms);
        round_trip_ms * self.round_trips + bytes as f64 / 1_000.0 * self.kilobyte_ms
    }
}

/// Cost of one engine by term, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Waiting behind queued prompts.
    pub queue_ms: f64,
    /// Waiting behind prompts that other nodes have sent since their last load reports.
    pub unreported_ms: f64,
    /// Moving shared parts that the engine lacks from another engine or a store.
    pub transfer_ms: f64,
    /// Prefilling again what is evicted to cache the shared parts that the engine lacks.
    pub eviction_ms: f64,
    /// Prefilling shared parts that are neither cached by the engine nor moved to it.
    pub prefill_ms: f64,
    /// Prefilling again what is cached elsewhere, or what all other nodes send to the
    /// prompt's home region.
    pub reread_ms: f64,
    /// Running on weights older than the newest in use.
    pub stale_version_ms: f64,
    /// Prefilling on such weights, which is of no use once the engine has loaded the
    /// newest.
    pub stale_reading_ms: f64,
    /// Being in another zone.
    pub zone_ms: f64,
    /// Being in another region.
    pub region_ms: f64,
    /// Reaching the engine through a peer.
    pub path_ms: f64,
    /// Occupied slots.
    pub slots_ms: f64,
    /// Recent failures.
    pub failure_ms: f64,
    /// Using up one of the few requests that the engine's rate limit allows.
    pub scarcity_ms: f64,
}

impl Cost {
    /// Cost that does not depend on the prompt; all nodes compute the same value.
    pub(crate) fn prompt_independent_ms(&self) -> f64 {
        self.queue_ms + self.slots_ms + self.stale_version_ms + self.failure_ms + self.scarcity_ms
    }

    /// The sum of all terms.
    pub fn total_ms(&self) -> f64 {
        let waiting_ms = self.queue_ms + self.unreported_ms + self.slots_ms;
        let prompt_ms = self.transfer_ms + self.eviction_ms + self.prefill_ms + self.reread_ms;
        waiting_ms
            + prompt_ms
            + self.stale_version_ms
            + self.stale_reading_ms
            + self.zone_ms
            + self.region_ms
            + self.path_ms
            + self.failure_ms
            + self.scarcity_ms
    }
}
