//! Selects the engine with the lowest cost, in milliseconds by named terms.

use crate::candidates::{candidates, Candidates};
use crate::catalogue::Engine;
use crate::cost::{Cost, CostRates};
pub use crate::eligibility::NoChoice;
use crate::fleet::{Criteria, FleetView, PromptCriteria};
use crate::names::InstanceId;
use crate::prefix_locations::PrefixLocations;
use crate::transfer_sources::{CacheSource, OfferCache, OfferContext, TransferPlan};
use crate::unreported_load::filled_level;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::topology::{Distance, RegionName};
use std::collections::{BTreeMap, HashMap};

/// The selected engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub instance: InstanceId,
    /// Its cost.
    pub cost: Cost,
    /// Source from which the engine can fetch shared parts that it lacks, or that it
    /// turns out to have evicted.
    pub source: Option<CacheSource>,
    /// Tokens of the shared parts in the engine's own cache.
    pub local_tokens: u64,
    /// Tokens of the shared parts that need no prefill: cached by the engine or moved to
    /// it.
    pub reusable_tokens: u64,
    /// Duration of the move from the source, in milliseconds.
    pub move_ms: f64,
    /// Distance from this node to the engine.
    pub distance: Distance,
    /// Number of engines that were eligible.
    pub candidates: usize,
}

/// Excess of an engine's failure rate over its service's typical rate above which it adds
/// cost.
const NOTABLE_FAILURE_EXCESS: f64 = 0.2;
/// Minimum number of outcomes for a failure rate to be used.
const MIN_OUTCOMES: u32 = 6;
/// Cost of a failure rate of 1.0, in milliseconds.
const FAILURE_MS: f64 = 2_000.0;
/// Cost of an engine that is loading weights, in milliseconds: it would refuse the
/// request.
const LOADING_MS: f64 = 5_000.0;
/// Cost of reaching an engine through a peer, in milliseconds: two more round trips between
/// zones, and the work of the peer.
const TUNNEL_MS: f64 = 8.0;
/// Cost of an ejected engine, in milliseconds.
const EJECTED_MS: f64 = 20_000.0;
/// Mean delay until a load is reported, in milliseconds: half of a node's report period
/// and half of a relay's, plus a third of the delay that relays of other zones add.
const REPORT_WAIT_MS: f64 = 100.0;
/// Upper bound on the wait expected behind unreported requests of other nodes, in
/// milliseconds. It exceeds the cost differences between engines during a weights
/// roll-out (80 ms for a stale version) and stays below those under overload: there,
/// prompts go where they are cached, not to the engine that is cheapest for everyone, and
/// without a bound the estimate would hide actual queues.
const MAX_UNREPORTED_MS: f64 = 120.0;
/// Maximum cost of prefilling again what is cached elsewhere, in milliseconds: half of
/// the cost of an engine that fails every request, so that prompts leave a failing home
/// engine.
const MAX_REREAD_MS: f64 = 1_000.0;
/// Cost per rank in a prompt's rendezvous order, in milliseconds, so that overflow goes
/// to the same few engines.
const RANK_MS: f64 = 1.0;

/// Selects the engine with the lowest cost.
///
/// # Errors
/// Returns the reason when no engine may serve the request.
pub fn choose(
    view: &FleetView<'_>,
    criteria: &Criteria<'_>,
    rates: &CostRates,
    now: Millis,
) -> Result<Choice, NoChoice> {
    let Candidates {
        engines: ranked,
        sources,
        engines_per_candidate,
    } = candidates(view, criteria, now)?;
    let locations = match &criteria.prompt {
        Some(prompt) => PrefixLocations::of(view, &sources, prompt, now),
        None => PrefixLocations::default(),
    };
    let estimator = CostEstimator {
        view,
        criteria,
        rates,
        locations: &locations,
        zone_views: zone_views(view, criteria, rates, &ranked, now),
        homes: homes(view, &ranked),
        home_region: ranked
            .first()
            .and_then(|home| view.topology.region_of(&home.record.zone)),
        typical_failures: typical_failure_rate(&ranked, now),
        newest_weights: newest_weights(&ranked, criteria),
        engines_per_candidate,
        now,
    };
    let mut ranks: BTreeMap<Option<&RegionName>, usize> = BTreeMap::new();
    let mut offers = OfferCache::default();
    let mut estimated: Vec<(&Engine, Cost, TransferPlan)> = Vec::with_capacity(ranked.len());
    for engine in &ranked {
        let region = estimator.zone_view(engine).region;
        let rank = ranks.entry(region).or_default();
        let (cost, plan) = estimator.cost(engine, *rank, &mut offers);
        estimated.push((engine, cost, plan));
        *rank += 1;
    }
    estimator.add_unreported_load(&mut estimated);
    let cheapest = estimated
        .into_iter()
        .min_by(|(_, a, _), (_, b, _)| a.total_ms().total_cmp(&b.total_ms()));
    let (engine, cost, plan) = cheapest.ok_or(NoChoice::NoEngine)?;
    Ok(Choice {
        instance: engine.record.instance.clone(),
        move_ms: plan.move_ms,
        distance: view.topology.distance(criteria.zone, &engine.record.zone),
        source: plan.source,
        local_tokens: plan.local_tokens,
        reusable_tokens: plan.reusable_tokens,
        cost,
        candidates: ranked.len(),
    })
}

/// A zone as seen from this node.
#[derive(Clone, Copy, Debug)]
struct ZoneView<'a> {
    region: Option<&'a RegionName>,
    distance: Distance,
    region_ms: f64,
}

/// Views of the zones that have candidates.
fn zone_views<'a>(
    view: &FleetView<'a>,
    criteria: &Criteria<'_>,
    rates: &CostRates,
    ranked: &[&'a Engine],
    now: Millis,
) -> HashMap<&'a ZoneName, ZoneView<'a>> {
    let mut zone_views = HashMap::new();
    for engine in ranked {
        let zone = &engine.record.zone;
        zone_views.entry(zone).or_insert_with(|| {
            let distance = view.topology.distance(criteria.zone, zone);
            let round_trip_ms = view.round_trips.shortest_ms(zone, now);
            let region_ms = match distance {
                Distance::OtherRegion => {
                    rates.region.cost_ms(round_trip_ms, criteria.request_bytes)
                }
                _ => 0.0,
            };
            ZoneView {
                region: view.topology.region_of(zone),
                distance,
                region_ms,
            }
        });
    }
    zone_views
}

/// The home engine in each region: the first of the prompt's rendezvous order there.
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

/// The newest weights version among the candidates.
fn newest_weights(engines: &[&Engine], criteria: &Criteria<'_>) -> u64 {
    let prompt = criteria.prompt.as_ref();
    let weights = engines.iter().map(|engine| {
        let model = prompt.map(|prompt| prompt.model);
        model.map_or(0, |model| engine.weights_of(model))
    });
    weights.max().unwrap_or(0)
}

/// The median failure rate of the engines, so that a service whose requests fail on all
/// engines does not lose all of them.
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

/// Inputs that the costs of all candidates share.
struct CostEstimator<'a> {
    view: &'a FleetView<'a>,
    criteria: &'a Criteria<'a>,
    rates: &'a CostRates,
    locations: &'a PrefixLocations<'a>,
    zone_views: HashMap<&'a ZoneName, ZoneView<'a>>,
    homes: BTreeMap<Option<&'a RegionName>, &'a Engine>,
    /// Region of the prompt's home, to which nodes send the prompt when no other region
    /// is known to cache it.
    home_region: Option<&'a RegionName>,
    typical_failures: f64,
    newest_weights: u64,
    /// Engines of the service per candidate.
    engines_per_candidate: f64,
    now: Millis,
}

impl<'a> CostEstimator<'a> {
    /// The view of an engine's zone. The zones of all candidates are known.
    fn zone_view(&self, engine: &Engine) -> ZoneView<'a> {
        let known = self.zone_views.get(&engine.record.zone).copied();
        known.unwrap_or(ZoneView {
            region: None,
            distance: Distance::SameZone,
            region_ms: 0.0,
        })
    }

    fn cost(
        &self,
        engine: &'a Engine,
        rank: usize,
        offers: &mut OfferCache<'a>,
    ) -> (Cost, TransferPlan) {
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
        let zone_view = self.zone_view(engine);
        if zone_view.distance != Distance::SameZone {
            cost.zone_ms = rates.zone_ms;
        }
        cost.region_ms = zone_view.region_ms;
        if self.view.paths.is_cut(engine.tag) {
            cost.path_ms = TUNNEL_MS;
        }
        let peers = self.view.peer_loads.at(engine.tag);
        let requests = match self.view.peer_loads.peer_count() {
            0 => f64::from(engine.in_flight) * rates.senders,
            _ => f64::from(engine.in_flight + peers.requests),
        };
        let occupied = requests / f64::from(engine.record.slots.max(1));
        cost.slots_ms = occupied * rates.slot_ms;
        let Some(prompt) = &self.criteria.prompt else {
            return (cost, TransferPlan::default());
        };
        let waiting_tokens = engine.waiting_tokens + peers.waiting_tokens;
        cost.queue_ms = waiting_tokens as f64 / rates.prefill_tokens_per_ms;
        let plan = self.plan_transfer(engine, prompt, rank, &mut cost, offers);
        cost.transfer_ms += RANK_MS * rank as f64;
        if engine.weights_of(prompt.model) < self.newest_weights {
            let to_read = prompt.shared_tokens().saturating_sub(plan.reusable_tokens);
            cost.stale_version_ms = rates.stale_version_ms;
            cost.stale_reading_ms = to_read as f64 / rates.prefill_tokens_per_ms;
        }
        (cost, plan)
    }

    /// Adds the expected wait behind unreported requests of other nodes. They fill the
    /// engines that are cheapest for every prompt, so cost terms that depend on this
    /// prompt are left out. This request takes a random position among those sent in the
    /// same interval.
    fn add_unreported_load(&self, estimated: &mut [(&Engine, Cost, TransferPlan)]) {
        let Some(prompt) = &self.criteria.prompt else {
            return;
        };
        let Some(age_ms) = self.view.peer_loads.age_ms(self.now) else {
            return;
        };
        let own_tokens = self.view.recent_prefill.per_ms(self.now);
        let other_nodes = self.view.peer_loads.peer_count() as f64;
        let unreported_ms = age_ms as f64 + REPORT_WAIT_MS;
        let tokens = own_tokens * other_nodes * unreported_ms;
        // Other nodes send to all engines of the service, and the candidates are only
        // some of them.
        let volume_ms = tokens / self.rates.prefill_tokens_per_ms / self.engines_per_candidate;
        let base_ms: Vec<f64> = estimated
            .iter()
            .map(|(_, cost, _)| cost.prompt_independent_ms())
            .collect();
        let level = filled_level(&base_ms, volume_ms * prompt.arrival_fraction);
        let lowest = base_ms.iter().copied().fold(f64::MAX, f64::min);
        let level = level.min(lowest + MAX_UNREPORTED_MS);
        for ((_, cost, _), base_ms) in estimated.iter_mut().zip(&base_ms) {
            cost.unreported_ms = (level - base_ms).max(0.0);
        }
    }

    /// Finds the cheapest way for an engine to obtain the shared parts.
    fn plan_transfer(
        &self,
        engine: &'a Engine,
        prompt: &PromptCriteria<'_>,
        rank: usize,
        cost: &mut Cost,
        offers: &mut OfferCache<'a>,
    ) -> TransferPlan {
        let prefill_ms = |tokens: u64| tokens as f64 / self.rates.prefill_tokens_per_ms;
        let shared = prompt.shared_tokens();
        cost.reread_ms = self.reread_ms(engine, prompt, 0);
        if !self.locations.is_known() {
            // No engine or store is known to cache any part; the home engine may.
            if rank > 0 {
                cost.eviction_ms = prefill_ms(shared) * self.rates.eviction_share;
            }
            let region = self.zone_view(engine).region;
            let home = self.homes.get(&region).filter(|home| {
                let same_weights = home.weights_of(prompt.model) == engine.weights_of(prompt.model);
                let is_unknown = self.view.caches.of(home.tag).is_none();
                rank > 0 && same_weights && is_unknown && !home.health.is_suspected()
            });
            let instance = |home: &&Engine| CacheSource::Engine(home.record.instance.clone());
            return TransferPlan {
                source: home.map(instance),
                ..TransferPlan::default()
            };
        }
        let cached = self.locations.cached(engine);
        let context = OfferContext {
            view: self.view,
            locations: self.locations,
            prompt,
            prefill_tokens_per_ms: self.rates.prefill_tokens_per_ms,
            now: self.now,
        };
        let offer = offers.best(&context, engine, cached);
        let offered = offer.as_ref().map_or(0, |offer| offer.cached_tokens);
        let reusable = cached.max(offered);
        let mut move_ms = 0.0;
        if let Some(offer) = offer.as_ref().filter(|_| offered > cached) {
            move_ms = offer.move_ms;
            cost.transfer_ms = offer.wait_ms + offer.move_ms;
        }
        cost.eviction_ms = prefill_ms(shared - cached) * self.rates.eviction_share;
        cost.prefill_ms = prefill_ms(shared.saturating_sub(reusable));
        cost.reread_ms = self.reread_ms(engine, prompt, reusable);
        TransferPlan {
            source: offer.map(|offer| offer.source()),
            local_tokens: cached,
            reusable_tokens: reusable,
            move_ms,
        }
    }

    /// Cost of prefilling again what is cached elsewhere, when `reusable` tokens are cached
    /// by the engine or moved to it. Parts that are not known to be cached anywhere may
    /// be cached in the prompt's home region.
    fn reread_ms(&self, engine: &Engine, prompt: &PromptCriteria<'_>, reusable: u64) -> f64 {
        let cached_elsewhere = match self.zone_view(engine).region == self.home_region {
            true => self.locations.most_cached(engine.weights_of(prompt.model)),
            false => prompt.shared_tokens(),
        };
        let reread_tokens = cached_elsewhere.saturating_sub(reusable);
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
        if engine.health.outcomes() >= MIN_OUTCOMES && excess > NOTABLE_FAILURE_EXCESS {
            return excess * FAILURE_MS;
        }
        0.0
    }
}
