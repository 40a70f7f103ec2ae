//! The choice of an engine, by a cost in milliseconds with named terms.

use crate::candidates::{candidates, Candidates};
use crate::catalogue::Engine;
use crate::cost::{Cost, CostRates};
pub use crate::eligibility::NoChoice;
use crate::fleet::{Criteria, FleetView, PromptCriteria};
use crate::names::InstanceId;
use crate::prefix_reach::PrefixReach;
use crate::supply::{CacheSource, KnownOffers, Offering, Supply};
use crate::unseen_reading::filled_level;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::topology::{Distance, RegionName};
use std::collections::{BTreeMap, HashMap};

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
    /// Time of the move from the source, in milliseconds.
    pub move_ms: f64,
    /// How far the engine is from this node.
    pub distance: Distance,
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
/// Highest cost of reading again what is kept elsewhere, in milliseconds: half of what
/// an engine costs that fails every request, so that a prompt leaves a home that fails.
const MAX_REREAD_MS: f64 = 1_000.0;
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
    let Candidates {
        engines: ranked,
        sources,
        thinning,
    } = candidates(view, criteria, now)?;
    let reach = match &criteria.prompt {
        Some(prompt) => PrefixReach::of(view, &sources, prompt, now),
        None => PrefixReach::default(),
    };
    let estimate = Estimate {
        view,
        criteria,
        rates,
        reach: &reach,
        places: places(view, criteria, rates, &ranked, now),
        homes: homes(view, &ranked),
        home_region: ranked
            .first()
            .and_then(|home| view.topology.region_of(&home.record.zone)),
        typical_failures: typical_failure_rate(&ranked, now),
        newest_weights: newest_weights(&ranked, criteria),
        thinning,
        now,
    };
    let mut ranks: BTreeMap<Option<&RegionName>, usize> = BTreeMap::new();
    let mut offers = KnownOffers::default();
    let mut estimated: Vec<(&Engine, Cost, Supply)> = Vec::with_capacity(ranked.len());
    for engine in &ranked {
        let region = estimate.place(engine).region;
        let rank = ranks.entry(region).or_default();
        let (cost, supply) = estimate.cost(engine, *rank, &mut offers);
        estimated.push((engine, cost, supply));
        *rank += 1;
    }
    estimate.add_unseen(&mut estimated);
    let cheapest = estimated
        .into_iter()
        .min_by(|(_, a, _), (_, b, _)| a.total_ms().total_cmp(&b.total_ms()));
    let (engine, cost, supply) = cheapest.ok_or(NoChoice::NoEngine)?;
    Ok(Choice {
        instance: engine.record.instance.clone(),
        move_ms: supply.move_ms,
        distance: view.topology.distance(criteria.zone, &engine.record.zone),
        source: supply.source,
        held_tokens: supply.held_tokens,
        kept_tokens: supply.kept_tokens,
        cost,
        candidates: ranked.len(),
    })
}

/// A zone as it looks from this node.
#[derive(Clone, Copy, Debug)]
struct Place<'a> {
    region: Option<&'a RegionName>,
    distance: Distance,
    region_ms: f64,
}

/// The zones of the candidates.
fn places<'a>(
    view: &FleetView<'a>,
    criteria: &Criteria<'_>,
    rates: &CostRates,
    ranked: &[&'a Engine],
    now: Millis,
) -> HashMap<&'a ZoneName, Place<'a>> {
    let mut places = HashMap::new();
    for engine in ranked {
        let zone = &engine.record.zone;
        places.entry(zone).or_insert_with(|| {
            let distance = view.topology.distance(criteria.zone, zone);
            let round_trip_ms = view.round_trips.to_ms(zone, now);
            let region_ms = match distance {
                Distance::OtherRegion => {
                    rates.region.cost_ms(round_trip_ms, criteria.request_bytes)
                }
                _ => 0.0,
            };
            Place {
                region: view.topology.region_of(zone),
                distance,
                region_ms,
            }
        });
    }
    places
}

/// The engine that each region's requests for the prompt go to first.
fn homes<'a>(
    view: &FleetView<'a>,
    ranked: &[&'a Engine],
) -> BTreeMap<Option<&'a RegionName>, &'a Engine> {
    let mut homes = BTreeMap::new();
    for engine in ranked {
        let region = view.topology.region_of(&engine.record.zone);
        homes.entry(region).or_insert(*engine);
    }
    homes
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
    places: HashMap<&'a ZoneName, Place<'a>>,
    homes: BTreeMap<Option<&'a RegionName>, &'a Engine>,
    /// The region that is asked for the prompt by those who know of no other.
    home_region: Option<&'a RegionName>,
    typical_failures: f64,
    newest_weights: u64,
    /// Engines of the service for each candidate.
    thinning: f64,
    now: Millis,
}

impl<'a> Estimate<'a> {
    /// Where an engine is. All candidates' zones are known.
    fn place(&self, engine: &Engine) -> Place<'a> {
        let known = self.places.get(&engine.record.zone).copied();
        known.unwrap_or(Place {
            region: None,
            distance: Distance::SameZone,
            region_ms: 0.0,
        })
    }

    fn cost(
        &self,
        engine: &'a Engine,
        rank: usize,
        offers: &mut KnownOffers<'a>,
    ) -> (Cost, Supply) {
        let rates = self.rates;
        let mut cost = Cost {
            failure_ms: self.failure_ms(engine),
            scarcity_ms: self
                .view
                .catalogue
                .rate_limits
                .scarcity_ms(engine.tag, self.now),
            ..Cost::default()
        };
        let place = self.place(engine);
        if place.distance != Distance::SameZone {
            cost.zone_ms = rates.zone_ms;
        }
        cost.region_ms = place.region_ms;
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
        let supply = self.supply(engine, prompt, rank, &mut cost, offers);
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
        // Others send to all engines of the service, of which these are a part.
        let volume_ms = tokens / self.rates.prefill_tokens_per_ms / self.thinning;
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
        offers: &mut KnownOffers<'a>,
    ) -> Supply {
        let prefill_ms = |tokens: u64| tokens as f64 / self.rates.prefill_tokens_per_ms;
        let shared = prompt.shared_tokens();
        cost.reread_ms = self.reread_ms(engine, prompt, 0);
        if !self.reach.is_known() {
            // Nobody is known to keep any part: the home may.
            if rank > 0 {
                cost.eviction_ms = prefill_ms(shared) * self.rates.eviction_share;
            }
            let region = self.place(engine).region;
            let home = self.homes.get(&region).filter(|home| {
                let same_weights = home.weights_of(prompt.model) == engine.weights_of(prompt.model);
                let is_unknown = self.view.caches.of(home.tag).is_none();
                rank > 0 && same_weights && is_unknown && !home.health.is_suspected()
            });
            let instance = |home: &&Engine| CacheSource::Engine(home.record.instance.clone());
            return Supply {
                source: home.map(instance),
                ..Supply::default()
            };
        }
        let held = self.reach.held(engine);
        let offering = Offering {
            view: self.view,
            reach: self.reach,
            prompt,
            prefill_tokens_per_ms: self.rates.prefill_tokens_per_ms,
            now: self.now,
        };
        let offer = offers.best(&offering, engine, held);
        let offered = offer.as_ref().map_or(0, |offer| offer.kept_tokens);
        let kept = held.max(offered);
        let mut move_ms = 0.0;
        if let Some(offer) = offer.as_ref().filter(|_| offered > held) {
            move_ms = offer.move_ms;
            cost.transfer_ms = offer.wait_ms + offer.move_ms;
        }
        cost.eviction_ms = prefill_ms(shared - held) * self.rates.eviction_share;
        cost.prefill_ms = prefill_ms(shared.saturating_sub(kept));
        cost.reread_ms = self.reread_ms(engine, prompt, kept);
        Supply {
            source: offer.map(|offer| offer.source()),
            held_tokens: held,
            kept_tokens: kept,
            move_ms,
        }
    }

    /// Cost of reading again what others keep, when the engine has or is moved so many
    /// tokens. What nobody is known to keep may be kept in the prompt's home region.
    fn reread_ms(&self, engine: &Engine, prompt: &PromptCriteria<'_>, kept: u64) -> f64 {
        let kept_elsewhere = match self.place(engine).region == self.home_region {
            true => self.reach.most_kept(engine.weights_of(prompt.model)),
            false => prompt.shared_tokens(),
        };
        let reread_tokens = kept_elsewhere.saturating_sub(kept);
        let reading_ms = reread_tokens as f64 / self.rates.prefill_tokens_per_ms;
        (reading_ms * self.rates.reread_share).min(MAX_REREAD_MS)
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
