//! A site of several nodes, with engines that end when they run one certain request.

use crate::support::caller::{self, prompt, request, Request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine};
use crate::support::fleet::{start_engines, start_known_nodes};
use crate::support::store::StandInStore;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;

/// The body of the request that ends engines.
pub const HARMFUL: &[u8] = b"harmful";
/// Greatest number of engine ends through one request, at all nodes together.
pub const MAX_ENDED: usize = 4;

/// Nodes and the engines of one service.
pub struct Site {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub nodes: Vec<RunningGateway>,
}

impl Site {
    /// Starts the given number of engines of a service, and no node.
    pub async fn new(service: &str, engines: usize) -> Self {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let engines = start_engines(&store, service, engines, Behaviour::EndsUnder(HARMFUL)).await;
        Self {
            store,
            engines,
            nodes: Vec::new(),
        }
    }

    /// Starts nodes that report to each other.
    pub async fn start_nodes(&mut self, count: usize) {
        self.nodes = start_known_nodes(&self.store, count).await;
    }

    /// Stops all nodes at once.
    pub fn stop_nodes(&mut self) {
        self.nodes.clear();
    }

    /// Number of times that engines have ended.
    pub fn ends(&self) -> usize {
        self.engines.iter().map(StandInEngine::ends).sum()
    }

    /// Sends a request `times` times, each time to another node and with a pause after each
    /// answer. Returns the statuses.
    pub async fn send_repeatedly(
        &self,
        request: &Request,
        times: usize,
        pause_ms: u64,
    ) -> Vec<u16> {
        let mut statuses = Vec::new();
        for number in 0..times {
            let node = &self.nodes[number * 7 % self.nodes.len()];
            statuses.push(caller::send(node.callers, request).await.status());
            sleep(pause_ms).await;
        }
        statuses
    }
}

/// The request that ends engines: a stream that may not be resumed.
pub fn harmful_prompt() -> Request {
    Request {
        body: HARMFUL.to_vec(),
        ..prompt("stream.test", "harmful")
    }
}

/// The same as a repeatable request.
pub fn harmful_call() -> Request {
    Request {
        body: HARMFUL.to_vec(),
        ..request("safe.test", "harmful")
    }
}
