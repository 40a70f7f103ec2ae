//! What each engine holds of one prompt's shared parts, and from which engine
//! another one can have what it lacks.

use crate::catalogue::Engine;
use crate::prefix_holders::chain_keys;
use crate::selection::{FleetView, PromptCriteria};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::prompt::cache_salt;
use std::collections::BTreeMap;

/// Holders of one prompt's parts, by the version of weights they were read under.
#[derive(Debug, Default)]
pub struct PrefixReach<'a> {
    by_weights: BTreeMap<u64, Vec<(&'a Engine, u64)>>,
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
        let engines: Vec<&Engine> = view.catalogue.of_service(service).collect();
        for engine in &engines {
            by_weights
                .entry(engine.weights_of(prompt.model))
                .or_default();
        }
        for (weights, holders) in &mut by_weights {
            let salt = cache_salt(prompt.model, *weights, prompt.scope);
            let keys = chain_keys(&salt, prompt.shared);
            let mut tokens = 0;
            for (part, key) in prompt.shared.iter().zip(keys) {
                tokens += part.tokens;
                for tag in view.holders.of(key, now) {
                    // An engine that has read a chain has read all before it.
                    holders.retain(|(known, _)| known.tag != tag);
                    let mut holding = engines.iter().filter(|engine| {
                        engine.tag == tag && engine.weights_of(prompt.model) == *weights
                    });
                    if let Some(engine) = holding.next() {
                        holders.push((*engine, tokens));
                    }
                }
            }
        }
        by_weights.retain(|_, holders| !holders.is_empty());
        Self { by_weights }
    }

    /// Whether any engine is known to hold any part.
    pub fn is_known(&self) -> bool {
        !self.by_weights.is_empty()
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
