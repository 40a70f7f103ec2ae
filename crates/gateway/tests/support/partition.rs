//! Nodes with a link of their own to each engine, so that a test can cut single nodes off
//! from single engines while callers, the store and the other nodes still reach them.

use super::configuration;
use super::engine::{Behaviour, StandInEngine};
use super::fleet::{peer_settings, start_engines, wait_until_known};
use super::links::{Cut, Link};
use super::site::StandInSite;
use super::store::{StandInStore, StoreView};
use super::traffic::Asked;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use serde_json::Value;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

/// Nodes, engines, and a link for each pair of them.
pub struct PartitionableSite {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub nodes: Vec<RunningGateway>,
    /// Links by node and engine.
    links: Vec<Vec<Arc<Link>>>,
    _views: Vec<StoreView>,
}

/// Requests of a window of time at one node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FirstTries {
    pub sent: usize,
    pub served: usize,
}

impl FirstTries {
    pub fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

impl PartitionableSite {
    /// Starts engines of the service `llm` and nodes, and waits until the nodes know each
    /// other.
    pub async fn start(nodes: usize, engines: usize, behaviour: Behaviour) -> Self {
        Self::start_with(nodes, engines, behaviour, |_| {}).await
    }

    /// Like [`Self::start`], with a changed configuration.
    pub async fn start_with(
        nodes: usize,
        engines: usize,
        behaviour: Behaviour,
        change: impl Fn(&mut Value),
    ) -> Self {
        let store = StandInStore::start().await;
        let mut content = configuration(1);
        change(&mut content);
        store.put("Configuration", "main", content);
        let engines = start_engines(&store, "llm", engines, behaviour).await;
        let mut site = Self {
            store,
            engines,
            nodes: Vec::new(),
            links: Vec::new(),
            _views: Vec::new(),
        };
        for number in 0..nodes {
            site.start_node(number);
        }
        wait_until_known(&site.nodes).await;
        site
    }

    fn start_node(&mut self, number: usize) {
        let engines = self.engines.iter();
        let links: Vec<Arc<Link>> = engines.map(|engine| Link::open(engine.address)).collect();
        let addresses = self.engines.iter().zip(&links);
        let addresses: HashMap<_, _> = addresses
            .map(|(engine, link)| (engine.address, link.address))
            .collect();
        let view = self.store.view(addresses);
        let mut settings = peer_settings(&self.store, &format!("node-{number}"), 1.0, "");
        settings.store.address = view.address;
        let node = start(settings, Arc::new(StandInSite), silent_logger()).expect("start");
        self.nodes.push(node);
        self.links.push(links);
        self._views.push(view);
    }

    /// The instance id of an engine.
    pub fn instance(&self, engine: usize) -> InstanceId {
        InstanceId(self.engines[engine].instance.clone())
    }

    /// Cuts nodes off from engines.
    pub async fn cut(&self, nodes: &[usize], engines: &[usize], cut: Cut) {
        for node in nodes {
            for engine in engines {
                self.links[*node][*engine].cut(cut).await;
            }
        }
    }

    /// Heals the links between nodes and engines.
    pub fn heal(&self, nodes: &[usize], engines: &[usize]) {
        for node in nodes {
            for engine in engines {
                self.links[*node][*engine].heal();
            }
        }
    }

    /// Indices of all engines.
    pub fn all_engines(&self) -> Vec<usize> {
        (0..self.engines.len()).collect()
    }

    /// Requests that were sent to nodes since a moment, by node.
    pub fn first_tries(&self, asked: &[Asked], since: Instant) -> Vec<FirstTries> {
        let mut tries = vec![FirstTries::default(); self.nodes.len()];
        for asked in asked.iter().filter(|asked| asked.at >= since) {
            tries[asked.node].sent += 1;
            tries[asked.node].served += usize::from(asked.status == 200);
        }
        tries
    }

    /// Ids of requests that arrived at engines more than once.
    pub fn repeated_arrivals(&self) -> Vec<String> {
        let mut arrivals: HashMap<String, usize> = HashMap::new();
        for id in self.engines.iter().flat_map(StandInEngine::arrived_ids) {
            *arrivals.entry(id).or_default() += 1;
        }
        let repeated = arrivals.into_iter().filter(|(_, count)| *count > 1);
        repeated.map(|(id, _)| id).collect()
    }
}
