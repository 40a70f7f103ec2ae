//! The choice of an engine, by a cost in milliseconds with named terms.

use crate::catalogue::{Engine, EngineCatalogue, InstanceId};
use crate::rendezvous;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::ChainKey;

/// Rates with which costs are estimated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CostRates {
    /// Prompt tokens that an engine reads in a millisecond.
    pub prompt_tokens_per_ms: f64,
    /// Share of the reading time that moving kept cache takes instead.
    pub transfer_share: f64,
    /// Cost of leaving the zone, in milliseconds.
    pub zone_ms: f64,
    /// Cost of one more request at a full engine of a plain service, in
    /// milliseconds for each share of its slots.
    pub slot_ms: f64,
    /// Nodes that send to the same engines, for reading one's own load as a
    /// sample of all.
    pub senders: f64,
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
    /// Engines that were tried already.
    pub excluded: &'a [InstanceId],
}

/// What the choice of a model engine depends on.
#[derive(Clone, Debug)]
pub struct PromptCriteria<'a> {
    /// The model.
    pub model: &'a str,
    /// Key of the shared parts.
    pub key: ChainKey,
    /// Tokens of the shared parts.
    pub shared_tokens: u64,
    /// Lowest version of weights that is allowed.
    pub required_weights: u64,
}

/// Cost of one engine by term, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cost {
    /// Waiting behind prompts that are being read.
    pub queue_ms: f64,
    /// Moving or reading the shared parts when the engine is not their home.
    pub transfer_ms: f64,
    /// Being in another zone.
    pub zone_ms: f64,
    /// Requests in the slots.
    pub slots_ms: f64,
    /// Having failed lately.
    pub failure_ms: f64,
}

impl Cost {
    /// The sum of all terms.
    pub fn total_ms(&self) -> f64 {
        self.queue_ms + self.transfer_ms + self.zone_ms + self.slots_ms + self.failure_ms
    }
}

/// The engine that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub instance: InstanceId,
    /// Its cost.
    pub cost: Cost,
    /// The engine that is the prompt's home, when it is another one.
    pub home: Option<InstanceId>,
    /// Engines that could be chosen.
    pub candidates: usize,
}

/// Why no engine could be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoChoice {
    /// The service has no engine that is up and stays.
    NoEngine,
    /// Every engine has weights that are too old.
    WeightsTooOld,
    /// Every engine was tried already.
    AllTried,
}

/// An engine fails notably when its failure rate is over its service's by this much.
const NOTABLE_FAILURE_RATE: f64 = 0.2;
/// Outcomes before a failure rate means anything.
const MIN_OUTCOMES: u32 = 6;
/// Cost of a failure rate of one, in milliseconds.
const FAILURE_MS: f64 = 2_000.0;
/// Cost of an engine that loads weights, in milliseconds: it would refuse.
const LOADING_MS: f64 = 5_000.0;
/// Cost of an engine that was put aside, in milliseconds.
const SUSPENDED_MS: f64 = 20_000.0;
/// Cost of each place in the order of a prompt's engines, in milliseconds, so
/// that overflow goes to the same few engines.
const RANK_MS: f64 = 1.0;

/// Chooses the engine with the lowest cost.
///
/// # Errors
/// When no engine may serve the request.
pub fn choose(
    catalogue: &EngineCatalogue,
    criteria: &Criteria<'_>,
    rates: &CostRates,
    now: Millis,
) -> Result<Choice, NoChoice> {
    let candidates = candidates(catalogue, criteria)?;
    let ranked = ranked(candidates, criteria);
    let typical_failures = typical_failure_rate(&ranked, now);
    let home = ranked.first().map(|engine| engine.record.instance.clone());
    let costs = ranked.iter().enumerate().map(|(rank, engine)| {
        let cost = cost(engine, rank, criteria, rates, typical_failures, now);
        (*engine, cost)
    });
    let cheapest = costs.min_by(|(_, a), (_, b)| a.total_ms().total_cmp(&b.total_ms()));
    let (engine, cost) = cheapest.ok_or(NoChoice::NoEngine)?;
    let instance = engine.record.instance.clone();
    Ok(Choice {
        home: home.filter(|home| criteria.prompt.is_some() && *home != instance),
        instance,
        cost,
        candidates: ranked.len(),
    })
}

fn candidates<'a>(
    catalogue: &'a EngineCatalogue,
    criteria: &Criteria<'_>,
) -> Result<Vec<&'a Engine>, NoChoice> {
    let engines = catalogue.of_service(criteria.service);
    let staying: Vec<&Engine> = engines.filter(|engine| !engine.record.is_leaving).collect();
    if staying.is_empty() {
        return Err(NoChoice::NoEngine);
    }
    let new_enough: Vec<&Engine> = staying
        .into_iter()
        .filter(|engine| has_weights(engine, criteria))
        .collect();
    if new_enough.is_empty() {
        return Err(NoChoice::WeightsTooOld);
    }
    let untried: Vec<&Engine> = new_enough
        .into_iter()
        .filter(|engine| !criteria.excluded.contains(&engine.record.instance))
        .collect();
    if untried.is_empty() {
        return Err(NoChoice::AllTried);
    }
    Ok(untried)
}

fn has_weights(engine: &Engine, criteria: &Criteria<'_>) -> bool {
    criteria
        .prompt
        .as_ref()
        .is_none_or(|prompt| engine.weights_of(prompt.model) >= prompt.required_weights)
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

fn cost(
    engine: &Engine,
    rank: usize,
    criteria: &Criteria<'_>,
    rates: &CostRates,
    typical_failures: f64,
    now: Millis,
) -> Cost {
    let mut cost = Cost {
        failure_ms: failure_ms(engine, typical_failures, now),
        ..Cost::default()
    };
    let slots = f64::from(engine.record.slots.max(1));
    let occupied = f64::from(engine.in_flight) / slots;
    match &criteria.prompt {
        Some(prompt) => {
            cost.queue_ms = engine.waiting_tokens as f64 / rates.prompt_tokens_per_ms;
            cost.slots_ms = occupied * rates.senders * rates.slot_ms;
            if rank > 0 {
                let shared = prompt.shared_tokens as f64;
                let moving = shared / rates.prompt_tokens_per_ms * rates.transfer_share;
                cost.transfer_ms = moving + RANK_MS * rank as f64;
            }
        }
        None => {
            cost.slots_ms = occupied * rates.slot_ms;
        }
    }
    if engine.record.zone != *criteria.zone {
        cost.zone_ms = rates.zone_ms;
    }
    cost
}

fn failure_ms(engine: &Engine, typical_failures: f64, now: Millis) -> f64 {
    if !engine.health.may_be_chosen(now) {
        return SUSPENDED_MS;
    }
    if engine.is_loading(now) {
        return LOADING_MS;
    }
    let excess = engine.health.failure_rate(now) - typical_failures;
    if engine.health.outcomes() >= MIN_OUTCOMES && excess > NOTABLE_FAILURE_RATE {
        return excess * FAILURE_MS;
    }
    0.0
}
