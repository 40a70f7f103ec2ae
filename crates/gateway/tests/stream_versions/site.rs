//! Nodes before engines of several software versions, and callers that take up streams.

use crate::support::caller::{prompt, send, Answer, Request};
use crate::support::configuration;
use crate::support::engine::{Behaviour, StandInEngine, EVENTS};
use crate::support::fleet::{start_known_nodes_with, wait_until_known};
use crate::support::site::{AFTER, RESUMES};
use crate::support::store::StandInStore;
use ploverlift_balancing::names::InstanceId;
use ploverlift_gateway::assembly::RunningGateway;
use ploverlift_gateway::time::sleep;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Polling interval, in milliseconds.
const POLL_MS: u64 = 5;

/// Nodes and engines of several versions.
pub struct VersionedSite {
    pub store: StandInStore,
    pub engines: Vec<StandInEngine>,
    pub nodes: Vec<RunningGateway>,
}

impl VersionedSite {
    /// Starts one engine for each of these versions, and nodes that know all of them.
    pub async fn start(nodes: usize, versions: &[&str], behaviour: Behaviour) -> Self {
        let store = StandInStore::start().await;
        store.put("Configuration", "main", configuration(1));
        let mut site = Self {
            store,
            engines: Vec::new(),
            nodes: Vec::new(),
        };
        for version in versions {
            site.add_engine(version, behaviour.clone()).await;
        }
        site.nodes = start_known_nodes_with(&site.store, nodes, "").await;
        site.wait_until_engines_known().await;
        site
    }

    /// Starts another engine and records it in the store.
    pub async fn add_engine(&mut self, version: &str, behaviour: Behaviour) {
        let name = format!("llm-{}", self.engines.len());
        let engine = StandInEngine::of_software(&name, "llm", version).await;
        engine.set(behaviour);
        self.store.put("Engines", &name, engine.record());
        self.engines.push(engine);
    }

    /// Waits until all nodes know all engines.
    pub async fn wait_until_engines_known(&self) {
        wait_until_known(&self.nodes).await;
        for node in &self.nodes {
            for engine in &self.engines {
                let instance = InstanceId(engine.instance.clone());
                while node.gateway.beliefs().engines.get(&instance).is_none() {
                    sleep(POLL_MS).await;
                }
            }
        }
    }

    /// Sets the behaviour of all engines.
    pub fn set_all(&self, behaviour: &Behaviour) {
        for engine in &self.engines {
            engine.set(behaviour.clone());
        }
    }

    pub fn callers_of(&self, node: usize) -> SocketAddr {
        self.nodes[node].callers
    }

    /// The software versions of the engines at which requests with these ids arrived.
    pub fn versions_of(&self, ids: &[&str]) -> BTreeSet<String> {
        let engines = self.engines.iter();
        let arrived = engines.filter(|engine| {
            let arrived = engine.arrived_ids();
            arrived.iter().any(|id| ids.contains(&id.as_str()))
        });
        arrived.map(|engine| engine.software.clone()).collect()
    }

    /// Begins a stream at a node, whose engine breaks it off after its second event.
    pub async fn begin_broken(&self, node: usize, id: &str) -> Answer {
        self.set_all(&Behaviour::BreakInside(3));
        let answer = send(self.callers_of(node), &prompt("resume.test", id)).await;
        self.set_all(&Behaviour::Answer);
        answer
    }

    /// Takes up a stream at a node.
    pub async fn take_up(&self, node: usize, id: &str, began: &str) -> Answer {
        send(self.callers_of(node), &resumption(id, began)).await
    }
}

/// A request that takes up a stream after its second event.
pub fn resumption(id: &str, began: &str) -> Request {
    let mut request = prompt("resume.test", id);
    request.head.headers.push(AFTER, "2");
    request.head.headers.push(RESUMES, began);
    request
}

/// Whether an answer is the rest of a stream after its second event.
pub fn is_rest(answer: &Answer) -> bool {
    let rest: String = (3..=EVENTS).map(crate::support::engine::event).collect();
    answer.is_whole && answer.text() == rest
}
