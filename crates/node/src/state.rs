//! What all tasks of a node share: configuration, fleet, directory, limits and
//! the record of recent decisions.

use crate::clock::Clock;
use crate::settings::Settings;
use event_listener::Event;
use ploverlift_cluster::config_store::{ConfigStore, Record};
use ploverlift_policy::admission::{TenantShares, TokenBucket};
use ploverlift_policy::chain::{ChainSeed, PromptChain};
use ploverlift_policy::cost::{CostModel, DEFAULT_SLOT_WAIT_MS};
use ploverlift_policy::decide::{CandidateTable, Decision, DecisionInput, RouteCandidates};
use ploverlift_policy::directory::Directory;
use ploverlift_policy::fleet::{
    Engine, EngineKey, EngineObservation, Fleet, Health, LoadReport, ObservationEffect,
    DEFAULT_EVICTION_AGE_MS,
};
use ploverlift_policy::ids::{
    EngineName, Incarnation, Millis, NodeName, RequestId, ResourceVersion, TenantName,
    WeightsVersion, ZoneName,
};
use ploverlift_policy::objects::{Kind, MachineRole, MachineSpec, MachineState, Object};
use ploverlift_policy::retry::RetryBudget;
use ploverlift_policy::snapshot::{Pool, Snapshot, Tenant};
use serde::{Deserialize, Serialize};
use slog::Logger;
use std::collections::{HashMap, VecDeque};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};

/// Blocks that a node's own directory remembers.
const DIRECTORY_BLOCKS: usize = 500_000;
/// Decisions that a node remembers for `explain`.
const REMEMBERED_DECISIONS: usize = 4_096;

/// One node.
pub struct Node {
    /// Name, from the settings.
    pub name: NodeName,
    /// Failure domain, from the settings.
    pub zone: ZoneName,
    /// The settings.
    pub settings: Settings,
    /// Monotonic time.
    pub clock: Clock,
    /// Structured log.
    pub log: Logger,
    /// Set at the start of a planned stop.
    pub stopping: AtomicBool,
    /// An operator's order to stop as planned.
    pub drain: async_channel::Sender<()>,
    /// Where the order is waited for.
    pub drain_ordered: async_channel::Receiver<()>,
    /// Counters for metrics.
    pub counters: Counters,
    tables: Mutex<Tables>,
}

/// Counters that only rise.
#[derive(Debug, Default)]
pub struct Counters {
    /// Requests taken from callers.
    pub requests: AtomicU64,
    /// Requests answered in full.
    pub completed: AtomicU64,
    /// Requests refused.
    pub refused: AtomicU64,
    /// Attempts at back ends.
    pub attempts: AtomicU64,
    /// Streams that ended with an error event.
    pub aborted: AtomicU64,
    /// Prompt tokens of decided requests.
    pub prompt_tokens: AtomicU64,
    /// Prompt tokens that engines reported as cached.
    pub cached_tokens: AtomicU64,
    /// Requests under way.
    pub in_flight: AtomicU64,
}

/// Adds one to a counter.
pub fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Everything that decisions read and write, under one lock that is held for
/// microseconds and never over I/O.
pub struct Tables {
    /// All objects.
    pub store: ConfigStore,
    /// The typed view of the objects.
    pub snapshot: Arc<Snapshot>,
    /// Engines and their state.
    pub fleet: Fleet,
    /// Candidates of every route.
    pub candidates: CandidateTable,
    /// Prompt blocks and their holders.
    pub directory: Directory,
    /// Retry budget.
    pub retries: RetryBudget,
    /// Rate limits by tenant.
    pub buckets: HashMap<TenantName, TokenBucket>,
    /// Requests under way by tenant.
    pub shares: TenantShares,
    /// Random numbers for ties and samples.
    pub random: fastrand::Rng,
    /// Told whenever configuration or an engine's state changed.
    pub changed: Arc<Event>,
    decisions: VecDeque<DecisionRecord>,
}

/// One remembered decision, as `explain` prints it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The caller's request.
    pub request: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// The node that decided.
    pub node: NodeName,
    /// Milliseconds since the node's start.
    pub decided_at: Millis,
    /// Version of the configuration in force.
    pub configuration: ResourceVersion,
    /// The tenant.
    pub tenant: TenantName,
    /// The route that matched.
    pub route: String,
    /// The route's selector on engines, as configured.
    pub engine_selector: ploverlift_policy::labels::Selector,
    /// The route's pool.
    pub pool: String,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
    /// Engines left out, each with the reason.
    pub excluded: Vec<ploverlift_policy::decide::Exclusion>,
    /// Engines scored, each with its cost by term.
    pub scored: Vec<ploverlift_policy::decide::ScoredCandidate>,
    /// The engine chosen, or nothing when none was eligible.
    pub chosen: Option<EngineName>,
}

/// What a decision needs to know of the request.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The request.
    pub id: RequestId,
    /// The tenant, as configured when the request came.
    pub tenant: Tenant,
    /// Position of the route in the snapshot.
    pub route: usize,
    /// The snapshot in force when the request came.
    pub snapshot: Arc<Snapshot>,
    /// Text of the prompt; empty for plain services.
    pub prompt: Arc<Vec<u8>>,
}

/// An engine chosen for an attempt.
#[derive(Clone, Debug)]
pub struct ChosenEngine {
    /// Hash of the engine's name.
    pub key: EngineKey,
    /// Name.
    pub name: EngineName,
    /// Listener.
    pub address: std::net::SocketAddr,
    /// Expected time to first token, in milliseconds.
    pub expected_ms: f64,
    /// Tokens of the prompt that are believed to be cached.
    pub cached_tokens: u32,
    /// Estimated tokens of the prompt.
    pub prompt_tokens: u32,
}

impl Node {
    /// A node with empty tables.
    pub fn new(settings: Settings, log: Logger) -> Self {
        let (drain, drain_ordered) = async_channel::bounded(1);
        Self {
            drain,
            drain_ordered,
            name: NodeName(settings.node.name.clone()),
            zone: ZoneName(settings.node.zone.clone()),
            settings,
            clock: Clock::default(),
            log,
            stopping: AtomicBool::new(false),
            counters: Counters::default(),
            tables: Mutex::new(Tables::new()),
        }
    }

    /// Locks the tables. The lock must not be held over an await.
    pub fn tables(&self) -> MutexGuard<'_, Tables> {
        self.tables
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The typed view of the configuration in force.
    pub fn snapshot(&self) -> Arc<Snapshot> {
        Arc::clone(&self.tables().snapshot)
    }

    /// Waits until `condition` holds of the tables; it is looked at after
    /// every change of configuration or of an engine's state.
    pub async fn wait_until(&self, condition: impl Fn(&Tables) -> bool) {
        loop {
            let changed = {
                let tables = self.tables();
                if condition(&tables) {
                    return;
                }
                tables.changed.listen()
            };
            changed.await;
        }
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Chooses an engine for an attempt and enters the placement.
    pub fn choose(
        &self,
        request: &RoutedRequest,
        attempt: u32,
        failed: &[EngineKey],
    ) -> Option<ChosenEngine> {
        let now = self.clock.now();
        let mut tables = self.tables();
        tables.choose(self, request, attempt, failed, now)
    }

    /// The named engine, for a stream that goes on where it broke off. Nothing
    /// when the engine is gone or may not serve the route.
    pub fn choose_named(
        &self,
        request: &RoutedRequest,
        engine: &EngineName,
    ) -> Option<ChosenEngine> {
        let tables = self.tables();
        let index = tables.fleet.find(EngineKey::of(engine))?;
        let candidates = tables.candidates.route(request.route)?;
        let known = tables.fleet.get(index);
        let leaving = known.health == Health::Leaving || known.listed == MachineState::Leaving;
        if !leaving && candidates.eligible.binary_search(&index).is_err() {
            return None;
        }
        Some(ChosenEngine {
            key: known.key,
            name: known.name.clone(),
            address: known.address,
            expected_ms: 0.0,
            cached_tokens: 0,
            prompt_tokens: 0,
        })
    }

    /// Finds the decisions on one request, the latest last.
    pub fn decisions_on(&self, request: &RequestId) -> Vec<DecisionRecord> {
        let tables = self.tables();
        let matching = tables.decisions.iter();
        matching
            .filter(|record| record.request == *request)
            .cloned()
            .collect()
    }
}

impl Tables {
    fn new() -> Self {
        Self {
            store: ConfigStore::default(),
            snapshot: Arc::default(),
            fleet: Fleet::default(),
            candidates: CandidateTable::default(),
            directory: Directory::new(DIRECTORY_BLOCKS),
            retries: RetryBudget::default(),
            buckets: HashMap::new(),
            shares: TenantShares::default(),
            random: fastrand::Rng::new(),
            changed: Arc::new(Event::new()),
            decisions: VecDeque::new(),
        }
    }

    /// Takes in configuration records. Returns whether anything changed.
    pub fn merge_records(&mut self, records: Vec<Record>) -> bool {
        let mut changed = false;
        for record in records {
            changed |= self.store.merge(record);
        }
        if changed {
            self.rebuild();
        }
        changed
    }

    /// Rebuilds what is derived from the objects.
    pub fn rebuild(&mut self) {
        let objects = self.store.objects().map(Arc::as_ref);
        self.snapshot = Arc::new(Snapshot::build(objects));
        self.rebuild_fleet();
        self.rebuild_candidates();
    }

    fn rebuild_fleet(&mut self) {
        let machines: Vec<Engine> = self
            .store
            .of_kind(Kind::Machine)
            .filter_map(|object| engine_of(object))
            .collect();
        let listed: std::collections::HashSet<EngineKey> =
            machines.iter().map(|engine| engine.key).collect();
        if self
            .fleet
            .iter()
            .any(|(_, engine)| !listed.contains(&engine.key))
        {
            self.fleet.retain(|engine| listed.contains(&engine.key));
        }
        for engine in machines {
            self.fleet.upsert(engine);
        }
    }

    fn rebuild_candidates(&mut self) {
        self.candidates = CandidateTable::build(&self.snapshot, &self.fleet);
        self.changed.notify(usize::MAX);
    }

    /// Takes in what an observer said of an engine.
    pub fn observe(&mut self, observation: &EngineObservation) -> ObservationEffect {
        let effect = self.fleet.observe(observation);
        match effect {
            ObservationEffect::Eligibility => self.rebuild_candidates(),
            ObservationEffect::Restarted => {
                self.directory.forget_engine(observation.key);
                self.rebuild_candidates();
            }
            ObservationEffect::LoadOnly | ObservationEffect::Stale => {}
        }
        effect
    }

    fn choose(
        &mut self,
        node: &Node,
        request: &RoutedRequest,
        attempt: u32,
        failed: &[EngineKey],
        now: Millis,
    ) -> Option<ChosenEngine> {
        let route = request.snapshot.routes.get(request.route)?;
        let pool = request.snapshot.pool(&route.spec.pool)?;
        let current = self.snapshot.routes.iter();
        let position = current.clone().position(|known| known.name == route.name);
        let candidates = match position.and_then(|position| self.candidates.route(position)) {
            Some(candidates) => Arc::clone(candidates),
            None => Arc::new(RouteCandidates::build(route, pool, &self.fleet)),
        };
        let model = cost_model(pool, &node.settings);
        let choice = self.cheapest(request, pool, &candidates, &model, failed, &node.zone, now);
        let mut record = DecisionRecord {
            request: request.id.clone(),
            attempt,
            node: node.name.clone(),
            decided_at: now,
            configuration: request.snapshot.version,
            tenant: request.tenant.name.clone(),
            route: route.name.clone(),
            engine_selector: route.spec.engine_selector.clone(),
            pool: pool.name.clone(),
            prompt_tokens: 0,
            excluded: candidates.excluded.clone(),
            scored: Vec::new(),
            chosen: None,
        };
        let Some((decision, chain)) = choice else {
            self.remember(record);
            return None;
        };
        let engine = self.fleet.get(decision.engine);
        let chosen = ChosenEngine {
            key: decision.key,
            name: engine.name.clone(),
            address: engine.address,
            expected_ms: decision.cost.total_ms(),
            cached_tokens: decision.cached_tokens,
            prompt_tokens: chain.tokens,
        };
        record.prompt_tokens = chain.tokens;
        record.scored = decision.scored;
        record.chosen = Some(chosen.name.clone());
        self.remember(record);
        let uncached = chain.tokens.saturating_sub(decision.cached_tokens);
        self.fleet.record_sent(decision.engine, uncached);
        self.directory
            .record(&chain.blocks, decision.key, decision.incarnation, now);
        Some(chosen)
    }

    #[allow(clippy::too_many_arguments)]
    fn cheapest(
        &mut self,
        request: &RoutedRequest,
        pool: &Pool,
        candidates: &RouteCandidates,
        model: &CostModel,
        failed: &[EngineKey],
        own_zone: &ZoneName,
        now: Millis,
    ) -> Option<(Decision, PromptChain)> {
        let scope = request.tenant.cache_scope();
        let chain_of = |weights: WeightsVersion| {
            let seed = ChainSeed {
                scope: &scope,
                model: &pool.spec.model,
                weights,
            };
            let spec = &pool.spec;
            let (block_tokens, bytes) = (spec.block_tokens, spec.bytes_per_token);
            PromptChain::of_text(&seed, &request.prompt, block_tokens, bytes)
        };
        let chains: Vec<(WeightsVersion, PromptChain)> = candidates
            .weights
            .iter()
            .map(|weights| (*weights, chain_of(*weights)))
            .collect();
        let fleet = &self.fleet;
        let current = |key| fleet.find(key).map(|index| fleet.get(index).incarnation);
        let mut matches = Vec::new();
        for (_, chain) in &chains {
            matches.extend(self.directory.lookup(chain, current));
        }
        let input = DecisionInput {
            candidates,
            fleet,
            chain: &chains.first()?.1,
            matches: &matches,
            failed,
            model,
            own_zone,
            now,
        };
        let decision = input.decide(&mut self.random)?;
        let position = chains
            .iter()
            .position(|(weights, _)| *weights == decision.weights)?;
        let mut chains = chains;
        let (_, chain) = chains.swap_remove(position);
        Some((decision, chain))
    }

    fn remember(&mut self, record: DecisionRecord) {
        if self.decisions.len() >= REMEMBERED_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(record);
    }
}

fn cost_model(pool: &Pool, settings: &Settings) -> CostModel {
    CostModel {
        prefill_ms_per_token: f64::from(pool.spec.prefill_micros_per_token) / 1_000.0,
        recompute_weight: pool.spec.recompute_weight,
        zone_distance_ms: settings.site.zone_distance_ms,
        slot_wait_ms: DEFAULT_SLOT_WAIT_MS,
    }
}

fn engine_of(object: &Object) -> Option<Engine> {
    object.validate().ok()?;
    let spec: MachineSpec = object.typed().ok()?;
    if spec.role == MachineRole::Node {
        return None;
    }
    let name = EngineName(object.metadata.name.clone());
    Some(Engine {
        key: EngineKey::of(&name),
        name,
        address: spec.address.parse().ok()?,
        zone: spec.zone,
        labels: object.metadata.labels.clone(),
        role: spec.role,
        listed: spec.state,
        incarnation: Incarnation(0),
        weights: WeightsVersion(0),
        health: Health::Unknown,
        load: LoadReport::default(),
        sent_tokens: 0,
        sent_requests: 0,
        in_flight: 0,
        eviction_age_ms: DEFAULT_EVICTION_AGE_MS,
    })
}
