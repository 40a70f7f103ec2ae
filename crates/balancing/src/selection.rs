//! The choice of an engine, by a cost in milliseconds with named terms.

use crate::cache_contents::CacheContents;
use crate::catalogue::{Engine, EngineCatalogue, InstanceId};
use crate::cost::{Cost, CostRates};
use crate::eligibility::eligible_engines;
pub use crate::eligibility::NoChoice;
use crate::engine_caches::EngineCaches;
use crate::peer_loads::PeerLoads;
use crate::prefix_holders::PrefixHolders;
use crate::prefix_reach::PrefixReach;
use crate::rendezvous;
use crate::supply::{best_offer, CacheSource, MoveRates, Offering, Supply};
use crate::unseen_reading::{filled_level, RecentReading};
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{ChainKey, PromptPart};
use ploverlift_routing::software::SoftwareRule;

/// What a node knows of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Engines, with this node's own requests.
    pub catalogue: &'a EngineCatalogue,
    /// Requests of other nodes.
    pub peer_loads: &'a PeerLoads,
    /// Where shared parts of prompts were sent.
    pub holders: &'a PrefixHolders,
    /// What the engines whose events are followed keep.
    pub caches: &'a EngineCaches,
    /// What this node gave engines to read lately.
    pub recent_reading: &'a RecentReading,
    /// The KV cache store, where one is in use.
    pub cache_store: Option<StoreView<'a>>,
}

/// What a node knows of the KV cache store.
#[derive(Clone, Copy, Debug)]
pub struct StoreView<'a> {
    /// What it keeps.
    pub contents: &'a CacheContents,
    /// Its zone.
    pub zone: &'a ZoneName,
}

/// What the choice depends on.
#[derive(Clone, Debug)]
pub struct Criteria<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Zone of this node.
    pub zone: &'a ZoneName,
    /// The prompt, for requests to a model.
    pub prompt: Option<PromptCriteria<'a>>,
    /// Versions of the engines' software that may serve the request.
    pub software: SoftwareRule,
    /// Engines that were tried already.
    pub excluded: &'a [InstanceId],
}

/// What the choice of a model engine depends on.
#[derive(Clone, Debug)]
pub struct PromptCriteria<'a> {
    /// The model.
    pub model: &'a str,
    /// Within which cache is shared.
    pub scope: &'a str,
    /// Key of the shared parts.
    pub key: ChainKey,
    /// The parts that other requests may have too.
    pub shared: &'a [PromptPart],
    /// Rates at which KV cache of the model moves.
    pub moves: MoveRates,
    /// Lowest version of weights that is allowed.
    pub required_weights: u64,
    /// The request's place among those that other nodes send unseen, in 0 to 1; drawn
    /// at random.
    pub place: f64,
}

impl PromptCriteria<'_> {
    /// Tokens of the parts that other requests may have too.
    pub fn shared_tokens(&self) -> u64 {
        self.shared.iter().map(|part| part.tokens).sum()
    }
}

/// The engine that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub instance: InstanceId,
    /// Its cost.
    pub cost: Cost,
    /// Where it can have shared parts that it lacks, or that it turns out to have
    /// dropped.
    pub source: Option<CacheSource>,
    /// Tokens of the shared parts that it keeps itself.
    pub held_tokens: u64,
    /// Tokens of the shared parts that need not be read.
    pub kept_tokens: u64,
    /// Engines that could be chosen.
    pub candidates: usize,
}

/// An engine fails notably when its failure rate is over its service's by this much.
const NOTABLE_FAILURE_RATE: f64 = 0.2;
/// Outcomes before a failure rate means anything.
const MIN_OUTCOMES: u32 = 6;
/// Cost of a failure rate of one, in milliseconds.
const FAILURE_MS: f64 = 2_000.0;
/// Cost of an engine that loads weights, in milliseconds: it would refuse.
const LOADING_MS: f64 = 5_000.0;
/// Cost of an engine that was ejected, in milliseconds.
const EJECTED_MS: f64 = 20_000.0;
/// Time that a load waits to be reported, in milliseconds: half of a node's report
/// period and of a relay's, and a third of what other zones' relays add.
const REPORT_WAIT_MS: f64 = 100.0;
/// Longest wait that is expected behind what other nodes sent unseen, in milliseconds:
/// more than what engines differ by in a roll-out (80 ms for a stale version), less than
/// what they differ by under overload. There prompts go where they are cached, not where
/// it is cheapest for everyone, and without this bound true queues do not count
/// (scale-1 of the shifted site: 0.292 without, 0.334 with 120, 0.338 with 50).
const MAX_UNSEEN_MS: f64 = 120.0;
/// Cost of each place in the order of a prompt's engines, in milliseconds, so
/// that overflow goes to the same few engines.
const RANK_MS: f64 = 1.0;

/// Chooses the engine with the lowest cost.
///
/// # Errors
/// When no engine may serve the request.
pub fn choose(
    view: &FleetView<'_>,
    criteria: &Criteria<'_>,
    rates: &CostRates,
    now: Millis,
) -> Result<Choice, NoChoice> {
    let candidates = eligible_engines(view.catalogue, criteria, now)?;
    let ranked = ranked(candidates, criteria);
    let reach = match &criteria.prompt {
        Some(prompt) => PrefixReach::of(view, criteria.service, prompt, now),
        None => PrefixReach::default(),
    };
    let estimate = Estimate {
        view,
        criteria,
        rates,
        reach: &reach,
        home: ranked.first().copied(),
        typical_failures: typical_failure_rate(&ranked, now),
        newest_weights: newest_weights(&ranked, criteria),
        now,
    };
    let estimated = ranked.iter().enumerate().map(|(rank, engine)| {
        let (cost, supply) = estimate.cost(engine, rank);
        (*engine, cost, supply)
    });
    let mut estimated: Vec<(&Engine, Cost, Supply)> = estimated.collect();
    estimate.add_unseen(&mut estimated);
    let cheapest = estimated
        .into_iter()
        .min_by(|(_, a, _), (_, b, _)| a.total_ms().total_cmp(&b.total_ms()));
    let (engine, cost, supply) = cheapest.ok_or(NoChoice::NoEngine)?;
    Ok(Choice {
        instance: engine.record.instance.clone(),
        source: supply.source,
        held_tokens: supply.held_tokens,
        kept_tokens: supply.kept_tokens,
        cost,
        candidates: ranked.len(),
    })
}

/// Candidates in the order in which the prompt prefers them.
fn ranked<'a>(mut candidates: Vec<&'a Engine>, criteria: &Criteria<'_>) -> Vec<&'a Engine> {
    if let Some(prompt) = &criteria.prompt {
        candidates.sort_by_cached_key(|engine| {
            std::cmp::Reverse(rendezvous::weight(prompt.key, &engine.record.instance))
        });
    }
    candidates
}

/// The newest weights that a candidate has.
fn newest_weights(engines: &[&Engine], criteria: &Criteria<'_>) -> u64 {
    let prompt = criteria.prompt.as_ref();
    let weights = engines.iter().map(|engine| {
        let model = prompt.map(|prompt| prompt.model);
        model.map_or(0, |model| engine.weights_of(model))
    });
    weights.max().unwrap_or(0)
}

/// The median failure rate, so that a service whose requests fail anyhow does
/// not lose all its engines.
fn typical_failure_rate(engines: &[&Engine], now: Millis) -> f64 {
    let mut rates: Vec<f64> = engines
        .iter()
        .map(|engine| engine.health.failure_rate(now))
        .collect();
    rates.sort_by(f64::total_cmp);
    rates
        .get(rates.len().saturating_sub(1) / 2)
        .copied()
        .unwrap_or(0.0)
}

/// What the costs of all candidates have in common.
struct Estimate<'a> {
    view: &'a FleetView<'a>,
    criteria: &'a Criteria<'a>,
    rates: &'a CostRates,
    reach: &'a PrefixReach<'a>,
    home: Option<&'a Engine>,
    typical_failures: f64,
    newest_weights: u64,
    now: Millis,
}

impl<'a> Estimate<'a> {
    fn cost(&self, engine: &'a Engine, rank: usize) -> (Cost, Supply) {
        let rates = self.rates;
        let mut cost = Cost {
            failure_ms: self.failure_ms(engine),
            ..Cost::default()
        };
        if engine.record.zone != *self.criteria.zone {
            cost.zone_ms = rates.zone_ms;
        }
        let peers = self.view.peer_loads.at(engine.tag);
        let requests = match self.view.peer_loads.peer_count() {
            0 => f64::from(engine.in_flight) * rates.senders,
            _ => f64::from(engine.in_flight + peers.requests),
        };
        let occupied = requests / f64::from(engine.record.slots.max(1));
        cost.slots_ms = occupied * rates.slot_ms;
        let Some(prompt) = &self.criteria.prompt else {
            return (cost, Supply::default());
        };
        let waiting_tokens = engine.waiting_tokens + peers.waiting_tokens;
        cost.queue_ms = waiting_tokens as f64 / rates.prefill_tokens_per_ms;
        let supply = self.supply(engine, prompt, rank, &mut cost);
        cost.transfer_ms += RANK_MS * rank as f64;
        if engine.weights_of(prompt.model) < self.newest_weights {
            let to_read = prompt.shared_tokens().saturating_sub(supply.kept_tokens);
            cost.stale_version_ms = rates.stale_version_ms;
            cost.stale_reading_ms = to_read as f64 / rates.prefill_tokens_per_ms;
        }
        (cost, supply)
    }

    /// Adds what other nodes have sent unseen. It fills the engines that look cheapest
    /// to everyone; what an engine costs for this prompt alone does not count in that.
    /// This request has a random place among those that are sent in the same time.
    fn add_unseen(&self, estimated: &mut [(&Engine, Cost, Supply)]) {
        let Some(prompt) = &self.criteria.prompt else {
            return;
        };
        let Some(age_ms) = self.view.peer_loads.age_ms(self.now) else {
            return;
        };
        let own_tokens = self.view.recent_reading.per_ms(self.now);
        let other_nodes = self.view.peer_loads.peer_count() as f64;
        let unseen_ms = age_ms as f64 + REPORT_WAIT_MS;
        let tokens = own_tokens * other_nodes * unseen_ms;
        let volume_ms = tokens / self.rates.prefill_tokens_per_ms;
        let shared: Vec<f64> = estimated
            .iter()
            .map(|(_, cost, _)| cost.for_everyone_ms())
            .collect();
        let level = filled_level(&shared, volume_ms * prompt.place);
        let lowest = shared.iter().copied().fold(f64::MAX, f64::min);
        let level = level.min(lowest + MAX_UNSEEN_MS);
        for ((_, cost, _), shared) in estimated.iter_mut().zip(&shared) {
            cost.unseen_ms = (level - shared).max(0.0);
        }
    }

    /// Finds the cheapest way by which an engine can have the shared parts.
    fn supply(
        &self,
        engine: &'a Engine,
        prompt: &PromptCriteria<'_>,
        rank: usize,
        cost: &mut Cost,
    ) -> Supply {
        let prefill_ms = |tokens: u64| tokens as f64 / self.rates.prefill_tokens_per_ms;
        let shared = prompt.shared_tokens();
        if !self.reach.is_known() {
            // Nobody is known to keep any part: the home may.
            if rank > 0 {
                cost.eviction_ms = prefill_ms(shared) * self.rates.eviction_share;
            }
            let home = self.home.filter(|home| {
                let same_weights = home.weights_of(prompt.model) == engine.weights_of(prompt.model);
                let is_unknown = self.view.caches.of(home.tag).is_none();
                rank > 0 && same_weights && is_unknown && !home.health.is_suspected()
            });
            let instance = |home: &Engine| CacheSource::Engine(home.record.instance.clone());
            return Supply {
                source: home.map(instance),
                ..Supply::default()
            };
        }
        let held = self.reach.held(engine, prompt.model);
        let offering = Offering {
            view: self.view,
            reach: self.reach,
            prompt,
        };
        let offer = best_offer(&offering, engine, held);
        let offered = offer.as_ref().map_or(0, |offer| offer.kept_tokens);
        let kept = held.max(offered);
        if offered > held {
            cost.transfer_ms = offer.as_ref().map_or(0.0, |offer| offer.move_ms);
        }
        cost.eviction_ms = prefill_ms(shared - held) * self.rates.eviction_share;
        cost.prefill_ms = prefill_ms(shared.saturating_sub(kept));
        Supply {
            source: offer.map(|offer| offer.source),
            held_tokens: held,
            kept_tokens: kept,
        }
    }

    fn failure_ms(&self, engine: &Engine) -> f64 {
        let now = self.now;
        if !engine.health.may_be_chosen(now) {
            return EJECTED_MS;
        }
        if engine.is_loading(now) || self.view.peer_loads.is_loading(engine.tag) {
            return LOADING_MS;
        }
        let excess = engine.health.failure_rate(now) - self.typical_failures;
        if engine.health.outcomes() >= MIN_OUTCOMES && excess > NOTABLE_FAILURE_RATE {
            return excess * FAILURE_MS;
        }
        0.0
    }
}
