//! Versions that can't be placed with the known orders, and established versions.

use crate::beliefs::{order, progress, route, service, NOW};
use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_gateway::rollouts::choice::{OwnSeat, VersionedRequest};
use ploverlift_gateway::rollouts::RolloutBeliefs;
use ploverlift_policy::ids::ZoneName;
use ploverlift_rollout::credits::Seat;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::stage::Stage;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn record(name: &str, software: &str, revision: u64) -> EngineRecord {
    EngineRecord {
        instance: InstanceId(name.to_owned()),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        service: service(),
        zone: ZoneName("z".to_owned()),
        slots: 1,
        software: SoftwareVersion(software.to_owned()),
        weights: BTreeMap::new(),
        is_leaving: false,
        cold_ms: 0,
        revision,
        heartbeat: Heartbeat::default(),
    }
}

/// A node that knows the orders up to revision 3, and engines recorded later.
fn node_with_later_engines(records: &[(&str, &str, u64)]) -> (RolloutBeliefs, EngineCatalogue) {
    let mut engines = EngineCatalogue::default();
    let mut node = RolloutBeliefs::default();
    node.note_orders_known(3, Some(NOW), &engines, NOW);
    for (name, software, revision) in records {
        let record = record(name, software, *revision);
        node.note_engine(&record);
        engines.upsert(record);
    }
    (node, engines)
}

#[test]
fn without_placed_versions_the_first_recorded_version_serves() {
    let (node, engines) = node_with_later_engines(&[("a", "v1", 10), ("b", "v1", 11)]);
    assert_eq!(node.unplaced(&service(), &engines), []);
    let records = [("a", "v1", 10), ("b", "v2", 12), ("c", "v1", 14)];
    let (mut node, engines) = node_with_later_engines(&records);
    let v2 = SoftwareVersion("v2".to_owned());
    assert_eq!(
        node.unplaced(&service(), &engines),
        std::slice::from_ref(&v2)
    );
    // A relay that knows more orders has placed them.
    node.note_placed(&service(), &v2);
    node.note_placed(&service(), &SoftwareVersion("v1".to_owned()));
    assert_eq!(node.unplaced(&service(), &engines), []);
}

#[test]
fn a_repeated_order_while_cutting_over_returns_to_the_established_version() {
    let (mut node, mut engines) = node_with_later_engines(&[]);
    for record in [record("a", "v1", 1), record("b", "v2", 2)] {
        node.note_engine(&record);
        engines.upsert(record);
    }
    let mut ordered = order(8);
    let status = progress(Stage::CuttingOver).status(&ordered);
    ordered.status = Some(status);
    let update = node.apply_order(ordered.clone(), RolloutSettings::default(), NOW);
    assert!(update.is_some());
    let own = OwnSeat {
        node: PeerId(1),
        life: 1,
        seat: Seat { rank: 0, nodes: 1 },
    };
    let route = route("a");
    let request = VersionedRequest {
        service: &service(),
        route: &route,
        prompt: None,
        tried: &[],
        is_sent_before: false,
    };
    let allowed = |node: &RolloutBeliefs| {
        let choice = node.software_choice(&request, &engines, Some(&own), NOW);
        let rule = choice.expect("a version serves").rule;
        ["v1", "v2"].map(|version| rule.allows(&SoftwareVersion(version.to_owned())))
    };
    assert_eq!(allowed(&node), [false, true]);
    ordered.duration_ms *= 2;
    ordered.revision += 1;
    let update = node.apply_order(ordered, RolloutSettings::default(), NOW);
    assert!(update.is_some());
    assert_eq!(allowed(&node), [true, false]);
}
