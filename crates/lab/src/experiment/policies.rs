//! The routing policies that are compared. The baselines and ploverlift use delayed
//! load reports and the requests that their own node sent; the oracle uses the
//! present state of the engines.

use crate::experiment::engine::EmulatedEngine;
use crate::experiment::model::FleetModel;
use ploverlift_cluster::node_key::{rendezvous_top, NodeKey};
use ploverlift_policy::chain::PromptChain;
use ploverlift_policy::cost::{CostModel, DEFAULT_SLOT_WAIT_MS};
use ploverlift_policy::decide::{DecisionInput, RouteCandidates};
use ploverlift_policy::directory::{Directory, PrefixMatch};
use ploverlift_policy::fleet::{
    Engine, EngineIndex, EngineKey, EngineObservation, Fleet, Health, ListedEngine, LoadReport,
};
use ploverlift_policy::ids::{EngineName, Incarnation, Millis, WeightsVersion, ZoneName};
use ploverlift_policy::labels::Labels;
use ploverlift_policy::objects::{MachineRole, MachineState};
use std::net::SocketAddr;

/// The policies by name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyKind {
    /// The engines in turn.
    RoundRobin,
    /// The engine with the fewest requests, as last reported.
    LeastLoad,
    /// Consistent hash of the prompt's beginning, bounded by load.
    BoundedHash,
    /// The router's own decision.
    Ploverlift,
    /// The lowest true time to first token.
    Oracle,
}

impl PolicyKind {
    /// All policies, in the order of reports.
    pub const ALL: [PolicyKind; 5] = [
        Self::RoundRobin,
        Self::LeastLoad,
        Self::BoundedHash,
        Self::Ploverlift,
        Self::Oracle,
    ];

    /// Name on the command line and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round_robin",
            Self::LeastLoad => "least_load",
            Self::BoundedHash => "bounded_hash",
            Self::Ploverlift => "ploverlift",
            Self::Oracle => "oracle",
        }
    }

    /// The policy of this name.
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.name() == name)
    }
}

/// Blocks at the start of a prompt that determine its bounded hash: the
/// instructions and the beginning of the document.
const HASHED_BLOCKS: usize = 4;
/// The bounded hash skips an engine whose load reaches this multiple of the mean.
const LOAD_BOUND: f64 = 1.25;
/// Capacity of a node's directory, in blocks.
const DIRECTORY_BLOCKS: usize = 200_000;

/// State of one node.
struct NodeView {
    zone: ZoneName,
    fleet: Fleet,
    directory: Directory,
    next: usize,
}

/// One policy with the views of all nodes.
pub struct Policy {
    kind: PolicyKind,
    nodes: Vec<NodeView>,
    engines: Vec<EngineKey>,
    model: CostModel,
    random: fastrand::Rng,
    /// Whether all directory shards are lost.
    pub shards_lost: bool,
}

fn zone_name(number: usize, zones: usize) -> ZoneName {
    ZoneName(format!("zone-{}", number % zones))
}

impl Policy {
    /// Creates a policy without load reports or directory entries.
    pub fn new(kind: PolicyKind, model: &FleetModel, seed: u64) -> Self {
        let names = (0..model.engines).map(|number| EngineName(format!("engine-{number}")));
        let engines: Vec<EngineKey> = names.map(|name| EngineKey::of(&name)).collect();
        let nodes = (0..model.nodes).map(|number| NodeView {
            zone: zone_name(number, model.zones),
            fleet: fleet(model),
            directory: Directory::new(DIRECTORY_BLOCKS),
            next: number,
        });
        Self {
            kind,
            nodes: nodes.collect(),
            engines,
            model: CostModel {
                prefill_ms_per_token: model.prefill_micros_per_token as f64 / 1_000.0,
                recompute_weight: model.recompute_weight,
                zone_distance_ms: model.zone_distance_ms,
                slot_wait_ms: DEFAULT_SLOT_WAIT_MS,
            },
            random: fastrand::Rng::with_seed(seed),
            shards_lost: false,
        }
    }

    /// Applies a load report on every node.
    pub fn report(
        &mut self,
        engine: usize,
        incarnation: u64,
        health: Health,
        load: LoadReport,
        now: Millis,
    ) {
        let observation = EngineObservation {
            key: self.engines[engine],
            incarnation: Incarnation(incarnation),
            weights: WeightsVersion(1),
            health,
            load,
        };
        for node in &mut self.nodes {
            node.fleet.observe(&observation, now);
        }
    }

    /// Chooses an engine for a request that arrived at `node`.
    pub fn choose(
        &mut self,
        node: usize,
        chain: &PromptChain,
        truth: &[EmulatedEngine],
        reachable: &[bool],
        now_us: u64,
    ) -> Option<usize> {
        let now = Millis(now_us / 1_000);
        match self.kind {
            PolicyKind::RoundRobin => self.round_robin(node, reachable),
            PolicyKind::LeastLoad => self.least_load(node, reachable, now),
            PolicyKind::BoundedHash => self.bounded_hash(node, chain, reachable, now),
            PolicyKind::Ploverlift => self.ploverlift(node, chain, reachable, now),
            PolicyKind::Oracle => self.oracle(chain, truth, reachable, now_us),
        }
    }

    /// Reachable engines that accept requests, by the node's latest reports.
    fn available_engines(&self, node: usize, reachable: &[bool]) -> Vec<usize> {
        let fleet = &self.nodes[node].fleet;
        (0..self.engines.len())
            .filter(|engine| reachable[*engine])
            .filter(|engine| fleet.get(EngineIndex(*engine as u32)).takes_work())
            .collect()
    }

    /// Minimizes the router's cost with exact knowledge of the present state. Without
    /// the weight of recomputation the oracle collapses on the city workload.
    fn oracle(
        &self,
        chain: &PromptChain,
        truth: &[EmulatedEngine],
        reachable: &[bool],
        now_us: u64,
    ) -> Option<usize> {
        let alive = (0..truth.len()).filter(|engine| truth[*engine].alive && reachable[*engine]);
        let weight = self.model.recompute_weight - 1.0;
        let cost = |engine: &usize| {
            let time = truth[*engine].true_ttft_us(chain, now_us);
            let prefill = truth[*engine].prefill_us(chain);
            (time + (weight * prefill as f64) as u64, *engine)
        };
        alive.min_by_key(cost)
    }

    fn round_robin(&mut self, node: usize, reachable: &[bool]) -> Option<usize> {
        let available_engines = self.available_engines(node, reachable);
        let view = &mut self.nodes[node];
        view.next += 1;
        let position = view.next % available_engines.len().max(1);
        available_engines.get(position).copied()
    }

    fn estimated_load(&self, node: usize, engine: usize) -> u32 {
        let engine = self.nodes[node].fleet.get(EngineIndex(engine as u32));
        engine.load.running + engine.load.waiting + engine.unreported.requests()
    }

    fn least_load(&mut self, node: usize, reachable: &[bool], now: Millis) -> Option<usize> {
        let mut available_engines = self.available_engines(node, reachable);
        self.random.shuffle(&mut available_engines);
        let chosen = available_engines
            .into_iter()
            .min_by_key(|engine| self.estimated_load(node, *engine))?;
        self.count_sent(node, chosen, 0, now);
        Some(chosen)
    }

    fn bounded_hash(
        &mut self,
        node: usize,
        chain: &PromptChain,
        reachable: &[bool],
        now: Millis,
    ) -> Option<usize> {
        let available_engines = self.available_engines(node, reachable);
        let item = chain
            .blocks
            .get(..HASHED_BLOCKS.min(chain.blocks.len()))?
            .last()?;
        let total: u32 = available_engines
            .iter()
            .map(|engine| self.estimated_load(node, *engine))
            .sum();
        let bound = LOAD_BOUND * (f64::from(total) + 1.0) / available_engines.len().max(1) as f64;
        let keys = available_engines
            .iter()
            .map(|engine| NodeKey(self.engines[*engine].0));
        let ranked = rendezvous_top(item.0, keys, available_engines.len());
        let position = |key: &NodeKey| self.engines.iter().position(|engine| engine.0 == key.0);
        let ranked: Vec<usize> = ranked.iter().filter_map(position).collect();
        let within = |engine: &&usize| f64::from(self.estimated_load(node, **engine)) < bound;
        let chosen = ranked.iter().find(within).or(ranked.first()).copied()?;
        self.count_sent(node, chosen, 0, now);
        Some(chosen)
    }

    fn count_sent(&mut self, node: usize, engine: usize, uncached: u32, now: Millis) {
        let fleet = &mut self.nodes[node].fleet;
        fleet.record_sent(EngineIndex(engine as u32), uncached, now);
    }

    /// The node that holds the directory shard of a prompt. The shards are spread over
    /// all nodes, as in a real small fleet.
    fn shard(&self, chain: &PromptChain) -> Option<usize> {
        let anchor = chain.blocks.first()?;
        let keys = (0..self.nodes.len()).map(|number| NodeKey(number as u64));
        let first = rendezvous_top(anchor.0, keys, 1);
        first.first().map(|key| key.0 as usize)
    }

    fn ploverlift(
        &mut self,
        node: usize,
        chain: &PromptChain,
        reachable: &[bool],
        now: Millis,
    ) -> Option<usize> {
        let shard = self.shard(chain).filter(|_| !self.shards_lost);
        let matches = self.matches(node, shard, chain);
        let available_engines = self.available_engines(node, reachable);
        let candidates = RouteCandidates {
            eligible: available_engines
                .iter()
                .map(|engine| EngineIndex(*engine as u32))
                .collect(),
            ..RouteCandidates::default()
        };
        let view = &self.nodes[node];
        let input = DecisionInput {
            candidates: &candidates,
            fleet: &view.fleet,
            chain,
            matches: &matches,
            directory_answered: !self.shards_lost,
            failed: &[],
            model: &self.model,
            own_zone: &view.zone,
            now,
        };
        let decision = input.decide(&mut self.random)?;
        let chosen = decision.engine.0 as usize;
        let uncached = chain.tokens.saturating_sub(decision.cached_tokens);
        self.count_sent(node, chosen, uncached, now);
        for holder in [Some(node), shard].into_iter().flatten() {
            let directory = &mut self.nodes[holder].directory;
            directory.record(&chain.blocks, decision.key, decision.incarnation, now);
        }
        Some(chosen)
    }

    fn matches(&self, node: usize, shard: Option<usize>, chain: &PromptChain) -> Vec<PrefixMatch> {
        let fleet = &self.nodes[node].fleet;
        let current = |key| fleet.find(key).map(|index| fleet.get(index).incarnation);
        let mut matches = self.nodes[node].directory.lookup(chain, current);
        for found in shard.map_or_else(Vec::new, |shard| {
            self.nodes[shard].directory.lookup(chain, current)
        }) {
            let known = matches
                .iter_mut()
                .find(|known| known.engine == found.engine);
            match known {
                Some(known) if known.blocks < found.blocks => *known = found,
                Some(known) => known.used_at = known.used_at.max(found.used_at),
                None => matches.push(found),
            }
        }
        matches
    }
}

fn fleet(model: &FleetModel) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..model.engines {
        let mut engine = Engine::from(ListedEngine {
            name: EngineName(format!("engine-{number}")),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone_name(number, model.zones),
            labels: Labels::default(),
            role: MachineRole::Engine,
            state: MachineState::Live,
        });
        engine.incarnation = Incarnation(1);
        engine.weights = WeightsVersion(1);
        engine.health = Health::Ready;
        fleet.upsert(engine);
    }
    fleet
}
