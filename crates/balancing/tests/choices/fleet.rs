//! Engines of a fleet, and the cost rates.

use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::cost::{CostRates, RegionRates};
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::net::SocketAddr;

pub const NOW: Millis = Millis(50_000);
pub const RATES: CostRates = CostRates {
    prefill_tokens_per_ms: 40.0,
    eviction_share: 0.5,
    reread_share: 2.0,
    stale_version_ms: 20.0,
    zone_ms: 2.0,
    region: RegionRates {
        round_trip_ms: 40.0,
        round_trips: 3.0,
        kilobyte_ms: 8.0,
    },
    slot_ms: 30.0,
    senders: 7.0,
};

pub fn instance(index: usize) -> InstanceId {
    InstanceId(format!("e{index}"))
}

pub fn tag(index: usize) -> EngineTag {
    EngineTag::of(&instance(index))
}

/// An engine with the first weights version of the model.
pub fn record(index: usize) -> EngineRecord {
    EngineRecord {
        instance: instance(index),
        revision: 1,
        heartbeat: Heartbeat::default(),
        service: ServiceName::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16)),
        zone: ZoneName::from("z"),
        software: SoftwareVersion::default(),
        slots: 8,
        cold_ms: 0,
        is_leaving: false,
        weights: [("m".to_owned(), 1)].into(),
    }
}
