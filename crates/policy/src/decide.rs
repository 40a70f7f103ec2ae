//! The choice of an engine for one attempt, and the record that explains it.

use crate::chain::PromptChain;
use crate::cost::{Cost, CostModel};
use crate::directory::PrefixMatch;
use crate::fleet::{EngineIndex, EngineKey, Fleet, Health};
use crate::ids::{EngineName, Incarnation, Millis, WeightsVersion, ZoneName};
use crate::labels::Mismatch;
use crate::objects::{MachineRole, MachineState};
use crate::snapshot::{Pool, Route, Snapshot};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Why an engine is not a candidate of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExclusionReason {
    /// The pool's selector does not match the engine's labels.
    PoolSelector(Mismatch),
    /// The route's selector does not match the engine's labels.
    RouteSelector(Mismatch),
    /// The machine list says that it is leaving.
    ListedLeaving,
    /// Observers report a state in which it gets no work.
    Health(Health),
    /// It serves other weights than the pool wants.
    Weights(WeightsVersion),
    /// Its observers are not heard of, and other engines are there.
    Unobserved,
}

/// One engine that was left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// The engine.
    pub engine: EngineName,
    /// By what it was left out.
    pub reason: ExclusionReason,
}

/// Excluded engines that are remembered by name for one route.
pub const MAX_EXCLUSIONS: usize = 256;

/// The engines of a route, worked out once for each change of configuration or health.
#[derive(Clone, Debug, Default)]
pub struct RouteCandidates {
    /// Engines that may serve the route.
    pub eligible: Vec<EngineIndex>,
    /// Engines that may not, each with the reason; the first [`MAX_EXCLUSIONS`].
    pub excluded: Vec<Exclusion>,
    /// Further engines that may not.
    pub unlisted_exclusions: usize,
    /// Weights versions among the eligible engines, in order.
    pub weights: Vec<WeightsVersion>,
}

impl RouteCandidates {
    /// Sorts the fleet's engines into eligible and excluded ones.
    pub fn build(route: &Route, pool: &Pool, fleet: &Fleet) -> Self {
        let mut candidates = RouteCandidates::default();
        for (index, engine) in fleet.iter() {
            if engine.role == MachineRole::Node {
                continue;
            }
            if candidates.excluded.len() >= MAX_EXCLUSIONS
                && !pool.spec.selector.matches(&engine.labels)
            {
                candidates.unlisted_exclusions += 1;
                continue;
            }
            match exclusion(route, pool, fleet, index) {
                Some(reason) => candidates.exclude(engine.name.clone(), reason),
                None => {
                    candidates.eligible.push(index);
                    candidates.weights.push(engine.weights);
                }
            }
        }
        candidates.exclude_unobserved(fleet);
        candidates.weights.sort_unstable();
        candidates.weights.dedup();
        candidates
    }

    /// Engines whose observers are silent are used only when there is no other.
    fn exclude_unobserved(&mut self, fleet: &Fleet) {
        let unobserved = |index: &EngineIndex| fleet.get(*index).unobserved;
        if self.eligible.iter().all(unobserved) {
            return;
        }
        for index in std::mem::take(&mut self.eligible) {
            if unobserved(&index) {
                self.exclude(fleet.get(index).name.clone(), ExclusionReason::Unobserved);
            } else {
                self.eligible.push(index);
            }
        }
    }

    fn exclude(&mut self, engine: EngineName, reason: ExclusionReason) {
        if self.excluded.len() >= MAX_EXCLUSIONS {
            self.unlisted_exclusions += 1;
            return;
        }
        self.excluded.push(Exclusion { engine, reason });
    }
}

fn exclusion(
    route: &Route,
    pool: &Pool,
    fleet: &Fleet,
    index: EngineIndex,
) -> Option<ExclusionReason> {
    let engine = fleet.get(index);
    if let Some(mismatch) = pool.spec.selector.mismatch(&engine.labels) {
        return Some(ExclusionReason::PoolSelector(mismatch));
    }
    if let Some(mismatch) = route.spec.engine_selector.mismatch(&engine.labels) {
        return Some(ExclusionReason::RouteSelector(mismatch));
    }
    if engine.listed == MachineState::Leaving {
        return Some(ExclusionReason::ListedLeaving);
    }
    if !engine.takes_work() {
        return Some(ExclusionReason::Health(engine.health));
    }
    let wanted = pool.spec.weights_version;
    let observed = engine.incarnation != Incarnation(0);
    if wanted != 0 && observed && engine.weights.0 != wanted {
        return Some(ExclusionReason::Weights(engine.weights));
    }
    None
}

/// Candidates of every route of a snapshot, in the snapshot's order of routes.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    routes: Vec<Arc<RouteCandidates>>,
}

impl CandidateTable {
    /// Works out the candidates of all routes.
    pub fn build(snapshot: &Snapshot, fleet: &Fleet) -> Self {
        let routes = snapshot
            .routes
            .iter()
            .map(|route| match snapshot.pool(&route.spec.pool) {
                Some(pool) => Arc::new(RouteCandidates::build(route, pool, fleet)),
                None => Arc::default(),
            })
            .collect();
        Self { routes }
    }

    /// Candidates of the route at `position` in the snapshot.
    pub fn route(&self, position: usize) -> Option<&Arc<RouteCandidates>> {
        self.routes.get(position)
    }
}

/// One engine that was scored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoredCandidate {
    /// The engine.
    pub engine: EngineName,
    /// Tokens of the prompt that it is believed to hold.
    pub cached_tokens: u32,
    /// Cost by term.
    pub cost: Cost,
}

/// The outcome of a decision, with all that explains it.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The chosen engine.
    pub engine: EngineIndex,
    /// Hash of its name.
    pub key: EngineKey,
    /// Its life at the time of the decision.
    pub incarnation: Incarnation,
    /// Its weights at the time of the decision.
    pub weights: WeightsVersion,
    /// Tokens of the prompt that it is believed to hold.
    pub cached_tokens: u32,
    /// Its cost by term.
    pub cost: Cost,
    /// Every engine that was scored, in order of scoring.
    pub scored: Vec<ScoredCandidate>,
}

/// Fleets up to this size are scored whole; of larger ones the holders of the
/// prefix and a random sample of this many are scored.
pub const MAX_SCORED: usize = 32;

/// Blocks from the prompt's start by which its home engine is found: past the
/// instructions that all prompts of a tenant share.
pub const HOME_BLOCKS: usize = 4;
/// Share of a prompt that its home engine is taken to hold when the directory
/// has answered: enough to break ties the same way on every node.
pub const HOME_SHARE_KNOWN: f64 = 0.05;
/// The same when the directory has not answered.
pub const HOME_SHARE_UNKNOWN: f64 = 0.7;

/// Costs that differ by less than this are a tie, broken at random so that
/// nodes with the same view do not all choose the same engine, in milliseconds.
pub const TIE_MS: f64 = 0.5;

/// All that one decision reads.
pub struct DecisionInput<'a> {
    /// Engines that may serve the route.
    pub candidates: &'a RouteCandidates,
    /// What is known of the engines.
    pub fleet: &'a Fleet,
    /// The prompt.
    pub chain: &'a PromptChain,
    /// Engines that hold a prefix of it.
    pub matches: &'a [PrefixMatch],
    /// Whether the directory's shard answered. Without it the node does not
    /// know what others have placed.
    pub directory_answered: bool,
    /// Engines at which this request already failed.
    pub failed: &'a [EngineKey],
    /// The pool's and site's constants.
    pub model: &'a CostModel,
    /// Zone of this node.
    pub own_zone: &'a ZoneName,
    /// The present time.
    pub now: Millis,
}

impl DecisionInput<'_> {
    /// Chooses the engine with the lowest cost; nothing when none is eligible.
    pub fn decide(&self, random: &mut fastrand::Rng) -> Option<Decision> {
        let home = self.home();
        let mut scored: Vec<(EngineIndex, u32, Cost)> = Vec::with_capacity(2 * MAX_SCORED);
        if self.candidates.eligible.len() <= MAX_SCORED {
            for index in &self.candidates.eligible {
                self.score(*index, home, &mut scored);
            }
        } else {
            self.score_holders(home, &mut scored);
            self.score_sample(random, home, &mut scored);
        }
        let (index, cached_tokens, cost) = pick(&scored, random)?;
        Some(self.record(index, cached_tokens, cost, &scored))
    }

    /// The engine at which every node places a prompt that nobody is known to
    /// hold: by rendezvous hash of the prompt's beginning, so that nodes that
    /// do not hear of each other's placements still agree.
    fn home(&self) -> Option<EngineIndex> {
        let last = self.chain.blocks.len().min(HOME_BLOCKS).checked_sub(1)?;
        let item = self.chain.blocks[last].0;
        let weight = |index: &EngineIndex| {
            let key = self.fleet.get(*index).key;
            xxh3_64_with_seed(&key.0.to_le_bytes(), item)
        };
        self.candidates.eligible.iter().copied().max_by_key(weight)
    }

    /// Share of the prompt that the home engine is taken to hold.
    fn home_share(&self) -> f64 {
        if self.directory_answered {
            HOME_SHARE_KNOWN
        } else {
            HOME_SHARE_UNKNOWN
        }
    }

    /// What the home engine is taken to hold: what is known, or the share.
    fn cached_at_home(&self, known: Option<(u32, Millis)>) -> Option<(u32, Millis)> {
        let assumed = (f64::from(self.chain.tokens) * self.home_share()) as u32;
        known
            .filter(|(tokens, _)| *tokens >= assumed)
            .or(Some((assumed, self.now)))
    }

    fn score(
        &self,
        index: EngineIndex,
        home: Option<EngineIndex>,
        scored: &mut Vec<(EngineIndex, u32, Cost)>,
    ) {
        let engine = self.fleet.get(index);
        if self.failed.contains(&engine.key) {
            return;
        }
        let found = self
            .matches
            .iter()
            .find(|entry| entry.engine == engine.key && entry.incarnation == engine.incarnation);
        let cached =
            found.map(|entry| (self.chain.tokens_of(entry.blocks as usize), entry.used_at));
        let tokens = self.chain.tokens;
        let cached = if home == Some(index) {
            self.cached_at_home(cached)
        } else {
            cached
        };
        let cost = self
            .model
            .cost(engine, self.own_zone, tokens, cached, self.now);
        scored.push((index, cached.map_or(0, |(tokens, _)| tokens), cost));
    }

    fn score_holders(&self, home: Option<EngineIndex>, scored: &mut Vec<(EngineIndex, u32, Cost)>) {
        if let Some(home) = home {
            self.score(home, Some(home), scored);
        }
        for entry in self.matches {
            let Some(index) = self.fleet.find(entry.engine) else {
                continue;
            };
            let known = scored.iter().any(|(known, _, _)| *known == index);
            if !known && self.candidates.eligible.binary_search(&index).is_ok() {
                self.score(index, home, scored);
            }
        }
    }

    fn score_sample(
        &self,
        random: &mut fastrand::Rng,
        home: Option<EngineIndex>,
        scored: &mut Vec<(EngineIndex, u32, Cost)>,
    ) {
        let eligible = &self.candidates.eligible;
        for _ in 0..MAX_SCORED {
            let index = eligible[random.usize(..eligible.len())];
            if !scored.iter().any(|(known, _, _)| *known == index) {
                self.score(index, home, scored);
            }
        }
    }

    fn record(
        &self,
        index: EngineIndex,
        cached_tokens: u32,
        cost: Cost,
        scored: &[(EngineIndex, u32, Cost)],
    ) -> Decision {
        let engine = self.fleet.get(index);
        let scored = scored
            .iter()
            .map(|(index, cached_tokens, cost)| ScoredCandidate {
                engine: self.fleet.get(*index).name.clone(),
                cached_tokens: *cached_tokens,
                cost: *cost,
            })
            .collect();
        Decision {
            engine: index,
            key: engine.key,
            incarnation: engine.incarnation,
            weights: engine.weights,
            cached_tokens,
            cost,
            scored,
        }
    }
}

fn pick(
    scored: &[(EngineIndex, u32, Cost)],
    random: &mut fastrand::Rng,
) -> Option<(EngineIndex, u32, Cost)> {
    let lowest = scored
        .iter()
        .map(|(_, _, cost)| cost.total_ms())
        .min_by(f64::total_cmp)?;
    let tied = |cost: &Cost| cost.total_ms() <= lowest + TIE_MS;
    let ties = scored.iter().filter(|(_, _, cost)| tied(cost)).count();
    let chosen = random.usize(..ties);
    scored
        .iter()
        .filter(|(_, _, cost)| tied(cost))
        .nth(chosen)
        .copied()
}
