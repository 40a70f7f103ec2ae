//! Reports of a relay for the tests.

use crate::support::fleet::empty_relay_report;
use ploverlift_balancing::catalogue::{EngineRecord, Heartbeat, InstanceId};
use ploverlift_gateway::peers::relay_messages::{EngineChange, RelayReport};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::net::SocketAddr;

pub const NOW: Millis = Millis(2_000_000);

pub fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

pub fn engine_change(name: &str, revision: u64, is_gone: bool) -> EngineChange {
    let instance = InstanceId(name.to_owned());
    let record = EngineRecord {
        instance: instance.clone(),
        revision,
        heartbeat: Heartbeat::default(),
        service: ServiceName::from("a-service-with-a-name"),
        address: address(65_535),
        zone: ZoneName::from("a-zone-with-a-name"),
        software: SoftwareVersion::default(),
        slots: 64,
        cold_ms: 0,
        is_leaving: true,
        weights: [("model-with-a-name".to_owned(), 123_456)].into(),
    };
    EngineChange {
        instance,
        revision,
        record: (!is_gone).then_some(record),
    }
}

/// A report of relay 9 with these changes, the first of which follows change `after`.
pub fn relay_report(sequence: u64, after: u64, changes: Vec<EngineChange>) -> RelayReport {
    let mut report = RelayReport {
        refused_requests: None,
        configuration: Some(4),
        proof_age_ms: Some(0),
        engines_age_ms: Some(0),
        changes_after: after,
        changes_through: after + changes.len() as u64,
        changes,
        ..empty_relay_report()
    };
    report.loads.sequence = sequence;
    report
}
