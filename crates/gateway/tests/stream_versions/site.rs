//! Nodes before engines of several software versions, and callers that take up streams.

use crate::support::caller::{open, prompt, send, Answer, Request};
use crate::support::configuration;
use crate::support::engine::{event, Behaviour, StandInEngine, EVENTS};
use crate::support::fleet::{list_silent_nodes, peer_settings, wait_until_known};
use crate::support::links::{Cut, Link};
use crate::support::site::{StandInSite, AFTER, DEADLINE, RESUMES};
use crate::support::store::StandInStore;
use ploverlift_balancing::names::InstanceId;
use ploverlift_balancing::names::PeerId;
use ploverlift_clock::{Clock, Suspension};
use ploverlift_gateway::assembly::{start_with_clock, RunningGateway};
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
    /// The way of the first node to the store.
    store_link: Arc<Link>,
    /// Suspends the machine of the first node.
    pub suspension: Suspension,
    clock: Clock,
    engine_count: usize,
}

impl VersionedSite {
    /// Starts one engine for each of these versions, and nodes that know all of them.
    pub async fn start(nodes: usize, versions: &[&str], behaviour: Behaviour) -> Self {
        Self::start_with(nodes, versions, behaviour, configuration(1)).await
    }

    /// Like [`Self::start`], with another configuration.
    pub async fn start_with(
        nodes: usize,
        versions: &[&str],
        behaviour: Behaviour,
        content: Value,
    ) -> Self {
        let store = StandInStore::start().await;
        Self::start_at(store, nodes, versions, behaviour, content).await
    }

    /// Like [`Self::start`], with a store that tells its era.
    pub async fn start_with_era(nodes: usize, versions: &[&str]) -> Self {
        let store = StandInStore::start().await;
        store.tell_era();
        Self::start_at(store, nodes, versions, Behaviour::Answer, configuration(1)).await
    }

    /// Like [`Self::start`], in a fleet that is so large that most nodes follow relays.
    pub async fn start_large(nodes: usize, versions: &[&str]) -> Self {
        let store = StandInStore::start().await;
        list_silent_nodes(&store);
        Self::start_at(store, nodes, versions, Behaviour::Answer, configuration(1)).await
    }

    async fn start_at(
        store: StandInStore,
        nodes: usize,
        versions: &[&str],
        behaviour: Behaviour,
        content: Value,
    ) -> Self {
        store.put("Configuration", "main", content);
        let (clock, suspension) = Clock::suspendable();
        let mut site = Self {
            store_link: Link::open(store.address),
            suspension,
            clock,
            engine_count: 0,
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
        let mut clock = Clock::default();
        if name == "node-0" {
            settings.store.address = self.store_link.address;
            clock = self.clock.clone();
        }
        loop {
            let (settings, clock) = (settings.clone(), clock.clone());
            let started = start_with_clock(settings, Arc::new(StandInSite), silent_logger(), clock);
            match started {
                Ok(node) => return node,
                // The tasks of the killed node have not been dropped yet.
                Err(_) => sleep(POLL_MS).await,
            }
        }
    }

    /// The store is silent to the first node from now on.
    pub async fn silence_store(&self) {
        self.store_link.cut(Cut::Hang).await;
    }

    /// The store answers the first node again.
    pub fn heal_store(&self) {
        self.store_link.heal();
    }

    /// Starts another engine and records it in the store.
    pub async fn add_engine(&mut self, version: &str, behaviour: Behaviour) {
        let engine = self.add_engine_of("llm", version).await;
        engine.set(behaviour);
    }

    /// Like [`Self::add_engine`], of another service.
    pub async fn add_engine_of(&mut self, service: &str, version: &str) -> &StandInEngine {
        self.engine_count += 1;
        let name = format!("{service}-{}", self.engine_count);
        let engine = StandInEngine::of_software(&name, service, version).await;
        self.store.put("Engines", &name, engine.record());
        self.engines.push(engine);
        &self.engines[self.engines.len() - 1]
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

    /// The services and versions of the engines at which requests with these ids arrived.
    pub fn sources_of(&self, ids: &[&str]) -> BTreeSet<(String, String)> {
        let engines = self.engines.iter();
        let arrived = engines.filter(|engine| {
            let arrived = engine.arrived_ids();
            arrived.iter().any(|id| ids.contains(&id.as_str()))
        });
        let source = |engine: &StandInEngine| (engine.service.clone(), engine.software.clone());
        arrived.map(source).collect()
    }

    /// Waits until all nodes but the first know all engines.
    pub async fn wait_until_others_know_engines(&self) {
        for node in &self.nodes[1..] {
            for engine in &self.engines {
                let instance = InstanceId(engine.instance.clone());
                while node.gateway.beliefs().engines.get(&instance).is_none() {
                    sleep(POLL_MS).await;
                }
            }
        }
    }

    /// Begins streams at a node, each of which its engine breaks off, until one has begun at
    /// this version; returns its id.
    pub async fn begin_broken_of(&self, node: usize, host: &str, version: &str) -> String {
        for number in 0.. {
            let id = format!("{host}-{version}-{number}");
            let answer = self.begin_broken_at(node, host, &id).await;
            let is_begun = answer.status() == 200;
            if is_begun && self.versions_of(&[&id]) == BTreeSet::from([version.to_owned()]) {
                return id;
            }
            sleep(POLL_MS).await;
        }
        unreachable!("the loop ends with a stream")
    }

    /// Kills all nodes from this one on; returns them in their order.
    pub fn kill_from(&mut self, first: usize) -> Vec<KilledNode> {
        let nodes = (first..self.nodes.len()).rev();
        let mut killed: Vec<KilledNode> = nodes.map(|node| self.kill(node)).collect();
        killed.reverse();
        killed
    }

    /// Begins a stream at a node, whose engine breaks it off after its second event.
    pub async fn begin_broken(&self, node: usize, id: &str) -> Answer {
        self.begin_broken_at(node, "resume.test", id).await
    }

    /// Like [`Self::begin_broken`], on the route of a host. Its caller waits long enough to take
    /// the stream up on a slow machine.
    pub async fn begin_broken_at(&self, node: usize, host: &str, id: &str) -> Answer {
        let mut request = prompt(host, id);
        request.head.headers.push(DEADLINE, PATIENCE_MS);
        self.set_all(&Behaviour::BreakInside(3));
        let answer = send(self.callers_of(node), &request).await;
        self.set_all(&Behaviour::Answer);
        answer
    }

    /// Begins a stream at a node and reads its first event.
    pub async fn begin(&self, node: usize, id: &str) -> OpenStream {
        let request = prompt("resume.test", id);
        self.begin_request(node, id, &request).await
    }

    /// Like [`Self::begin`]. Its caller waits long enough to take the stream up on a slow machine.
    pub async fn begin_patiently(&self, node: usize, id: &str) -> OpenStream {
        let mut request = prompt("resume.test", id);
        request.head.headers.push(DEADLINE, PATIENCE_MS);
        self.begin_request(node, id, &request).await
    }

    async fn begin_request(&self, node: usize, id: &str, request: &Request) -> OpenStream {
        let mut connection = open(self.callers_of(node), request).await;
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

    /// Ends all nodes at once, in the order of their names.
    pub fn kill_all(&mut self) -> Vec<KilledNode> {
        let last_first = (0..self.nodes.len()).rev();
        let mut killed: Vec<KilledNode> = last_first.map(|node| self.kill(node)).collect();
        killed.reverse();
        killed
    }

    /// Starts killed nodes again at once.
    pub async fn start_all_again(&mut self, mut killed: Vec<KilledNode>) {
        killed.sort_by_key(|node| node.index);
        for node in killed {
            let started = self.start_node(&node.name, node.peers).await;
            let index = node.index.min(self.nodes.len());
            self.nodes.insert(index, started);
        }
        self.wait_until_engines_known().await;
    }

    /// Takes up a stream of a host's route at a node.
    pub async fn take_up_at(&self, node: usize, host: &str, id: &str, began: &str) -> Answer {
        let mut request = resumption(id, began);
        request.head.headers.try_set("host", host).expect("a value");
        request.head.headers.push(DEADLINE, PATIENCE_MS);
        send(self.callers_of(node), &request).await
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
    request.head.headers.push(AFTER, last);
    request
        .head
        .headers
        .try_push(RESUMES, began)
        .expect("a value");
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

/// How streams that were taken up ended.
#[derive(Debug, Default)]
pub struct Resumptions {
    pub continued: usize,
    pub rejected: usize,
}

impl Resumptions {
    /// Counts a stream, and checks that it went on after an event or was rejected.
    pub fn note(&mut self, answer: &Answer, last: u64, case: &str) {
        match answer.status() {
            200 => {
                assert!(is_rest_after(last, answer), "{case}: {}", answer.text());
                self.continued += 1;
            }
            503 => self.rejected += 1,
            other => panic!("{case}: {other}: {}", answer.text()),
        }
    }

    /// The share that went on.
    pub fn continued_share(&self) -> f64 {
        let all = self.continued + self.rejected;
        self.continued as f64 / all as f64
    }
}

/// The value of a metric of a node.
pub fn metric(node: &RunningGateway, name: &str) -> f64 {
    let page = node.gateway.metrics.page();
    let mut lines = page.lines().filter(|line| !line.starts_with('#'));
    let line = lines.find(|line| line.contains(name)).expect("a metric");
    let value = line.rsplit(' ').next().expect("a value");
    value.parse().expect("a number")
}
