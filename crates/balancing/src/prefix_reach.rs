//! What each engine holds of one prompt's shared parts, and from which engine
//! another one can have what it lacks.

use crate::catalogue::Engine;
use crate::selection::{FleetView, PromptCriteria};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::{cache_salt, part_keys, PartKey};
use std::collections::BTreeMap;

/// Time within which an engine's events tell what it has read, in milliseconds.
const EVENT_DELAY_MS: u64 = 400;

/// Holders of one prompt's parts, and what the store holds of it, by the version of
/// weights that they were read under.
#[derive(Debug, Default)]
pub struct PrefixReach<'a> {
    by_weights: BTreeMap<u64, Vec<(&'a Engine, u64)>>,
    stored: BTreeMap<u64, u64>,
}

impl<'a> PrefixReach<'a> {
    /// Looks up who holds the shared parts of a prompt.
    pub fn of(
        view: &FleetView<'a>,
        service: &ServiceName,
        prompt: &PromptCriteria<'_>,
        now: Millis,
    ) -> Self {
        let mut by_weights: BTreeMap<u64, Vec<(&Engine, u64)>> = BTreeMap::new();
        for engine in view.catalogue.of_service(service) {
            let weights = engine.weights_of(prompt.model);
            by_weights.entry(weights).or_default().push((engine, 0));
        }
        let mut stored = BTreeMap::new();
        for (weights, engines) in &mut by_weights {
            let salt = cache_salt(prompt.model, *weights, prompt.scope);
            let keys = part_keys(&salt, prompt.shared);
            for (engine, tokens) in engines.iter_mut() {
                *tokens = kept_tokens(view, engine, prompt, &keys, now);
            }
            engines.retain(|(_, tokens)| *tokens > 0);
            if let Some(store) = view.cache_store {
                let tokens = store.contents.prefix_tokens(&salt, prompt.shared);
                stored.insert(*weights, tokens);
            }
        }
        by_weights.retain(|_, holders| !holders.is_empty());
        stored.retain(|_, tokens| *tokens > 0);
        Self { by_weights, stored }
    }

    /// Whether any engine or the store is known to hold any part.
    pub fn is_known(&self) -> bool {
        !self.by_weights.is_empty() || !self.stored.is_empty()
    }

    /// Tokens that the store holds, as they were read under these weights; nothing
    /// when it holds none.
    pub fn stored(&self, weights: u64) -> Option<u64> {
        self.stored.get(&weights).copied()
    }

    /// Tokens that an engine holds.
    pub fn held(&self, engine: &Engine, model: &str) -> u64 {
        let mut holders = self.holders(engine, model);
        let held = holders.find(|(holder, _)| holder.tag == engine.tag);
        held.map_or(0, |(_, tokens)| *tokens)
    }

    /// Another engine that holds the most, one in the same zone first.
    pub fn best_source(&self, engine: &Engine, model: &str) -> Option<(&'a Engine, u64)> {
        let others = self
            .holders(engine, model)
            .filter(|(holder, _)| holder.tag != engine.tag && !holder.health.is_suspected());
        let best = others.max_by_key(|(holder, tokens)| {
            let is_near = holder.record.zone == engine.record.zone;
            (*tokens, is_near, std::cmp::Reverse(holder.tag))
        });
        best.copied()
    }

    fn holders(&self, engine: &Engine, model: &str) -> impl Iterator<Item = &(&'a Engine, u64)> {
        let weights = engine.weights_of(model);
        self.by_weights.get(&weights).into_iter().flatten()
    }
}

/// Tokens of the shared parts that an engine keeps: a part is of use only when
/// every part before it is kept as well.
fn kept_tokens(
    view: &FleetView<'_>,
    engine: &Engine,
    prompt: &PromptCriteria<'_>,
    keys: &[PartKey],
    now: Millis,
) -> u64 {
    let contents = view.caches.of(engine.tag);
    // Where events are followed, a placement counts until they can tell.
    let longest_age_ms = contents.map_or(u64::MAX, |_| EVENT_DELAY_MS);
    let is_kept = |key: PartKey, tokens: u64| {
        let age_ms = view.holders.age_ms(key, engine.tag, now);
        age_ms.is_some_and(|age_ms| age_ms < longest_age_ms)
            || contents.is_some_and(|contents| contents.has_part(key, tokens))
    };
    let parts = prompt.shared.iter().zip(keys);
    let kept = parts.take_while(|(part, key)| is_kept(**key, part.tokens));
    kept.map(|(part, _)| part.tokens).sum()
}
