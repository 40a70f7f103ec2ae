//! Running relays and followers.

use crate::listed_nodes::{listed, OTHER_ZONE};
use crate::reports::{address, relay_report};
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::fleet::{list_silent_nodes, role_of, start_peer, wait_until};
use crate::support::store::StandInStore;
use crate::support::{caller, configuration};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::peer_loads::{EngineLoad, EngineTag, LoadReport, PeerId, ZoneTag};
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::leases::LeaseRenewal;
use ploverlift_gateway::peers::address_book::{ListedNode, MESH_NODES, RELAYS_PER_ZONE};
use ploverlift_gateway::peers::follower::handle_relay_report;
use ploverlift_gateway::peers::message_fields::IncludedReport;
use ploverlift_gateway::peers::messages::{decode, encode, PeerMessage, PeerReport};
use ploverlift_gateway::peers::roles::{role, Role};
use ploverlift_gateway::peers::rollout_messages::RolloutReport;
use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::{Millis, ZoneName};
use serde_json::json;
use std::net::SocketAddr;

const RENEWAL: LeaseRenewal = LeaseRenewal {
    token: FencingToken(1 << 28),
    revision: 70,
};

/// Number of calls that list the objects that nodes need to serve requests.
fn list_calls(store: &StandInStore) -> usize {
    let kinds = ["Configuration", "Engines", "Weights"];
    kinds
        .iter()
        .map(|kind| store.calls(&format!("list {kind}")))
        .sum()
}

#[test]
fn a_follower_relies_on_relays_and_reads_the_store_once_they_are_gone() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let llm = StandInEngine::start("llm-1", "llm", Behaviour::Answer).await;
        store.put("Engines", "llm-1", llm.record());
        list_silent_nodes(&store);
        let relays = [
            start_peer(&store, "large-1", 2.0),
            start_peer(&store, "large-2", 1.0),
        ];
        for relay in &relays {
            wait_until(relay, |node| role_of(node) == Role::Relay).await;
            wait_until(relay, |node| node.gateway.beliefs().has_listed_engines).await;
            wait_until(relay, |node| node.gateway.configuration().is_some()).await;
            wait_until(relay, |node| node.gateway.beliefs().weights.is_proven()).await;
        }
        assert_eq!(list_calls(&store), 3 * RELAYS_PER_ZONE);
        let follower = start_peer(&store, "small", 0.1);
        while caller::get_status(follower.readiness).await != 200 {}
        assert_eq!(role_of(&follower), Role::Follower);
        let knows = |name: &str| {
            let instance = InstanceId(name.to_owned());
            move |node: &RunningGateway| node.gateway.beliefs().engines.get(&instance).is_some()
        };
        wait_until(&follower, knows("llm-1")).await;
        // A change of the engines and a new configuration are relayed.
        store.put("Engines", "llm-2", llm.record());
        wait_until(&follower, knows("llm-2")).await;
        store.put("Configuration", "main", configuration(2));
        wait_until(&follower, |node| {
            node.gateway.beliefs().configuration_version() == Some(2)
        })
        .await;
        assert!(follower.gateway.accepts_keys());
        assert_eq!(list_calls(&store), 3 * RELAYS_PER_ZONE);
        // Both relays stop.
        drop(relays);
        store.put("Engines", "llm-3", llm.record());
        wait_until(&follower, knows("llm-3")).await;
        assert!(list_calls(&store) > 3 * RELAYS_PER_ZONE);
    });
}

#[test]
fn a_proof_counts_from_the_report_that_the_relay_answers() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(4));
        list_silent_nodes(&store);
        let node = start_peer(&store, "small", 0.1);
        wait_until(&node, |node| node.gateway.configuration().is_some()).await;
        let gateway = &node.gateway;
        // The node is its own relay; nodes with a larger capacity appear.
        let larger = json!({"address": "127.0.0.1:9", "zone": "z", "cpu_thousandths": 9_000,
                            "link_mbps": 1});
        let list = ["larger-1", "larger-2"].map(|name| {
            let record: ploverlift_gateway::peers::discovery::NodeRecord =
                serde_json::from_value(larger.clone()).expect("a record");
            let mut listed = record.listed(name);
            listed.address = address(if name == "larger-1" { 9 } else { 10 });
            listed
        });
        let silent = (0..MESH_NODES as u16).map(|port| listed(100 + port, OTHER_ZONE, 0));
        let list: Vec<ListedNode> = list.into_iter().chain(silent).collect();
        let now = gateway.clock.now();
        gateway.address_book().apply_list(&list, now);
        assert_eq!(role(gateway, now), Role::Follower);
        let age_after = |configuration: u64, included: Option<IncludedReport>| {
            let mut beliefs = gateway.beliefs();
            beliefs.freshness = Default::default();
            let sent_at = Millis(now.0 - 300);
            let relayed = &mut beliefs.peer_loads.relayed;
            relayed.note_own_report(77, Default::default(), sent_at);
            drop(beliefs);
            let mut report = relay_report(1, 0, Vec::new());
            report.configuration = Some(configuration);
            report.proof_age_ms = Some(700);
            report.included = included;
            handle_relay_report(gateway, &report, address(9));
            gateway.beliefs().freshness.age_ms(now)
        };
        let included = |life: u64| Some(IncludedReport { life, sequence: 77 });
        assert_eq!(age_after(4, included(gateway.life)), Some(1_000));
        assert_eq!(age_after(5, included(gateway.life)), None);
        assert_eq!(age_after(3, included(gateway.life)), None);
        // A report of an earlier incarnation of this node.
        assert_eq!(age_after(4, included(gateway.life - 1)), None);
        assert_eq!(age_after(4, None), None);
    });
}

#[test]
fn a_member_report_makes_its_receiver_a_relay() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        list_silent_nodes(&store);
        let node = start_peer(&store, "small", 0.1);
        wait_until(&node, |node| role_of(node) == Role::Relay).await;
        let socket = smol::net::UdpSocket::bind(address(0)).await.expect("bind");
        let report = PeerMessage::Report(PeerReport {
            loads: LoadReport {
                sender: PeerId(5),
                zone: ZoneTag::of(&ZoneName::from("z")),
                life: 8,
                sequence: 21,
                is_full: true,
                loads: vec![(
                    EngineTag(6),
                    EngineLoad {
                        requests: 3,
                        waiting_tokens: 40,
                    },
                )],
                loading: Vec::new(),
            },
            placements: Vec::new(),
            loaded: Vec::new(),
            lease: Some(RENEWAL),
            store_era: None,
            wants_relay_reports: true,
            rollouts: RolloutReport::default(),
            lost: Vec::new(),
        });
        let record = store.content("Nodes", "small").expect("its record");
        let to: SocketAddr = record["address"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("an address");
        socket.send_to(&encode(&report), to).await.expect("sent");
        let mut datagram = [0; 2_048];
        loop {
            let (length, _) = socket.recv_from(&mut datagram).await.expect("a report");
            let message = decode(&datagram[..length]).expect("a message");
            let Some(PeerMessage::RelayReport(report)) = message else {
                continue;
            };
            assert_eq!(report.loads.sender, PeerId::of("small"));
            let included = IncludedReport {
                life: 8,
                sequence: 21,
            };
            assert_eq!(report.included, Some(included));
            assert_eq!(report.lease, Some(RENEWAL));
            let load = report
                .loads
                .loads
                .iter()
                .find(|(tag, _)| *tag == EngineTag(6));
            if let Some((_, load)) = load {
                assert_eq!((load.requests, load.waiting_tokens), (3, 40));
                break;
            }
        }
    });
}
