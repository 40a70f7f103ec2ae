//! Nodes discover each other through the store and exchange their loads.

mod support;

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::engine_losses::{LostEngine, MAX_REPORTED};
use ploverlift_balancing::peer_loads::{
    EngineLoad, EngineTag, LoadReport, LoadedWeights, ModelTag, PeerId, ZoneTag,
};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_gateway::assembly::start;
use ploverlift_gateway::leases::{LeaseHolder, LeaseName, LeaseRenewal};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::peers::address_book::{AddressBook, Capacity, ListedNode, Reach};
use ploverlift_gateway::peers::messages::{
    decode, encode, placement_capacity, PeerMessage, PeerReport, MAX_PLACEMENTS,
};
use ploverlift_gateway::peers::rollout_messages::RolloutReport;
use ploverlift_lease::token::NodeNumber;
use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::{Millis, NodeName, StoreEra};
use ploverlift_routing::prompt::{cache_salt, part_keys, PartKey, PromptPart};
use serde_json::json;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use support::caller::{self, prompt};
use support::engine::{Behaviour, StandInEngine};
use support::fleet::LARGEST_RENEWAL;
use support::site::StandInSite;
use support::{configuration, settings, Fixture};

const NOW: Millis = Millis(100_000);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// A node of the own zone, or of another one.
fn listed(port: u16, is_own_zone: bool) -> ListedNode {
    ListedNode {
        tunnels: None,
        id: PeerId(u64::from(port)),
        address: address(port),
        zone: ZoneTag(u32::from(is_own_zone)),
        capacity: Capacity::default(),
    }
}

/// The largest report with these lost engines.
fn largest_report(lost: Vec<LostEngine>) -> PeerMessage {
    let placements = placement_capacity(MAX_PLACEMENTS, &lost);
    PeerMessage::Report(PeerReport {
        loads: LoadReport {
            sender: PeerId(u64::MAX),
            zone: ZoneTag(u32::MAX),
            life: u64::MAX,
            sequence: u64::MAX,
            is_full: true,
            loads: (0..48)
                .map(|engine| {
                    let load = EngineLoad {
                        requests: 64,
                        waiting_tokens: 1_000_000,
                    };
                    (EngineTag(engine), load)
                })
                .collect(),
            loading: vec![EngineTag(1), EngineTag(2)],
        },
        loaded: vec![
            LoadedWeights {
                engine: EngineTag(7),
                model: ModelTag(8),
                version: 9,
            };
            12
        ],
        lease: Some(LARGEST_RENEWAL),
        store_era: Some(StoreEra(1_000)),
        placements: (0..placements as u64)
            .map(|part| Placement {
                part: PartKey(part),
                engine: EngineTag(3),
                is_kept: part % 2 == 0,
            })
            .collect(),
        wants_relay_reports: true,
        rollouts: RolloutReport::default(),
        lost,
    })
}

#[test]
fn reports_survive_the_wire_and_fit_one_datagram() {
    let lost = vec![
        LostEngine {
            engine: EngineTag(u32::MAX),
            nodes: 79,
        };
        MAX_REPORTED
    ];
    for report in [largest_report(Vec::new()), largest_report(lost)] {
        let datagram = encode(&report);
        assert!(datagram.len() <= 1_200, "{} bytes", datagram.len());
        assert_eq!(decode(&datagram).expect("a message"), Some(report));
    }
    assert!(decode(&[0xff; 40]).is_err());
}

#[test]
fn silent_nodes_are_retried_and_zones_are_kept_apart() {
    let mut book = AddressBook::default();
    book.set_own(listed(1, true));
    book.apply_list(&[listed(1, true), listed(2, false), listed(3, true)], NOW);
    assert_eq!(book.receivers(Reach::OwnZone, NOW), [address(3)]);
    assert_eq!(book.receivers(Reach::OtherZones, NOW), [address(2)]);
    assert_eq!(book.receivers(Reach::OwnZone, NOW.plus(50)), []);
    book.note_contact(address(2), PeerId(2), NOW.plus(60));
    assert_eq!(
        book.receivers(Reach::OtherZones, NOW.plus(100)),
        [address(2)]
    );
    assert_eq!(
        book.receivers(Reach::OwnZone, NOW.plus(1_100)),
        [address(3)]
    );
}

#[test]
fn too_many_nodes_are_reported_to_in_turn() {
    let mut book = AddressBook::default();
    let nodes: Vec<ListedNode> = (1..=100).map(|port| listed(port, false)).collect();
    book.apply_list(&nodes, NOW);
    for port in 1..=100 {
        book.note_contact(address(port), PeerId(u64::from(port)), NOW);
    }
    let first = book.receivers(Reach::OtherZones, NOW.plus(10));
    let second = book.receivers(Reach::OtherZones, NOW.plus(20));
    let both: BTreeSet<SocketAddr> = first.into_iter().chain(second).collect();
    assert_eq!(both.len(), 100);
}

#[test]
fn nodes_that_are_neither_listed_nor_live_are_removed() {
    let mut book = AddressBook::default();
    book.set_own(listed(1, true));
    book.apply_list(&[listed(2, true), listed(3, true)], NOW);
    book.note_contact(address(4), PeerId(4), NOW);
    assert_eq!(book.len(), 3);
    book.apply_list(&[listed(3, true)], NOW.plus(100));
    assert_eq!(book.len(), 2);
    book.apply_list(&[listed(3, true)], NOW.plus(60_000));
    assert_eq!(book.len(), 1);
}

#[test]
fn loads_and_prefix_locations_reach_other_nodes() {
    smol::block_on(async {
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        let app = StandInEngine::start("app-1", "app", Behaviour::Silent).await;
        let fixture = Fixture::with(&[&llm, &app], configuration(1), "").await;
        let mut with_peers = settings(&fixture.store, "a", "");
        with_peers.listen.peers = Some(address(0));
        let start_peer = |name: &str| {
            let mut settings = with_peers.clone();
            settings.node.name = name.to_owned();
            start(settings, Arc::new(StandInSite), silent_logger()).expect("start")
        };
        let (sender, receiver) = (start_peer("a"), start_peer("b"));
        while caller::get_status(sender.readiness).await != 200 {}
        let read = caller::send(sender.callers, &prompt("stream.test", "r")).await;
        assert_eq!(read.status(), 200);
        let held = caller::request("patient.test", "held");
        let _open = caller::open(sender.callers, &held).await;

        let app_tag = EngineTag::of(&InstanceId("app-1".to_owned()));
        let llm_tag = EngineTag::of(&InstanceId("llm-1".to_owned()));
        let parts = [1, 2].map(|id| PromptPart { id, tokens: 10 });
        let keys = part_keys(&cache_salt("m", 1, ""), &parts);
        loop {
            // The call lets the tasks of the node run.
            caller::get_status(receiver.readiness).await;
            let now = receiver.gateway.clock.now();
            let beliefs = receiver.gateway.beliefs();
            let has_load = beliefs.peer_loads.at(app_tag).requests == 1;
            if has_load && beliefs.holders.age_ms(keys[1], llm_tag, now).is_some() {
                break;
            }
        }
        assert!(fixture.store.content("Nodes", "a").is_some());
        assert!(fixture.store.content("Nodes", "b").is_some());
    });
}

/// Leases of a deployment.
const LEASES: usize = 2;

/// A running node, and the revision of a stored lease that another holder has.
async fn node_with_lease_of_another_holder() -> (Fixture, u64) {
    let fixture = Fixture::with(&[], configuration(1), "").await;
    let lease = json!({"lease": {"holder": "other", "holderLife": 1,
                                 "fencingToken": 7, "expiresUnixMs": 0}});
    // The node reads each lease once when it starts.
    while fixture.store.calls("get Leases") < LEASES {
        caller::get_status(fixture.running().readiness).await;
    }
    let revision = fixture.store.put("Leases", "weights", lease);
    (fixture, revision)
}

fn note_lease_renewal(fixture: &Fixture, revision: u64, now: Millis) {
    let renewal = LeaseRenewal {
        token: FencingToken(7),
        revision,
    };
    let mut beliefs = fixture.gateway.beliefs();
    beliefs
        .leases
        .of_mut(LeaseName::Weights)
        .note_announced(renewal, now);
}

#[test]
fn a_lease_with_a_live_holder_is_not_read_from_the_store() {
    smol::block_on(async {
        let (fixture, revision) = node_with_lease_of_another_holder().await;
        let holder = LeaseHolder::new(&fixture.gateway, LeaseName::Weights);
        let now = fixture.gateway.clock.now();
        note_lease_renewal(&fixture, revision, now);
        assert!(!holder.renew_or_acquire().await);
        assert_eq!(fixture.store.calls("get Leases"), LEASES);
        assert_eq!(fixture.store.calls("put Leases"), 0);
    });
}

#[test]
fn a_holder_that_stopped_reporting_is_succeeded_at_once() {
    smol::block_on(async {
        let (fixture, revision) = node_with_lease_of_another_holder().await;
        let holder = LeaseHolder::new(&fixture.gateway, LeaseName::Weights);
        let now = fixture.gateway.clock.now();
        let long_ago = Millis(now.0 - 10_000);
        note_lease_renewal(&fixture, revision, long_ago);
        assert!(holder.renew_or_acquire().await);
        let number = NodeNumber::of(&NodeName::from("node"));
        let next = FencingToken::next(FencingToken(7), StoreEra(0), number);
        assert_eq!(holder.token(), next);
    });
}

#[test]
fn a_lease_renewed_since_the_last_report_is_left_to_its_holder() {
    smol::block_on(async {
        let (fixture, revision) = node_with_lease_of_another_holder().await;
        let holder = LeaseHolder::new(&fixture.gateway, LeaseName::Weights);
        let now = fixture.gateway.clock.now();
        let long_ago = Millis(now.0 - 10_000);
        let earlier = revision - 1;
        note_lease_renewal(&fixture, earlier, long_ago);
        assert!(!holder.renew_or_acquire().await);
        assert_eq!(fixture.store.calls("put Leases"), 0);
    });
}
