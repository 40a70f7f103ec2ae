//! Chooses an engine for one attempt and records how the choice was made.

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
    /// The machine list marks the engine as leaving.
    ListedLeaving,
    /// Its reported health excludes new work.
    Health(Health),
    /// It serves a weights version other than the pool's.
    Weights(WeightsVersion),
    /// No report from its observers arrived lately, and other engines are available.
    Unobserved,
}

/// An engine that was excluded, with the reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exclusion {
    /// The engine.
    pub engine: EngineName,
    /// Why it was excluded.
    pub reason: ExclusionReason,
}

/// Most excluded engines that are recorded by name for one route.
pub const MAX_EXCLUSIONS: usize = 256;

/// The engines of a route, recomputed on each change of configuration or health.
#[derive(Clone, Debug, Default)]
pub struct RouteCandidates {
    /// Engines that may serve the route.
    pub eligible: Vec<EngineIndex>,
    /// The first [`MAX_EXCLUSIONS`] engines that may not serve the route, with the reason.
    pub excluded: Vec<Exclusion>,
    /// Number of further excluded engines, beyond those in `excluded`.
    pub unlisted_exclusions: usize,
    /// Weights versions of the eligible engines, sorted and without duplicates.
    pub weights: Vec<WeightsVersion>,
}

impl RouteCandidates {
    /// Splits the fleet's engines into eligible and excluded ones.
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

    /// Excludes engines without recent reports from their observers, unless no other engine
    /// is eligible.
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

/// Candidates of every route of a snapshot, in the snapshot's route order.
#[derive(Clone, Debug, Default)]
pub struct CandidateTable {
    routes: Vec<Arc<RouteCandidates>>,
}

impl CandidateTable {
    /// Computes the candidates of all routes.
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

/// An engine that was scored.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScoredCandidate {
    /// The engine.
    pub engine: EngineName,
    /// Tokens of the prompt that it is believed to hold.
    pub cached_tokens: u32,
    /// Cost by term.
    pub cost: Cost,
}

/// The outcome of a decision, with the data that explains it.
#[derive(Clone, Debug)]
pub struct Decision {
    /// The chosen engine.
    pub engine: EngineIndex,
    /// Hash of its name.
    pub key: EngineKey,
    /// Its incarnation at the time of the decision.
    pub incarnation: Incarnation,
    /// Its weights version at the time of the decision.
    pub weights: WeightsVersion,
    /// Tokens of the prompt that it is believed to hold.
    pub cached_tokens: u32,
    /// Its cost by term.
    pub cost: Cost,
    /// Every engine that was scored, in order of scoring.
    pub scored: Vec<ScoredCandidate>,
}

/// Up to this many eligible engines are all scored. Of more, the home engine, the holders
/// of the prefix and a random sample of this size are scored.
pub const MAX_SCORED: usize = 32;

/// Number of leading blocks that determine a prompt's home engine. It reaches past the
/// instructions that all prompts of a tenant share, so that these do not all get the same
/// home engine.
pub const HOME_BLOCKS: usize = 4;
/// Share of a prompt that its home engine is assumed to have cached when the directory has
/// answered: enough to break ties the same way on every node.
pub const HOME_SHARE_KNOWN: f64 = 0.05;
/// Share of a prompt that its home engine is assumed to have cached when the directory has
/// not answered.
pub const HOME_SHARE_UNKNOWN: f64 = 0.7;

/// Costs within this many milliseconds of the lowest are a tie. Ties are broken at random,
/// so that nodes with the same view do not all choose the same engine.
pub const TIE_MS: f64 = 0.5;

/// Input of one decision.
pub struct DecisionInput<'a> {
    /// Engines that may serve the route.
    pub candidates: &'a RouteCandidates,
    /// Known state of the engines.
    pub fleet: &'a Fleet,
    /// The prompt.
    pub chain: &'a PromptChain,
    /// Engines that are believed to hold a prefix of the prompt.
    pub matches: &'a [PrefixMatch],
    /// Whether the directory's shard answered. Without its answer the node does not know
    /// the placements of other nodes.
    pub directory_answered: bool,
    /// Engines at which attempts of this request have failed.
    pub failed: &'a [EngineKey],
    /// Cost constants of the pool and site.
    pub model: &'a CostModel,
    /// This node's zone.
    pub own_zone: &'a ZoneName,
    /// The present time.
    pub now: Millis,
}

impl DecisionInput<'_> {
    /// Chooses an engine with the lowest cost, up to ties. Returns `None` when no candidate
    /// can be scored.
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

    /// The engine at which every node places a prompt without a known holder. It is chosen
    /// by rendezvous hash of the prompt's first blocks, so that nodes agree even when they
    /// do not receive each other's placements.
    fn home(&self) -> Option<EngineIndex> {
        let last = self.chain.blocks.len().min(HOME_BLOCKS).checked_sub(1)?;
        let item = self.chain.blocks[last].0;
        let weight = |index: &EngineIndex| {
            let key = self.fleet.get(*index).key;
            xxh3_64_with_seed(&key.0.to_le_bytes(), item)
        };
        self.candidates.eligible.iter().copied().max_by_key(weight)
    }

    /// Share of the prompt that the home engine is assumed to have cached.
    fn home_share(&self) -> f64 {
        if self.directory_answered {
            HOME_SHARE_KNOWN
        } else {
            HOME_SHARE_UNKNOWN
        }
    }

    /// Tokens that the home engine is assumed to have cached and their last use: the known
    /// placement, or [`Self::home_share`] of the prompt if that is more.
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
