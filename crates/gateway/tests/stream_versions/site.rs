//! Nodes before engines of several software versions, and callers that take up streams.

use crate::support::caller::{open, prompt, send, Answer, Request};
use crate::support::configuration;
use crate::support::engine::{event, Behaviour, StandInEngine, EVENTS};
use crate::support::fleet::{peer_settings, wait_until_known};
use crate::support::site::{StandInSite, AFTER, DEADLINE, RESUMES};
use crate::support::store::StandInStore;
use ploverlift_balancing::names::InstanceId;
use ploverlift_balancing::names::PeerId;
use ploverlift_gateway::assembly::{start, RunningGateway};
use ploverlift_gateway::logging::silent_logger;
use ploverlift_gateway::time::sleep;
use ploverlift_http1::{read_response_head, BodyDecoder, BufferedStream};
use serde_json::Value;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

/// Polling interval, in milliseconds.
const POLL_MS: u64 = 5;
/// Deadline of callers that take a stream up later, in milliseconds.
const PATIENCE_MS: u64 = 60_000;
/// Maximum size of an answer's head, in bytes.
const MAX_HEAD_BYTES: usize = 65_536;

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
        for number in 0..nodes {
            // An address that no outgoing connection uses, so that a node that starts again
            // finds its port free.
            let host = Ipv4Addr::new(127, 77, 0, 1 + number as u8);
            let peers = SocketAddr::from((host, 0));
            let node = site.start_node(&format!("node-{number}"), peers).await;
            site.nodes.push(node);
        }
        site.wait_until_engines_known().await;
        site
    }

    async fn start_node(&self, name: &str, peers: SocketAddr) -> RunningGateway {
        let mut settings = peer_settings(&self.store, name, 1.0, "");
        settings.listen.peers = Some(peers);
        loop {
            let started = start(settings.clone(), Arc::new(StandInSite), silent_logger());
            match started {
                Ok(node) => return node,
                // The tasks of the killed node have not been dropped yet.
                Err(_) => sleep(POLL_MS).await,
            }
        }
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

    /// Removes an engine and its record, and waits until no node knows it.
    pub async fn remove_engine(&mut self, index: usize) {
        let engine = self.engines.remove(index);
        self.store.remove("Engines", &engine.instance);
        let instance = InstanceId(engine.instance.clone());
        for node in &self.nodes {
            while node.gateway.beliefs().engines.get(&instance).is_some() {
                sleep(POLL_MS).await;
            }
        }
    }

    /// Stores another configuration, and waits until it is in force.
    pub async fn change_configuration(&mut self, content: Value) {
        let version = content["version"].as_u64();
        self.store.put("Configuration", "main", content);
        for node in &self.nodes {
            while node.gateway.beliefs().configuration_version() != version {
                sleep(POLL_MS).await;
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
        self.begin_broken_at(node, "resume.test", id).await
    }

    /// Like [`Self::begin_broken`], on the route of a host. Its caller waits long enough to take
    /// the stream up on a slow machine.
    pub async fn begin_broken_at(&self, node: usize, host: &str, id: &str) -> Answer {
        let mut request = prompt(host, id);
        request.head.headers.push(DEADLINE, PATIENCE_MS.to_string());
        self.set_all(&Behaviour::BreakInside(3));
        let answer = send(self.callers_of(node), &request).await;
        self.set_all(&Behaviour::Answer);
        answer
    }

    /// Begins a stream at a node and reads its first event.
    pub async fn begin(&self, node: usize, id: &str) -> OpenStream {
        let mut connection = open(self.callers_of(node), &prompt("resume.test", id)).await;
        let read = read_response_head(&mut connection, "POST", MAX_HEAD_BYTES).await;
        let (head, decoder) = read.expect("a head");
        assert_eq!(head.status, 200, "{id}");
        let mut stream = OpenStream {
            id: id.to_owned(),
            connection,
            decoder,
            body: Vec::new(),
        };
        stream.read().await;
        stream
    }

    /// Ends a node without notice, as a kill does; only connections of callers stay open.
    pub fn kill(&mut self, node: usize) -> KilledNode {
        let running = self.nodes.remove(node);
        let name = running.gateway.settings().node.name.clone();
        let own = PeerId::of(&name);
        let peers = {
            let book = running.gateway.address_book();
            let listed = book.listed().find(|listed| listed.id == own);
            listed.expect("a listed node").address
        };
        KilledNode {
            index: node,
            name,
            peers,
        }
    }

    /// Starts a killed node again, at the same address for its peers.
    pub async fn start_again(&mut self, killed: KilledNode) {
        let node = self.start_node(&killed.name, killed.peers).await;
        self.nodes.insert(killed.index, node);
        self.wait_until_engines_known().await;
    }

    /// Takes up a stream at a node.
    pub async fn take_up(&self, node: usize, id: &str, began: &str) -> Answer {
        send(self.callers_of(node), &resumption(id, began)).await
    }
}

/// A node that was killed.
pub struct KilledNode {
    index: usize,
    name: String,
    /// Its address for other nodes.
    peers: SocketAddr,
}

/// A stream that a caller reads.
pub struct OpenStream {
    pub id: String,
    connection: BufferedStream,
    decoder: BodyDecoder,
    body: Vec<u8>,
}

impl OpenStream {
    async fn read(&mut self) {
        let read = self.decoder.read(&mut self.connection, &mut self.body);
        assert!(read.await.expect("events"), "{}", self.id);
    }

    /// Closes the connection, as it ends with its node; returns the number of events.
    pub fn break_off(self) -> u64 {
        let text = String::from_utf8(self.body).expect("text");
        text.matches("\n\n").count() as u64
    }
}

/// A request that takes up a stream after its second event.
pub fn resumption(id: &str, began: &str) -> Request {
    resumption_after(2, id, began)
}

/// A request that takes up a stream after an event.
pub fn resumption_after(last: u64, id: &str, began: &str) -> Request {
    let mut request = prompt("resume.test", id);
    request.head.headers.push(AFTER, last.to_string());
    request.head.headers.push(RESUMES, began);
    request
}

/// Whether an answer is the rest of a stream after its second event.
pub fn is_rest(answer: &Answer) -> bool {
    is_rest_after(2, answer)
}

/// Whether an answer is the rest of a stream after an event.
pub fn is_rest_after(last: u64, answer: &Answer) -> bool {
    let rest: String = (last + 1..=EVENTS).map(event).collect();
    answer.is_whole && answer.text() == rest
}
