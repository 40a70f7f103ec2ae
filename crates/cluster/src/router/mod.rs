//! The state of one node that routing decisions read and write: the typed view
//! of the configuration, the fleet, the directory, limits and the record of
//! decisions.

mod chains;
mod records;

pub use chains::chains_of;
use chains::{engine_of, merge_match};
pub use records::{ChosenEngine, DecisionRecord, RoutedRequest, VersionedChains};

use ploverlift_policy::admission::{RetryAfter, TenantShares, TokenBucket};
use ploverlift_policy::chain::PromptChain;
use ploverlift_policy::cost::{CostModel, DEFAULT_SLOT_WAIT_MS};
use ploverlift_policy::decide::{CandidateTable, Decision, DecisionInput, RouteCandidates};
use ploverlift_policy::directory::{Directory, PrefixMatch};
use ploverlift_policy::fleet::{EngineKey, EngineObservation, Fleet, Health, ObservationEffect};
use ploverlift_policy::ids::{
    EngineName, Incarnation, Millis, NodeName, RequestId, TenantName, WeightsVersion, ZoneName,
};
use ploverlift_policy::objects::{Kind, MachineState};
use ploverlift_policy::retry::RetryBudget;
use ploverlift_policy::snapshot::{Pool, Snapshot, SnapshotBuilder, Tenant};
use std::collections::{HashMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::config_store::Record;

/// Maximum number of decision records that a node keeps for `explain`.
pub const MAX_DECISION_RECORDS: usize = 4_096;

/// Settings of a node's routing decisions.
#[derive(Clone, Debug)]
pub struct RouterSettings {
    /// The node's name.
    pub node: NodeName,
    /// The node's zone.
    pub zone: ZoneName,
    /// One-way network latency between zones, in milliseconds.
    pub zone_distance_ms: f64,
    /// Maximum number of blocks in the directory.
    pub directory_blocks: usize,
}

/// The routing state of one node.
pub struct Router {
    settings: RouterSettings,
    builder: SnapshotBuilder,
    /// The typed view of the objects.
    pub snapshot: Arc<Snapshot>,
    /// Engines and their state.
    pub fleet: Fleet,
    /// Candidates of every route, computed lazily when a decision needs them:
    /// many engines can change between two decisions, for example after a
    /// start.
    candidates: CandidateTable,
    candidates_stale: bool,
    /// Prompt blocks and their holders.
    pub directory: Directory,
    /// Retry budget.
    pub retries: RetryBudget,
    buckets: HashMap<TenantName, TokenBucket>,
    shares: HashMap<String, TenantShares>,
    decisions: VecDeque<DecisionRecord>,
    generation: u64,
}

impl Router {
    /// Empty tables.
    pub fn new(settings: RouterSettings) -> Self {
        Self {
            directory: Directory::new(settings.directory_blocks),
            settings,
            builder: SnapshotBuilder::default(),
            snapshot: Arc::default(),
            fleet: Fleet::default(),
            candidates: CandidateTable::default(),
            candidates_stale: false,
            retries: RetryBudget::default(),
            buckets: HashMap::new(),
            shares: HashMap::new(),
            decisions: VecDeque::new(),
            generation: 0,
        }
    }

    /// Incremented whenever configuration or an engine's eligibility changes.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Applies changed configuration. Only what depends on the changed kinds is
    /// computed again.
    pub fn apply(&mut self, records: &[Record]) {
        let mut candidates_affected = false;
        let mut gone = HashSet::new();
        for record in records {
            let object = record.content.as_deref();
            let (kind, name) = (record.key.kind, &record.key.name);
            self.builder.apply(kind, name, object, record.version);
            candidates_affected |= matches!(kind, Kind::Pool | Kind::Route | Kind::Machine);
            if kind == Kind::Machine {
                match object.and_then(engine_of) {
                    Some(engine) => {
                        self.fleet.upsert(engine);
                    }
                    None => {
                        gone.insert(EngineKey::of(&EngineName(name.clone())));
                    }
                }
            }
        }
        if !gone.is_empty() {
            self.fleet.retain(|engine| !gone.contains(&engine.key));
        }
        self.snapshot = Arc::new(self.builder.build());
        self.generation += 1;
        if candidates_affected {
            self.candidates_changed();
        }
    }

    fn candidates_changed(&mut self) {
        self.generation += 1;
        self.candidates_stale = true;
    }

    /// Candidates of the route at a position of the present snapshot.
    pub fn candidates(&mut self, route: usize) -> Option<&Arc<RouteCandidates>> {
        if self.candidates_stale {
            self.candidates_stale = false;
            self.candidates = CandidateTable::build(&self.snapshot, &self.fleet);
        }
        self.candidates.route(route)
    }

    /// Applies the merged observation of an engine.
    pub fn observe(&mut self, observation: &EngineObservation, now: Millis) -> ObservationEffect {
        let effect = self.fleet.observe(observation, now);
        match effect {
            ObservationEffect::Eligibility => self.candidates_changed(),
            ObservationEffect::Restarted => {
                self.directory.forget_engine(observation.key);
                self.candidates_changed();
            }
            ObservationEffect::LoadOnly | ObservationEffect::Stale => {}
        }
        effect
    }

    /// Records for every engine that was ever observed whether all its
    /// observers are silent.
    pub fn note_unobserved(&mut self, is_unobserved: impl Fn(EngineKey) -> bool) {
        let known = self.fleet.iter();
        let known = known.filter(|(_, engine)| engine.incarnation != Incarnation(0));
        let states: Vec<_> = known
            .map(|(index, engine)| (index, is_unobserved(engine.key)))
            .collect();
        let mut changed = false;
        for (index, unobserved) in states {
            changed |= self.fleet.set_unobserved(index, unobserved);
        }
        if changed {
            self.candidates_changed();
        }
    }

    /// Takes one request from a tenant's token bucket. `rate` is this node's
    /// part of the tenant's rate, in requests per second.
    ///
    /// # Errors
    /// When the rate is used up: the time after which to retry.
    pub fn take_rate(&mut self, tenant: &Tenant, rate: f64, now: Millis) -> Result<(), RetryAfter> {
        let share = rate / f64::from(tenant.spec.requests_per_second.max(1));
        let burst = (f64::from(tenant.spec.burst) * share).max(1.0);
        let bucket = self
            .buckets
            .entry(tenant.name.clone())
            .or_insert_with(|| TokenBucket::new(rate, burst, now));
        bucket.set_rate(rate, burst, now);
        bucket.take(now)
    }

    /// Starts a request of a tenant in a pool. When the pool is overloaded, the
    /// tenant must be within its share of it. The pool's slots are divided
    /// among `nodes` nodes.
    ///
    /// # Errors
    /// When the tenant is over its share: the time after which to retry.
    pub fn start_in_pool(
        &mut self,
        pool: &str,
        tenant: &Tenant,
        route: usize,
        nodes: usize,
    ) -> Result<(), RetryAfter> {
        let (present, slots) = self.load_of(route);
        let shares = self.shares.entry(pool.to_owned()).or_default();
        if slots > 0 && present >= slots {
            let capacity = (slots as usize).div_ceil(nodes.max(1)) as u32;
            let snapshot = &self.snapshot;
            let weight_of = |name: &TenantName| {
                let found = snapshot.tenants.get(name);
                found.map_or(1, |known| known.spec.weight)
            };
            if !shares.is_within_share(&tenant.name, weight_of, capacity) {
                return Err(RetryAfter::clamped(0));
            }
        }
        shares.start(&tenant.name);
        Ok(())
    }

    /// Ends a request that was started in a pool.
    pub fn finish_in_pool(&mut self, pool: &str, tenant: &TenantName) {
        if let Some(shares) = self.shares.get_mut(pool) {
            shares.finish(tenant);
        }
    }

    /// Requests present at the route's engines, and their slots.
    fn load_of(&mut self, route: usize) -> (u32, u32) {
        let Some(candidates) = self.candidates(route).cloned() else {
            return (0, 0);
        };
        let engines = candidates
            .eligible
            .iter()
            .map(|index| self.fleet.get(*index));
        engines.fold((0, 0), |(present, slots), engine| {
            let here = engine.load.running + engine.load.waiting + engine.unreported.requests();
            (present + here, slots + engine.load.slots)
        })
    }

    /// The present candidates of a request's route.
    fn candidates_of(&mut self, request: &RoutedRequest) -> Option<Arc<RouteCandidates>> {
        let route = request.snapshot.routes.get(request.route)?;
        let (old, new) = (&request.snapshot, &self.snapshot);
        let same_routes = Arc::ptr_eq(&old.routes, &new.routes);
        if same_routes && Arc::ptr_eq(&old.pools, &new.pools) {
            return self.candidates(request.route).cloned();
        }
        // The configuration changed after the request arrived: the request
        // keeps the configuration it arrived under.
        let pool = request.snapshot.pool(&route.spec.pool)?;
        Some(Arc::new(RouteCandidates::build(route, pool, &self.fleet)))
    }

    /// Weights versions for which the request's prompt must be split into
    /// blocks.
    pub fn weights_of(&mut self, request: &RoutedRequest) -> Vec<WeightsVersion> {
        let candidates = self.candidates_of(request);
        candidates.map_or_else(Vec::new, |candidates| candidates.weights.clone())
    }

    /// Matches of a chain in this node's own directory.
    pub fn local_matches(&self, chain: &PromptChain) -> Vec<PrefixMatch> {
        let fleet = &self.fleet;
        let current = |key| fleet.find(key).map(|index| fleet.get(index).incarnation);
        self.directory.lookup(chain, current)
    }

    /// Chooses an engine for an attempt and records the placement. `remote` is
    /// the answer of the directory's shard, or `None` when it did not answer.
    #[allow(clippy::too_many_arguments)]
    pub fn choose(
        &mut self,
        request: &RoutedRequest,
        chains: &VersionedChains,
        remote: Option<&[PrefixMatch]>,
        attempt: u32,
        failed: &[EngineKey],
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<ChosenEngine> {
        let candidates = self.candidates_of(request)?;
        let route = request.snapshot.routes.get(request.route)?;
        let pool = request.snapshot.pool(&route.spec.pool)?;
        let decision = self.decide(pool, &candidates, chains, remote, failed, now, random);
        let mut record = DecisionRecord {
            request: request.id.clone(),
            attempt,
            node: self.settings.node.clone(),
            decided_at: now,
            configuration: request.snapshot.version,
            tenant: request.tenant.name.clone(),
            route: route.name.clone(),
            engine_selector: route.spec.engine_selector.clone(),
            pool: pool.name.clone(),
            prompt_tokens: chains.first().map_or(0, |(_, chain)| chain.tokens),
            excluded: candidates.excluded.clone(),
            scored: Vec::new(),
            chosen: None,
        };
        let Some(decision) = decision else {
            self.store_decision(record);
            return None;
        };
        let chosen = self.chosen_engine(&decision, chains);
        record.scored = decision.scored;
        record.chosen = Some(chosen.name.clone());
        self.store_decision(record);
        let uncached = chosen.prompt_tokens.saturating_sub(chosen.cached_tokens);
        self.fleet.record_sent(decision.engine, uncached, now);
        self.directory
            .record(&chosen.chain.blocks, chosen.key, chosen.incarnation, now);
        Some(chosen)
    }

    #[allow(clippy::too_many_arguments)]
    fn decide(
        &self,
        pool: &Pool,
        candidates: &RouteCandidates,
        chains: &VersionedChains,
        remote: Option<&[PrefixMatch]>,
        failed: &[EngineKey],
        now: Millis,
        random: &mut fastrand::Rng,
    ) -> Option<Decision> {
        let model = CostModel {
            prefill_ms_per_token: f64::from(pool.spec.prefill_micros_per_token) / 1_000.0,
            recompute_weight: pool.spec.recompute_weight,
            zone_distance_ms: self.settings.zone_distance_ms,
            slot_wait_ms: DEFAULT_SLOT_WAIT_MS,
        };
        let mut matches = remote.unwrap_or_default().to_vec();
        for (_, chain) in chains {
            for found in self.local_matches(chain) {
                merge_match(&mut matches, found);
            }
        }
        let empty = PromptChain::default();
        let input = DecisionInput {
            candidates,
            fleet: &self.fleet,
            chain: chains.first().map_or(&empty, |(_, chain)| chain),
            matches: &matches,
            directory_answered: remote.is_some(),
            failed,
            model: &model,
            own_zone: &self.settings.zone,
            now,
        };
        input.decide(random)
    }

    fn chosen_engine(&self, decision: &Decision, chains: &VersionedChains) -> ChosenEngine {
        let engine = self.fleet.get(decision.engine);
        let chain = chains
            .iter()
            .find(|(weights, _)| *weights == decision.weights);
        let chain = chain.map_or_else(PromptChain::default, |(_, chain)| chain.clone());
        ChosenEngine {
            key: decision.key,
            name: engine.name.clone(),
            address: engine.address,
            incarnation: decision.incarnation,
            weights: decision.weights,
            expected_ms: decision.cost.total_ms(),
            cached_tokens: decision.cached_tokens,
            prompt_tokens: chain.tokens,
            chain,
        }
    }

    /// The named engine, for a stream that resumes after an interruption.
    /// `None` when the engine is gone or may not serve the route. A leaving
    /// engine still finishes its streams.
    pub fn choose_named(
        &mut self,
        request: &RoutedRequest,
        engine: &EngineName,
    ) -> Option<ChosenEngine> {
        let candidates = self.candidates_of(request)?;
        let index = self.fleet.find(EngineKey::of(engine))?;
        let known = self.fleet.get(index);
        let leaving = known.health == Health::Leaving || known.listed == MachineState::Leaving;
        if !leaving && candidates.eligible.binary_search(&index).is_err() {
            return None;
        }
        Some(ChosenEngine {
            key: known.key,
            name: known.name.clone(),
            address: known.address,
            incarnation: known.incarnation,
            weights: known.weights,
            expected_ms: 0.0,
            cached_tokens: 0,
            prompt_tokens: 0,
            chain: PromptChain::default(),
        })
    }

    fn store_decision(&mut self, record: DecisionRecord) {
        if self.decisions.len() >= MAX_DECISION_RECORDS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(record);
    }

    /// The decisions on one request, the latest last.
    pub fn decisions_on(&self, request: &RequestId) -> Vec<DecisionRecord> {
        let matching = self.decisions.iter();
        matching
            .filter(|record| record.request == *request)
            .cloned()
            .collect()
    }
}
