//! Many hollow nodes in one process: the real [`NodeCore`] of every node on a
//! virtual network in virtual time. What is measured is what the cores do:
//! bytes they send, processor time they take, memory they hold, and how soon a
//! change of configuration is in force on all of them.

mod measuring;
mod reading;
mod report;

use reading::{kind_of, resident_kb, summary};
pub use report::{ScaleReport, Times};

use ploverlift_cluster::config_store::Record;
use ploverlift_cluster::core::{CoreSettings, NodeCore, TICK_MS};
use ploverlift_cluster::engine_watch::LOOK_PERIOD_MS;
use ploverlift_cluster::membership::Identity;
use ploverlift_policy::fleet::{EngineKey, EngineObservation, Health, LoadReport};
use ploverlift_policy::ids::{
    EngineName, Incarnation, Millis, NodeName, ResourceVersion, WeightsVersion, ZoneName,
};
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{Kind, MachineRole, MachineSpec, MachineState, Object};
use ploverlift_wire::messages::Envelope;
use ploverlift_wire::{encode, MAX_DATAGRAM_BYTES};
use serde::Serialize;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What to run.
#[derive(Clone, Debug)]
pub struct ScaleSettings {
    /// Nodes.
    pub nodes: usize,
    /// Zones, two a region.
    pub zones: usize,
    /// Engines, spread over the zones.
    pub engines: usize,
    /// Tenants.
    pub tenants: usize,
    /// Virtual seconds that are measured after the site has settled.
    pub seconds: u64,
    /// Changes of configuration while measuring.
    pub changes: usize,
    /// What fails while measuring.
    pub fault: ScaleFault,
    /// Seed of the virtual network.
    pub seed: u64,
}

/// What fails while measuring.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ScaleFault {
    /// Nothing.
    Calm,
    /// One message in twenty is lost.
    Loss,
    /// The first zone is cut off for 20 s before the measurement.
    CutHealed,
    /// A tenth of the nodes restarts at the beginning of the measurement.
    HerdRestart,
}

impl ScaleFault {
    /// Finds a fault by its name.
    pub fn parse(name: &str) -> Option<Self> {
        [Self::Calm, Self::Loss, Self::CutHealed, Self::HerdRestart]
            .into_iter()
            .find(|fault| json!(fault) == json!(name))
    }
}

/// Bytes of IP and UDP headers of one datagram.
const HEADER_BYTES: u64 = 28;
/// Virtual time in which the site settles, in milliseconds.
const SETTLE_MS: u64 = 15_000;
/// Longest a cut lasts, in milliseconds.
const CUT_MS: u64 = 20_000;
/// Seeds that each node is given.
const SEEDS: usize = 3;
/// Zones of one region.
const ZONES_PER_REGION: usize = 2;
/// Travel inside a zone and between zones, in milliseconds.
const NEAR_MS: u64 = 1;
const FAR_MS: u64 = 3;

struct HollowNode {
    core: NodeCore,
    zone: usize,
    started_at: u64,
    life: u64,
    sent_bytes: u64,
    sent_messages: u64,
    reads: bool,
}

enum Happening {
    Message(usize, SocketAddr, Box<Envelope>),
    Tick(usize, u64),
    Look(usize, u64),
    Read(usize, u64),
}

/// The hollow fleet.
pub struct Hollow {
    settings: ScaleSettings,
    now: u64,
    nodes: Vec<HollowNode>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    next: u64,
    random: fastrand::Rng,
    objects: Vec<Object>,
    version: u64,
    busy: Duration,
    cut: bool,
    loss: f64,
    bytes_by_message: BTreeMap<&'static str, u64>,
    leaving: Option<EngineKey>,
    incarnations: Vec<EngineKey>,
    loads: fastrand::Rng,
}

fn address(number: usize) -> SocketAddr {
    let [high, low] = (number as u16).to_be_bytes();
    SocketAddr::from(([127, 1, high, low], 7_000))
}

fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        SocketAddr::V6(_) => 0,
    }
}

fn zone_name(zone: usize) -> ZoneName {
    ZoneName(format!("zone-{zone}"))
}

fn engine_name(number: usize) -> String {
    format!("engine-{number}")
}

impl Hollow {
    /// A fleet whose nodes have not started.
    pub fn new(settings: ScaleSettings) -> Self {
        let seed = settings.seed;
        let mut hollow = Self {
            now: 0,
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            next: 0,
            random: fastrand::Rng::with_seed(seed),
            objects: Vec::new(),
            version: 0,
            busy: Duration::ZERO,
            cut: false,
            loss: 0.0,
            bytes_by_message: BTreeMap::new(),
            leaving: None,
            incarnations: Vec::new(),
            loads: fastrand::Rng::with_seed(seed ^ 1),
            settings,
        };
        hollow.make_objects();
        for number in 0..hollow.settings.nodes {
            let node = hollow.new_node(number);
            hollow.nodes.push(node);
            hollow.schedule_node(number);
        }
        hollow
    }

    fn make_objects(&mut self) {
        let mut objects = Vec::new();
        for model in 0..6 {
            let name = format!("model-{model}");
            let selector = json!({"matchLabels": {"model": name}});
            let pool = json!({"model": name, "selector": selector});
            objects.push(Object::new(Kind::Pool, &name, Labels::default(), pool));
            let route = json!({"pool": name});
            objects.push(Object::new(Kind::Route, &name, Labels::default(), route));
        }
        for tenant in 0..self.settings.tenants {
            let hash = ploverlift_policy::snapshot::hash_key(&tenant.to_string());
            let spec = json!({"keyHashes": [hash], "requestsPerSecond": 100});
            let name = format!("tenant-{tenant}");
            objects.push(Object::new(Kind::Tenant, &name, Labels::default(), spec));
        }
        for engine in 0..self.settings.engines {
            let spec = MachineSpec {
                role: MachineRole::Engine,
                address: format!("10.0.{}.{}:8000", engine / 250, engine % 250),
                zone: zone_name(engine % self.settings.zones),
                state: MachineState::Live,
            };
            let model = format!("model-{}", engine % 6);
            let labels = Labels::from_pairs([("model", &model)]);
            let name = engine_name(engine);
            objects.push(Object::new(Kind::Machine, &name, labels, spec));
            self.incarnations.push(EngineKey::of(&EngineName(name)));
        }
        for object in &mut objects {
            self.version += 1;
            object.metadata.resource_version = ResourceVersion(self.version);
        }
        self.objects = objects;
    }

    fn new_node(&mut self, number: usize) -> HollowNode {
        let zone = number % self.settings.zones;
        let life = self.now + 1;
        let identity = Identity {
            name: NodeName(format!("node-{number}")),
            zone: zone_name(zone),
            region: format!("region-{}", zone / ZONES_PER_REGION),
            address: address(number),
            life,
        };
        let seeds = (0..SEEDS.min(self.settings.nodes)).map(address).collect();
        let mut core_settings = CoreSettings::new(identity, seeds);
        core_settings.router.directory_blocks = 1_000;
        HollowNode {
            core: NodeCore::new(core_settings, self.random.u64(..), Millis(0)),
            zone,
            started_at: self.now,
            life,
            sent_bytes: 0,
            sent_messages: 0,
            reads: false,
        }
    }

    fn schedule_node(&mut self, number: usize) {
        let life = self.nodes[number].life;
        let offset = self.random.u64(..TICK_MS);
        self.at(offset, Happening::Tick(number, life));
        let offset = self.random.u64(..LOOK_PERIOD_MS);
        self.at(offset, Happening::Look(number, life));
        self.at(offset, Happening::Read(number, life));
    }

    fn at(&mut self, delay: u64, happening: Happening) {
        self.next += 1;
        self.queue.push(Reverse((self.now + delay, self.next)));
        self.happenings.insert(self.next, happening);
    }

    fn advance(&mut self, milliseconds: u64) {
        let end = self.now + milliseconds;
        while let Some(Reverse((at, key))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(happening) = self.happenings.remove(&key) {
                self.happen(happening);
            }
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Message(node, from, envelope) => {
                self.work(node, |core, now| core.handle(from, *envelope, now));
            }
            Happening::Tick(node, life) => {
                if self.nodes[node].life == life {
                    self.work(node, |core, now| core.tick(now));
                    self.at(TICK_MS, Happening::Tick(node, life));
                }
            }
            Happening::Look(node, life) => {
                if self.nodes[node].life == life {
                    self.look(node);
                    self.at(LOOK_PERIOD_MS, Happening::Look(node, life));
                }
            }
            Happening::Read(node, life) => {
                if self.nodes[node].life == life {
                    self.read(node);
                    self.at(LOOK_PERIOD_MS, Happening::Read(node, life));
                }
            }
        }
    }

    /// Works on a node's core, counts the time it takes and sends what it wants sent.
    fn work(&mut self, number: usize, work: impl FnOnce(&mut NodeCore, Millis)) {
        let node = &mut self.nodes[number];
        let now = Millis(self.now - node.started_at);
        let began = Instant::now();
        work(&mut node.core, now);
        let messages: Vec<(SocketAddr, Envelope)> = node
            .core
            .take_messages()
            .into_iter()
            .map(|message| (message.to, node.core.envelope(message.body)))
            .collect();
        node.core.take_events();
        // Encoding and decoding belong to the cost of a node.
        let encoded: Vec<(SocketAddr, Vec<u8>)> = messages
            .iter()
            .map(|(to, envelope)| (*to, encode(envelope)))
            .collect();
        for (_, bytes) in &encoded {
            let _ = ploverlift_wire::decode(bytes);
        }
        self.busy += began.elapsed();
        for ((to, envelope), (_, bytes)) in messages.into_iter().zip(encoded) {
            self.send(number, to, envelope, bytes.len() as u64);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, envelope: Envelope, length: u64) {
        let datagrams = length.div_ceil(MAX_DATAGRAM_BYTES as u64);
        let bytes = length + datagrams * HEADER_BYTES;
        let node = &mut self.nodes[from];
        node.sent_bytes += bytes;
        node.sent_messages += 1;
        *self.bytes_by_message.entry(kind_of(&envelope)).or_default() += bytes;
        let target = number_of(to);
        let (a, b) = (self.nodes[from].zone, self.nodes[target].zone);
        let cut = self.cut && a != b && (a == 0 || b == 0);
        if cut || self.random.f64() < self.loss {
            return;
        }
        let delay = if a == b { NEAR_MS } else { FAR_MS };
        let own = address(from);
        self.at(delay, Happening::Message(target, own, Box::new(envelope)));
    }

    fn look(&mut self, number: usize) {
        let node = &mut self.nodes[number];
        let began = Instant::now();
        let engines = node.core.engines_to_observe();
        self.busy += began.elapsed();
        for engine in engines {
            let observation = self.observation(engine.key);
            self.work(number, |core, now| core.observed(observation, now, now));
        }
    }

    /// Engines whose load changes now and then, as under steady traffic.
    fn observation(&mut self, key: EngineKey) -> EngineObservation {
        let leaving = self.leaving == Some(key);
        let base = (key.0 % 40) as u32 + 4;
        EngineObservation {
            key,
            incarnation: Incarnation(1),
            weights: WeightsVersion(1),
            health: if leaving {
                Health::Leaving
            } else {
                Health::Ready
            },
            load: LoadReport {
                running: base + self.loads.u32(..=base / 4),
                waiting: 0,
                slots: 64,
                queued_tokens: self.loads.u32(..2_500),
                eviction_age_ms: 10_000,
            },
        }
    }

    fn read(&mut self, number: usize) {
        let node = &self.nodes[number];
        let now = Millis(self.now - node.started_at);
        let reads = node.core.is_reader(now);
        let begins = reads && !node.reads;
        self.nodes[number].reads = reads;
        if !begins {
            return;
        }
        for kind in Kind::ALL {
            let listed = self.objects.iter().filter(|object| object.kind == kind);
            let objects: Vec<Object> = listed.cloned().collect();
            let version = ResourceVersion(self.version);
            self.work(number, |core, now| {
                core.learn_list(kind, objects, version, now)
            });
        }
    }

    /// Accepts a change of one tenant and tells it to the readers, as a watch does.
    fn change(&mut self) -> Object {
        self.version += 1;
        let tenants = self.settings.tenants.max(1);
        let chosen = self.random.usize(..tenants);
        let name = format!("tenant-{chosen}");
        let known = self.objects.iter_mut();
        let mut known = known.filter(|object| object.kind == Kind::Tenant);
        let object = known.find(|object| object.metadata.name == name);
        let object = object.expect("there are tenants");
        object.metadata.resource_version = ResourceVersion(self.version);
        object.spec["requestsPerSecond"] = json!(self.version);
        let object = object.clone();
        for number in 0..self.nodes.len() {
            if self.nodes[number].reads {
                let record = Record::stored(object.clone());
                self.work(number, |core, now| core.learn(vec![record], now));
            }
        }
        object
    }

    fn has(&self, number: usize, object: &Object) -> bool {
        let store = &self.nodes[number].core.config.store;
        let known = store.get(object.kind, &object.metadata.name);
        known.is_some_and(|known| {
            known.metadata.resource_version >= object.metadata.resource_version
        })
    }
}

/// Step of virtual time between two looks, in milliseconds.
const STEP_MS: u64 = 10;
/// Longest time that a leaving engine is waited for, in milliseconds.
const LEAVING_LIMIT_MS: u64 = 20_000;
