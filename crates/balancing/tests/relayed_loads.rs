//! Load sums reported by relays: subtraction of a node's own loads, overtaken reports, and
//! expiry of silent relays.

use ploverlift_balancing::catalogue::{EngineCatalogue, EngineRecord, Heartbeat, InstanceId};
use ploverlift_balancing::peer_loads::{
    present_loads, EngineLoad, EngineTag, LoadReport, PeerId, PeerLoads, ZoneTag,
};
use ploverlift_balancing::prefix_holders::{Placement, PlacementChange, PrefixHolders};
use ploverlift_balancing::relayed_loads::{RelayedLoads, RelayedReport, RELAY_SILENCE_MS};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::PartKey;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::HashMap;
use std::net::SocketAddr;

const NOW: Millis = Millis(50_000);
const ENGINE: EngineTag = EngineTag(7);

fn load(requests: u32, waiting_tokens: u64) -> EngineLoad {
    EngineLoad {
        requests,
        waiting_tokens,
    }
}

fn report(sender: u64, sequence: u64, total: EngineLoad) -> RelayedReport {
    RelayedReport {
        sender: PeerId(sender),
        life: 1,
        sequence,
        loads: vec![(ENGINE, total)],
        loading: Vec::new(),
        members: vec![PeerId(1), PeerId(2)],
        zones: vec![ZoneTag(1)],
    }
}

#[test]
fn exactly_the_included_own_report_is_subtracted() {
    let mut loads = RelayedLoads::default();
    loads.note_own_report(10, HashMap::from([(ENGINE, load(2, 300))]), NOW);
    loads.note_own_report(11, HashMap::from([(ENGINE, load(5, 900))]), NOW.plus(80));
    // The sums include the earlier report only.
    assert!(loads.apply(&report(1, 1, load(6, 1_000)), Some(10), NOW.plus(90)));
    assert_eq!(loads.at(ENGINE), Some(load(4, 700)));
    assert!(loads.apply(&report(1, 2, load(9, 1_600)), Some(11), NOW.plus(190)));
    assert_eq!(loads.at(ENGINE), Some(load(4, 700)));
    assert_eq!(loads.own_report_sent_at(11), Some(NOW.plus(80)));
    assert_eq!(loads.age_ms(NOW.plus(190)), Some(110));
    assert_eq!(loads.own_report_sent_at(12), None);
}

#[test]
fn overtaken_reports_are_ignored_and_a_restarted_relay_begins_with_no_loads() {
    let mut loads = RelayedLoads::default();
    assert!(loads.apply(&report(1, 5, load(6, 0)), None, NOW));
    assert!(!loads.apply(&report(1, 4, load(1, 0)), None, NOW));
    assert_eq!(loads.at(ENGINE), Some(load(6, 0)));
    let mut restarted = report(1, 1, load(0, 0));
    restarted.life = 2;
    restarted.loads = vec![(EngineTag(8), load(3, 0))];
    assert!(loads.apply(&restarted, None, NOW));
    assert_eq!(loads.at(ENGINE), Some(load(0, 0)));
}

#[test]
fn a_silent_relay_is_replaced_by_another_and_finally_by_reports_of_nodes() {
    let mut loads = PeerLoads::default();
    let own_report = LoadReport {
        sender: PeerId(3),
        zone: ZoneTag(1),
        life: 1,
        sequence: 1,
        is_full: true,
        loads: vec![(ENGINE, load(1, 10))],
        loading: Vec::new(),
    };
    let later = NOW.plus(500);
    loads.relayed.apply(&report(1, 1, load(6, 0)), None, NOW);
    loads.relayed.apply(&report(2, 1, load(8, 0)), None, later);
    loads.apply(&own_report, later);
    assert_eq!(loads.at(ENGINE), load(8, 0));
    loads.expire(NOW.plus(RELAY_SILENCE_MS));
    assert_eq!(loads.at(ENGINE), load(8, 0));
    loads.expire(later.plus(RELAY_SILENCE_MS));
    assert_eq!(loads.at(ENGINE), load(1, 10));
}

#[test]
fn two_relays_of_a_zone_count_once() {
    let mut loads = PeerLoads::default();
    let of_zone = |life: u64, requests: u32| LoadReport {
        sender: PeerId(9),
        zone: ZoneTag(9),
        life,
        sequence: 1,
        is_full: true,
        loads: vec![(ENGINE, load(requests, 0))],
        loading: Vec::new(),
    };
    assert!(loads.apply(&of_zone(1, 4), NOW));
    assert!(loads.apply(&of_zone(2, 5), NOW));
    assert!(!loads.apply(&of_zone(1, 4), NOW));
    assert_eq!(loads.at(ENGINE), load(5, 0));
    assert_eq!(loads.zone_totals(ZoneTag(9))[&ENGINE], load(5, 0));
    assert!(loads.zone_totals(ZoneTag(1)).is_empty());
}

#[test]
fn present_loads_are_those_of_requests_in_flight() {
    let instance = InstanceId("e".to_owned());
    let mut catalogue = EngineCatalogue::default();
    catalogue.upsert(EngineRecord {
        instance: instance.clone(),
        revision: 1,
        heartbeat: Heartbeat::default(),
        service: ServiceName::from("llm"),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: ZoneName::from("z"),
        software: SoftwareVersion::default(),
        slots: 8,
        cold_ms: 0,
        is_leaving: false,
        weights: [].into(),
    });
    catalogue.begin(&instance, 40, NOW);
    assert_eq!(
        present_loads(&catalogue)[&EngineTag::of(&instance)],
        load(1, 40)
    );
    catalogue.end(&instance, 40);
    assert!(present_loads(&catalogue).is_empty());
}

#[test]
fn a_placement_counts_as_change_when_the_holders_change_or_its_report_is_old() {
    let mut holders = PrefixHolders::default();
    let mut news = |engine: u32, is_kept: bool, after_ms: u64| {
        let placement = Placement {
            part: PartKey(1),
            engine: EngineTag(engine),
            is_kept,
        };
        let news = holders.note(placement, NOW.plus(after_ms));
        let others = holders.holders_of(PartKey(1), NOW.plus(after_ms));
        (news, others.map(|engine| engine.0).collect::<Vec<_>>())
    };
    let kept = |holders| PlacementChange::Kept { holders };
    assert_eq!(news(1, true, 0), (kept(1), vec![1]));
    assert_eq!(news(1, true, 10), (PlacementChange::Known, vec![1]));
    assert_eq!(news(2, true, 20), (kept(2), vec![1, 2]));
    assert_eq!(news(1, true, 5_100), (kept(2), vec![1, 2]));
    assert_eq!(news(1, false, 5_200), (PlacementChange::Dropped, vec![2]));
    assert_eq!(news(1, false, 5_300), (PlacementChange::Known, vec![2]));
    assert_eq!(news(1, true, 15_050), (kept(1), vec![1]));
}

#[test]
fn a_lower_life_is_accepted_after_half_a_second_without_the_higher_one() {
    let mut loads = PeerLoads::default();
    let of_life = |life: u64, sequence: u64, requests: u32| LoadReport {
        sender: PeerId(9),
        zone: ZoneTag(9),
        life,
        sequence,
        is_full: true,
        loads: vec![(ENGINE, load(requests, 0))],
        loading: Vec::new(),
    };
    assert!(loads.apply(&of_life(9_000, 80, 4), NOW));
    assert!(!loads.apply(&of_life(8_000, 90, 7), NOW.plus(499)));
    assert!(loads.apply(&of_life(7_000, 1, 2), NOW.plus(500)));
    assert_eq!(loads.at(ENGINE), load(2, 0));
    let relayed = &mut loads.relayed;
    let told = |life: u64| ploverlift_balancing::relayed_loads::RelayedReport {
        life,
        ..report(1, 1, load(3, 0))
    };
    assert!(relayed.apply(&told(9_000), None, NOW));
    assert!(!relayed.apply(&told(8_000), None, NOW.plus(499)));
    assert!(relayed.apply(&told(7_000), None, NOW.plus(500)));
}
