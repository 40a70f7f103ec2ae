//! Nodes of a large fleet. Most of its nodes are only listed in the store and send nothing.

use super::engine::{Behaviour, StandInEngine};
use super::site::StandInSite;
use super::store::{StandInStore, StoreView};
use super::{caller, settings};
use ploverlift_balancing::peer_loads::{LoadReport, PeerId, ZoneTag};
use ploverlift_balancing::relayed_loads::RelayedReport;
use ploverlift_balancing::weights::WeightsNews;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::callers::bind;
use ploverlift_gateway::leases::LeaseRenewal;
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::peers::address_book::MESH_NODES;
use ploverlift_gateway::peers::messages::PeerReport;
use ploverlift_gateway::peers::relay_messages::RelayReport;
use ploverlift_gateway::peers::roles::{role, Role};
use ploverlift_gateway::peers::rollout_messages::RolloutReport;
use ploverlift_gateway::settings::GatewaySettings;
use ploverlift_gateway::time::sleep;
use ploverlift_lease::FencingToken;
use serde_json::json;
use std::net::SocketAddr;
use std::sync::Arc;

/// The lease renewal with the longest encoding.
pub const LARGEST_RENEWAL: LeaseRenewal = LeaseRenewal {
    token: FencingToken((1 << 53) - 1),
    revision: (1 << 44) - 1,
};
/// Polling interval, in milliseconds.
const POLL_MS: u64 = 5;

/// Lists `MESH_NODES` other nodes in the store, which send nothing: the fleet is then so large
/// that it uses relays.
pub fn list_silent_nodes(store: &StandInStore) {
    for index in 0..MESH_NODES {
        let record = json!({"address": format!("127.0.0.1:{}", 9 + index), "zone": "elsewhere",
                            "cpu_thousandths": 1, "link_mbps": 1});
        store.put("Nodes", &format!("silent-{index}"), record);
    }
}

/// Starts a node that exchanges reports with other nodes.
pub fn start_peer(store: &StandInStore, name: &str, cpu_cores: f64) -> RunningGateway {
    start_peer_with(store, name, cpu_cores, "")
}

/// Like [`start_peer`], with additional settings.
pub fn start_peer_with(
    store: &StandInStore,
    name: &str,
    cpu_cores: f64,
    more: &str,
) -> RunningGateway {
    let settings = peer_settings(store, name, cpu_cores, more);
    start(settings, Arc::new(StandInSite), silent_logger()).expect("start")
}

/// An address at which nothing listens.
fn refusing_address() -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind");
    listener.local_addr().expect("address")
}

/// Starts two nodes that know each other. The first one, whose settings file has `more` appended,
/// reaches the engines at these addresses only through the second one. Its view of the store must
/// live as long as it does.
pub async fn start_behind_peer(
    store: &StandInStore,
    engines: &[SocketAddr],
    more: &str,
) -> ([RunningGateway; 2], StoreView) {
    let refusing = engines.iter().map(|engine| (*engine, refusing_address()));
    let view = store.view(refusing.collect());
    let mut settings = peer_settings(store, "node-0", 1.0, more);
    settings.store.address = view.address;
    let cut_off = start(settings, Arc::new(StandInSite), silent_logger()).expect("start");
    let nodes = [cut_off, start_peer(store, "node-1", 1.0)];
    wait_until_known(&nodes).await;
    (nodes, view)
}

/// Settings of a node that exchanges reports with other nodes.
pub fn peer_settings(
    store: &StandInStore,
    name: &str,
    cpu_cores: f64,
    more: &str,
) -> GatewaySettings {
    let mut settings = settings(store, name, more);
    settings.listen.peers = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    settings.listen.tunnels = Some(SocketAddr::from(([127, 0, 0, 1], 0)));
    settings.node.cpu_cores = cpu_cores;
    settings
}

/// Starts the given number of engines of a service, and lists them in the store.
pub async fn start_engines(
    store: &StandInStore,
    service: &str,
    count: usize,
    behaviour: Behaviour,
) -> Vec<StandInEngine> {
    let mut started = Vec::new();
    for number in 0..count {
        let name = format!("{service}-{number}");
        let engine = StandInEngine::start(&name, service, behaviour.clone()).await;
        store.put("Engines", &name, engine.record());
        started.push(engine);
    }
    started
}

/// Starts the given number of nodes, and waits until they are ready and list each other.
pub async fn start_known_nodes(store: &StandInStore, count: usize) -> Vec<RunningGateway> {
    start_known_nodes_with(store, count, "").await
}

/// Like [`start_known_nodes`], with additional settings.
pub async fn start_known_nodes_with(
    store: &StandInStore,
    count: usize,
    more: &str,
) -> Vec<RunningGateway> {
    let names = (0..count).map(|number| format!("node-{number}"));
    let start = |name: String| start_peer_with(store, &name, 1.0, more);
    let nodes: Vec<RunningGateway> = names.map(start).collect();
    wait_until_known(&nodes).await;
    nodes
}

/// Waits until all nodes are ready and list each other.
pub async fn wait_until_known(nodes: &[RunningGateway]) {
    for node in nodes {
        while caller::get_status(node.readiness).await != 200 {
            sleep(POLL_MS).await;
        }
        while node.gateway.address_book().listed_nodes() < nodes.len() {
            sleep(POLL_MS).await;
        }
    }
}

pub fn role_of(node: &RunningGateway) -> Role {
    role(&node.gateway, node.gateway.clock.now())
}

/// Waits until a node satisfies a condition.
pub async fn wait_until(node: &RunningGateway, is_reached: impl Fn(&RunningGateway) -> bool) {
    while !is_reached(node) {
        // The probe lets the node's tasks run.
        caller::get_status(node.readiness).await;
    }
}

/// A report of a node without any contents.
pub fn empty_report() -> PeerReport {
    PeerReport {
        loads: LoadReport {
            sender: PeerId(5),
            zone: ZoneTag(6),
            life: 8,
            sequence: 21,
            is_full: true,
            loads: Vec::new(),
            loading: Vec::new(),
        },
        placements: Vec::new(),
        loaded: Vec::new(),
        lease: None,
        store_era: None,
        wants_relay_reports: true,
        lost: Vec::new(),
        rollouts: RolloutReport::default(),
    }
}

/// A report of a relay without any contents.
pub fn empty_relay_report() -> RelayReport {
    RelayReport {
        loads: RelayedReport {
            sender: PeerId(9),
            life: 3,
            sequence: 1,
            loads: Vec::new(),
            loading: Vec::new(),
            members: Vec::new(),
            zones: Vec::new(),
        },
        placements: Vec::new(),
        loaded: Vec::new(),
        lease: None,
        store_era: None,
        configuration: None,
        proof_age_ms: None,
        engines_age_ms: None,
        weights: WeightsNews::default(),
        changes_after: 0,
        changes_through: 0,
        changes: Vec::new(),
        included: None,
        rollouts: None,
        stores: Vec::new(),
        lost: Vec::new(),
        refused_requests: None,
    }
}
