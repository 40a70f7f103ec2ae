//! Several nodes that serve the engines of one service.

use super::engine::{Behaviour, StandInEngine};
use super::fleet::{role_of, start_engines, start_known_nodes, start_peer_with};
use super::store::StandInStore;
use super::{caller, configuration};
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::peers::roles::Role;
use ploverlift_gateway::time::sleep;
use std::net::SocketAddr;

/// Polling interval, in milliseconds.
const POLL_MS: u64 = 10;

/// A store, engines of one service, and nodes.
pub struct Deployment {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub nodes: Vec<RunningGateway>,
}

impl Deployment {
    /// Starts a store and the given number of engines, and no node.
    pub async fn new(engines: usize) -> Self {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let engines = start_engines(&store, "llm", engines, Behaviour::Answer).await;
        Self {
            store,
            engines,
            nodes: Vec::new(),
        }
    }

    /// Starts nodes, and waits until they are ready and list each other.
    pub async fn start_nodes(&mut self, count: usize) {
        self.nodes = start_known_nodes(&self.store, count).await;
    }

    /// Starts two relays and the given number of nodes that follow them, with these additional
    /// settings.
    pub async fn start_relayed_nodes(&mut self, followers: usize, settings: &str) {
        for (name, cores) in [("large-1", 2.0), ("large-2", 1.0)] {
            let node = start_peer_with(&self.store, name, cores, settings);
            self.nodes.push(node);
        }
        for number in 0..followers {
            let name = format!("follower-{number}");
            let node = start_peer_with(&self.store, &name, 0.1, settings);
            self.nodes.push(node);
        }
        for (number, node) in self.nodes.iter().enumerate() {
            let expected = match number {
                0 | 1 => Role::Relay,
                _ => Role::Follower,
            };
            while role_of(node) != expected || caller::get_status(node.readiness).await != 200 {
                sleep(POLL_MS).await;
            }
        }
    }

    pub fn callers(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.nodes.iter().map(|node| node.callers)
    }
}
