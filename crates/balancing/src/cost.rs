//! The cost of an engine for a request, in milliseconds by named terms.

/// Rates with which costs are estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostRates {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Cost of what gives way to a copy of KV cache, as a share of the time to
    /// read it again.
    pub eviction_share: f64,
    /// Cost of reading what is kept elsewhere already, beside the time that it takes, as
    /// a multiple of that time.
    pub reread_share: f64,
    /// Cost of weights that are older than the newest in use, in milliseconds.
    pub stale_version_ms: f64,
    /// Cost of leaving the zone, in milliseconds.
    pub zone_ms: f64,
    /// Cost of leaving the region on top of it.
    pub region: RegionRates,
    /// Cost of one more request at a full engine of a plain service, in
    /// milliseconds for each share of its slots.
    pub slot_ms: f64,
    /// Nodes that send to the same engines, for reading one's own load as a
    /// sample of all while no other node reports its own.
    pub senders: f64,
}

/// Rates with which the cost of leaving the region is estimated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RegionRates {
    /// Round trip to another region where none was measured, in milliseconds.
    pub round_trip_ms: f64,
    /// Round trips that a request to another region is worth avoiding.
    pub round_trips: f64,
    /// Cost of a kilobyte between regions, in milliseconds.
    pub kilobyte_ms: f64,
}

impl RegionRates {
    /// Cost of sending so many bytes to another region to which a round trip takes so
    /// long, in milliseconds.
    pub fn cost_ms(&self, round_trip_ms: Option<f64>, bytes: u64) -> f64 {
        let round_trip_ms = round_trip_ms.unwrap_or(self.round_trip_ms);
        round_trip_ms * self.round_trips + bytes as f64 / 1_000.0 * self.kilobyte_ms
    }
}

/// Cost of one engine by term, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Waiting behind prompts that are being read.
    pub queue_ms: f64,
    /// Waiting behind prompts that other nodes have sent since their loads were told.
    pub unreported_ms: f64,
    /// Moving shared parts that the engine lacks from another one or the store.
    pub transfer_ms: f64,
    /// Reading again what gives way to shared parts that the engine lacks.
    pub eviction_ms: f64,
    /// Reading shared parts that no engine is known to keep.
    pub prefill_ms: f64,
    /// Reading again what is kept elsewhere, or what the prompt's home region is asked
    /// for by all others.
    pub reread_ms: f64,
    /// Running on weights older than the newest in use.
    pub stale_version_ms: f64,
    /// Reading on such weights what will be of no use once the engine has the newest.
    pub stale_reading_ms: f64,
    /// Being in another zone.
    pub zone_ms: f64,
    /// Being in another region.
    pub region_ms: f64,
    /// Requests in the slots.
    pub slots_ms: f64,
    /// Having failed lately.
    pub failure_ms: f64,
    /// Taking one of the few requests that the engine takes by its own limit.
    pub scarcity_ms: f64,
}

impl Cost {
    /// What the engine costs any prompt: all nodes see this alike.
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
            + self.failure_ms
            + self.scarcity_ms
    }
}
