//! Sources from which an engine can fetch the shared parts of a prompt that it lacks, and
//! the duration of the move.

use crate::catalogue::Engine;
use crate::fleet::{FleetView, PromptCriteria, StoreView};
use crate::moves::{move_factor, MAX_WAIT_MS};
use crate::names::InstanceId;
use crate::prefix_locations::PrefixLocations;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::topology::Distance;
use std::collections::HashMap;
use std::net::SocketAddr;

/// A source of shared parts that an engine lacks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CacheSource {
    /// Another engine.
    Engine(InstanceId),
    /// The KV cache store at this address.
    Store(SocketAddr),
}

/// How an engine obtains the shared parts of a prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct TransferPlan {
    /// Source of the parts that the engine lacks.
    pub(crate) source: Option<CacheSource>,
    /// Tokens in the engine's own cache.
    pub(crate) local_tokens: u64,
    /// Tokens that need no prefill.
    pub(crate) reusable_tokens: u64,
    /// Duration of the move, in milliseconds.
    pub(crate) move_ms: f64,
}

/// The part of a prompt that a source caches, and the time to move what an engine lacks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Offer<'a> {
    source: SourceId<'a>,
    /// Tokens of the shared parts that the source caches.
    pub(crate) cached_tokens: u64,
    /// Time until the move begins, in milliseconds.
    pub(crate) wait_ms: f64,
    /// Duration of the move, in milliseconds.
    pub(crate) move_ms: f64,
    /// Distance from the source to the engine.
    distance: Distance,
}

/// Identity of a source.
#[derive(Clone, Copy, Debug)]
enum SourceId<'a> {
    Engine(&'a InstanceId),
    Store(SocketAddr),
}

impl Offer<'_> {
    /// The source in its owned form.
    pub(crate) fn source(&self) -> CacheSource {
        match self.source {
            SourceId::Engine(instance) => CacheSource::Engine(instance.clone()),
            SourceId::Store(address) => CacheSource::Store(address),
        }
    }
}

/// Inputs that all offers for one prompt share.
pub(crate) struct OfferContext<'b, 'a> {
    /// This node's view of the fleet.
    pub(crate) view: &'b FleetView<'a>,
    /// Engines and stores that cache the prompt's shared parts.
    pub(crate) locations: &'b PrefixLocations<'a>,
    /// The prompt.
    pub(crate) prompt: &'b PromptCriteria<'b>,
    /// Prefill rate of an engine, in prompt tokens per millisecond.
    pub(crate) prefill_tokens_per_ms: f64,
    /// The current time.
    pub(crate) now: Millis,
}

/// A source of KV cache as seen from one engine.
struct Source<'a> {
    zone: &'a ZoneName,
    cached_tokens: u64,
    tokens_per_ms: f64,
    name: SourceId<'a>,
}

/// Identifies engines with equal offers: those in the same zone with the same weights,
/// the same number of cached tokens and the same wait. Engines that are sources
/// themselves are not cached by this key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OfferKey<'a> {
    zone: &'a ZoneName,
    weights: u64,
    cached: u64,
    wait_ms: u64,
}

/// Best offers found for a prompt, by key: a fleet has far more engines than distinct
/// keys.
#[derive(Debug, Default)]
pub(crate) struct OfferCache<'a> {
    found: HashMap<OfferKey<'a>, Option<Offer<'a>>>,
}

impl<'a> OfferCache<'a> {
    /// Returns the best offer for an engine, or `None` when no source caches any part or
    /// the engine would not begin a move because of its queue of moves.
    pub(crate) fn best(
        &mut self,
        context: &OfferContext<'_, 'a>,
        engine: &'a Engine,
        cached: u64,
    ) -> Option<Offer<'a>> {
        let wait_ms = context.view.moves.wait_ms(engine.tag, context.now);
        if wait_ms > MAX_WAIT_MS {
            return None;
        }
        let find = || best_offer(context, engine, cached, wait_ms);
        if context.locations.is_source(engine, context.prompt.model) {
            return find();
        }
        let key = OfferKey {
            zone: &engine.record.zone,
            weights: engine.weights_of(context.prompt.model),
            cached,
            wait_ms: wait_ms as u64,
        };
        *self.found.entry(key).or_insert_with(find)
    }
}

/// Returns the source with which the engine has the shared parts soonest, counting the
/// move and the prefill of what the source lacks. Ties go to the nearest source.
fn best_offer<'a>(
    context: &OfferContext<'_, 'a>,
    engine: &Engine,
    cached: u64,
    wait_ms: f64,
) -> Option<Offer<'a>> {
    let OfferContext {
        locations, prompt, ..
    } = context;
    let engines = locations.sources(engine, prompt.model);
    let engines = engines.map(|(source, cached_tokens)| Source {
        zone: &source.record.zone,
        cached_tokens,
        tokens_per_ms: prompt.move_tokens_per_ms,
        name: SourceId::Engine(&source.record.instance),
    });
    let topology = context.view.topology;
    let is_near = |store: &StoreView<'_>| {
        topology.distance(store.zone, &engine.record.zone) != Distance::OtherRegion
    };
    let stores = locations.stored(engine.weights_of(prompt.model)).iter();
    let stores = stores.filter(|(store, _)| is_near(store));
    let stores = stores.map(|(store, cached_tokens)| Source {
        zone: store.zone,
        cached_tokens: *cached_tokens,
        tokens_per_ms: store.tokens_per_ms,
        name: SourceId::Store(store.address),
    });
    let offers = engines.chain(stores);
    let offers = offers.map(|source| offer(context, engine, cached, wait_ms, source));
    offers.min_by(|a, b| {
        let by_time =
            completion_ms(context, cached, a).total_cmp(&completion_ms(context, cached, b));
        by_time
            .then(a.distance.cmp(&b.distance))
            .then(b.cached_tokens.cmp(&a.cached_tokens))
    })
}

fn offer<'a>(
    context: &OfferContext<'_, '_>,
    engine: &Engine,
    cached: u64,
    wait_ms: f64,
    source: Source<'a>,
) -> Offer<'a> {
    let topology = context.view.topology;
    let distance = topology.distance(source.zone, &engine.record.zone);
    let moved = source.cached_tokens.saturating_sub(cached) as f64;
    Offer {
        source: source.name,
        cached_tokens: source.cached_tokens,
        wait_ms,
        move_ms: moved / source.tokens_per_ms * move_factor(distance),
        distance,
    }
}

/// Time until the engine has all shared parts with an offer, in milliseconds.
fn completion_ms(context: &OfferContext<'_, '_>, cached: u64, offer: &Offer<'_>) -> f64 {
    let shared = context.prompt.shared_tokens();
    let to_read = shared.saturating_sub(offer.cached_tokens.max(cached));
    offer.move_ms + to_read as f64 / context.prefill_tokens_per_ms
}
