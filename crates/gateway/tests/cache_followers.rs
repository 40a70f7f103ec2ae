//! Which engine caches a node follows while it receives no reports of other nodes.
//!
//! Guards against lost answers in a rolling restart: nodes whose relays were briefly silent
//! assumed that all other nodes were gone and began to follow the caches of 20 to 42 engines
//! within a second. The cache contents saturated the nodes' links and delayed running answers.
//! A restart of 69 nodes lost 42 answers; it lost 3 when such nodes began no feeds.

mod support;

use ploverlift_balancing::peer_loads::{PeerId, ZoneTag};
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::cache_feeds::engines_to_follow;
use ploverlift_gateway::callers::bind;
use ploverlift_gateway::peers::follower::handle_relay_report;
use ploverlift_gateway::peers::roles::Role;
use ploverlift_gateway::time::sleep;
use ploverlift_policy::ids::{Millis, ZoneName};
use serde_json::{json, Value};
use smol::net::TcpListener;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use support::configuration;
use support::fleet::{empty_relay_report, list_silent_nodes, role_of, start_peer, wait_until};
use support::store::StandInStore;

/// Number of engines in the node's zone, and in another one.
const ENGINES: usize = 40;
/// Number of nodes in the zone: with four followers per engine, each node follows about
/// five engines.
const NODES: u16 = 30;
/// Observed time after the last report of a relay, in milliseconds: a restart of both relays
/// of a zone is over by then.
const SILENCE_MS: u64 = 5_000;
/// Maximum number of concurrent first answers of engines: each may contain an engine's whole
/// cache contents and shares the link with the answers to callers.
const MAX_FIRST_ANSWERS: usize = 4;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn zone(name: &str) -> ZoneTag {
    ZoneTag::of(&ZoneName(name.to_owned()))
}

/// A configuration whose engines accept event calls.
fn followed_configuration() -> Value {
    let mut content = configuration(1);
    content["event_calls"] = json!(64);
    content
}

fn put_engines(store: &StandInStore, zone: &str, engines: SocketAddr) {
    for index in 0..ENGINES {
        let record = json!({"service": "llm", "address": engines.to_string(), "weights": 1,
                            "zone": zone});
        store.put("Engines", &format!("{zone}-{index}"), record);
    }
}

/// Engines that accept calls and never answer; counts the calls.
async fn silent_engines() -> (SocketAddr, Arc<AtomicUsize>, smol::Task<()>) {
    let listener: TcpListener = bind(address(0)).expect("bind");
    let own = listener.local_addr().expect("address");
    let calls = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&calls);
    let task = smol::spawn(async move {
        let mut open = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            counted.fetch_add(1, Ordering::SeqCst);
            open.push(stream);
        }
    });
    (own, calls, task)
}

/// A follower of relays in a zone with many nodes, once it knows all engines.
async fn follower(store: &StandInStore) -> RunningGateway {
    store.put("Configuration", "main", followed_configuration());
    // No process listens at this address, so no feed gets an answer.
    for name in ["z", "elsewhere"] {
        put_engines(store, name, address(9));
    }
    for index in 0..NODES {
        let record = json!({"address": address(20_000 + index).to_string(), "zone": "z",
                            "cpu_thousandths": 2_000, "link_mbps": 10});
        store.put("Nodes", &node_name(index), record);
    }
    list_silent_nodes(store);
    let node = start_peer(store, "small", 0.1);
    wait_until(&node, |node| {
        node.gateway.beliefs().engines.len() == 2 * ENGINES
    })
    .await;
    wait_until(&node, |node| node.gateway.configuration().is_some()).await;
    wait_until(&node, |node| role_of(node) == Role::Follower).await;
    node
}

fn node_name(index: u16) -> String {
    format!("large-{index}")
}

/// Delivers a relay report with the nodes of the zone and the zones that have nodes.
fn receive_relay_report(node: &RunningGateway, sequence: u64, members: std::ops::Range<u16>) {
    let mut report = empty_relay_report();
    report.loads.sequence = sequence;
    let members = members.map(|index| PeerId::of(&node_name(index)));
    report.loads.members = members.collect();
    report.loads.zones = vec![zone("z"), zone("elsewhere")];
    handle_relay_report(&node.gateway, &report, address(20_000));
}

fn followed(node: &RunningGateway, now: Millis) -> BTreeSet<String> {
    node.gateway.beliefs().peer_loads.expire(now);
    let engines = engines_to_follow(&node.gateway, now);
    let instances = engines.into_iter().map(|engine| engine.instance.0);
    instances.collect()
}

#[test]
fn a_follower_without_relay_reports_takes_over_no_engine() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = follower(&store).await;
        receive_relay_report(&node, 1, 0..NODES);
        let received_at = node.gateway.clock.now();
        let before = followed(&node, received_at);
        assert!(before.len() < ENGINES / 2, "{} of {ENGINES}", before.len());
        for passed_ms in (0..=SILENCE_MS).step_by(250) {
            let now = received_at.plus(passed_ms);
            let present = followed(&node, now);
            let added: Vec<_> = present.difference(&before).collect();
            assert!(added.is_empty(), "{added:?} after {passed_ms} ms");
        }
    });
}

#[test]
fn a_follower_before_its_first_relay_report_follows_no_engine() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = follower(&store).await;
        let now = node.gateway.clock.now();
        for passed_ms in (0..=SILENCE_MS).step_by(250) {
            let present = followed(&node, now.plus(passed_ms));
            assert_eq!(present.len(), 0, "after {passed_ms} ms");
        }
    });
}

#[test]
fn a_stopping_node_takes_over_no_engine_and_follows_none_once_it_refuses_requests() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        let node = follower(&store).await;
        receive_relay_report(&node, 1, 0..NODES);
        let now = node.gateway.clock.now();
        let before = followed(&node, now);
        assert!(!before.is_empty());
        node.gateway.begin_stop();
        // All other nodes of the zone but one are gone, so their engines would be assigned to
        // this node.
        receive_relay_report(&node, 2, 0..1);
        let present = followed(&node, now);
        assert!(present.is_subset(&before), "{present:?}, before {before:?}");
        node.gateway.begin_refusing();
        assert_eq!(followed(&node, now).len(), 0);
    });
}

#[test]
fn few_first_answers_share_the_link_with_callers() {
    smol::block_on(async {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", followed_configuration());
        let (engines, calls, _task) = silent_engines().await;
        put_engines(&store, "z", engines);
        // As the only node, it follows all engines.
        let node = start_peer(&store, "alone", 0.1);
        wait_until(&node, |_| calls.load(Ordering::SeqCst) > 0).await;
        // Less than the time-out of an event call.
        sleep(500).await;
        let calls = calls.load(Ordering::SeqCst);
        assert!(calls <= MAX_FIRST_ANSWERS, "{calls} calls at once");
    });
}
