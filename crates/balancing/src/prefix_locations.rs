//! Which of one prompt's shared parts each engine caches, and the engines and stores that
//! can supply the others.

use crate::catalogue::Engine;
use crate::fleet::{FleetView, PromptCriteria, StoreView};
use crate::names::EngineTag;
use ploverlift_policy::ids::{Millis, ZoneName};
use ploverlift_routing::prompt::{cache_salt, part_keys, PartKey};
use std::collections::{BTreeMap, HashMap};

/// Time within which an engine's cache events report what it has prefilled, in
/// milliseconds.
const EVENT_DELAY_MS: u64 = 400;

/// Engines and stores that cache parts of one prompt, by the weights version under which
/// these were prefilled.
#[derive(Clone, Debug, Default)]
pub struct PrefixLocations<'a> {
    by_weights: BTreeMap<u64, Vec<(&'a Engine, u64)>>,
    /// Holders worth fetching from: a few of each zone.
    sources: BTreeMap<u64, Vec<(&'a Engine, u64)>>,
    stored: BTreeMap<u64, Vec<(StoreView<'a>, u64)>>,
    most_cached: BTreeMap<u64, u64>,
    cached: HashMap<EngineTag, u64>,
}

impl<'a> PrefixLocations<'a> {
    /// Looks up which of these engines and which stores cache the shared parts of a
    /// prompt.
    pub fn of(
        view: &FleetView<'a>,
        engines: &[&'a Engine],
        prompt: &PromptCriteria<'_>,
        now: Millis,
    ) -> Self {
        let mut by_weights: BTreeMap<u64, Vec<(&Engine, u64)>> = BTreeMap::new();
        for engine in engines.iter().copied() {
            let weights = engine.weights_of(prompt.model);
            by_weights.entry(weights).or_default().push((engine, 0));
        }
        let mut stored = BTreeMap::new();
        for (weights, engines) in &mut by_weights {
            let salt = cache_salt(prompt.model, *weights, prompt.scope);
            let keys = part_keys(&salt, prompt.shared);
            for (engine, tokens) in engines.iter_mut() {
                *tokens = cached_tokens(view, engine, prompt, &keys, now);
            }
            engines.retain(|(_, tokens)| *tokens > 0);
            let tokens_in = |store: &StoreView<'a>| {
                let tokens = store.contents.prefix_tokens(&salt, prompt.shared);
                (tokens > 0).then_some((*store, tokens))
            };
            let stores: Vec<(StoreView<'a>, u64)> =
                view.cache_stores.iter().filter_map(tokens_in).collect();
            stored.insert(*weights, stores);
        }
        by_weights.retain(|_, holders| !holders.is_empty());
        stored.retain(|_, stores| !stores.is_empty());
        let mut most_cached: BTreeMap<u64, u64> = BTreeMap::new();
        let engine_tokens = by_weights.iter().flat_map(|(weights, holders)| {
            let tokens = holders.iter().map(|(_, tokens)| *tokens);
            tokens.map(|tokens| (*weights, tokens))
        });
        let store_tokens = stored.iter().flat_map(|(weights, stores)| {
            let tokens = stores.iter().map(|(_, tokens)| *tokens);
            tokens.map(|tokens| (*weights, tokens))
        });
        for (weights, tokens) in engine_tokens.chain(store_tokens) {
            let most = most_cached.entry(weights).or_default();
            *most = tokens.max(*most);
        }
        let cached = by_weights.values().flatten();
        let cached = cached
            .map(|(engine, tokens)| (engine.tag, *tokens))
            .collect();
        let sources = by_weights.iter();
        let sources = sources.map(|(weights, holders)| (*weights, nearest_sources(holders)));
        Self {
            sources: sources.collect(),
            by_weights,
            stored,
            most_cached,
            cached,
        }
    }

    /// Whether any engine or store is known to cache any part.
    pub fn is_known(&self) -> bool {
        !self.by_weights.is_empty() || !self.stored.is_empty()
    }

    /// The stores that cache any part under these weights, and the number of tokens that
    /// each caches.
    pub fn stored(&self, weights: u64) -> &[(StoreView<'a>, u64)] {
        self.stored.get(&weights).map_or(&[], Vec::as_slice)
    }

    /// The most tokens that any engine or store caches under these weights.
    pub fn most_cached(&self, weights: u64) -> u64 {
        self.most_cached.get(&weights).copied().unwrap_or(0)
    }

    /// Tokens of the shared parts that an engine caches.
    pub fn cached(&self, engine: &Engine) -> u64 {
        self.cached.get(&engine.tag).copied().unwrap_or(0)
    }

    /// Whether an engine is one of the holders worth fetching from.
    pub fn is_source(&self, engine: &Engine, model: &str) -> bool {
        let sources = self.sources.get(&engine.weights_of(model));
        let mut sources = sources.into_iter().flatten();
        sources.any(|(source, _)| source.tag == engine.tag)
    }

    /// The other engines worth fetching from under the engine's weights, and the number
    /// of tokens that each caches.
    pub fn sources<'b>(
        &'b self,
        engine: &'b Engine,
        model: &str,
    ) -> impl Iterator<Item = (&'a Engine, u64)> + 'b {
        let weights = engine.weights_of(model);
        let sources = self.sources.get(&weights).into_iter().flatten();
        let others = sources.filter(|(source, _)| source.tag != engine.tag);
        others.copied()
    }
}

/// Sources per zone: the engine that caches the most, and the next one, which that engine
/// itself can fetch from.
const SOURCES_PER_ZONE: usize = 2;

/// Selects the reachable holders that cache the most, a few of each zone: an engine's
/// distance to all holders of a zone is the same.
fn nearest_sources<'a>(holders: &[(&'a Engine, u64)]) -> Vec<(&'a Engine, u64)> {
    let answering = holders.iter().copied();
    let answering = answering.filter(|(holder, _)| !holder.health.is_suspected());
    let mut sources: Vec<(&Engine, u64)> = answering.collect();
    sources.sort_by(|(a, cached_by_a), (b, cached_by_b)| {
        let by_zone = a.record.zone.cmp(&b.record.zone);
        by_zone
            .then(cached_by_b.cmp(cached_by_a))
            .then(a.tag.cmp(&b.tag))
    });
    let mut taken: Option<(&ZoneName, usize)> = None;
    sources.retain(|(source, _)| {
        let zone = &source.record.zone;
        let before = taken.filter(|(known, _)| *known == zone);
        let count = before.map_or(1, |(_, count)| count + 1);
        taken = Some((zone, count));
        count <= SOURCES_PER_ZONE
    });
    sources
}

/// Tokens of the shared parts that an engine caches. A part is usable only when all parts
/// before it are cached as well.
fn cached_tokens(
    view: &FleetView<'_>,
    engine: &Engine,
    prompt: &PromptCriteria<'_>,
    keys: &[PartKey],
    now: Millis,
) -> u64 {
    let contents = view.caches.of(engine.tag);
    // Where cache events are followed, a placement counts only until its events must have
    // arrived.
    let longest_age_ms = contents.map_or(u64::MAX, |_| EVENT_DELAY_MS);
    let is_cached = |key: PartKey, tokens: u64| {
        let age_ms = view.holders.age_ms(key, engine.tag, now);
        age_ms.is_some_and(|age_ms| age_ms < longest_age_ms)
            || contents.is_some_and(|contents| contents.has_part(key, tokens))
    };
    let parts = prompt.shared.iter().zip(keys);
    let cached_prefix = parts.take_while(|(part, key)| is_cached(**key, part.tokens));
    cached_prefix.map(|(part, _)| part.tokens).sum()
}
