//! Choosing an engine, and how a prompt uses kept cache there.

use super::Relay;
use crate::beliefs::{Beliefs, CacheStoreState};
use crate::cache_feeds::cache_store;
use crate::ports::CacheTransfer;
use ploverlift_balancing::catalogue::{Engine, InstanceId};
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_balancing::selection::{choose, Choice, Cost, Criteria, NoChoice, PromptCriteria};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::{cache_salt, cache_scope, Prompt};
use std::net::SocketAddr;

/// An engine that was chosen, and how the request uses kept cache there.
pub(super) struct ChosenEngine {
    pub(super) instance: InstanceId,
    pub(super) tag: EngineTag,
    pub(super) address: SocketAddr,
    /// The version of weights that is relied on; nothing when it is not known.
    pub(super) weights: Option<u64>,
    /// Nothing for requests to plain services.
    pub(super) cache: Option<CacheTransfer>,
    /// Prompt tokens that it is expected to read.
    pub(super) tokens_to_read: u64,
    pub(super) cost: Cost,
    pub(super) candidates: usize,
}

/// An engine that keeps the beginning of a prompt.
struct KeptPrefix {
    address: SocketAddr,
    tokens: u64,
}

/// A prompt at the engine that was chosen for it.
struct PlacedPrompt<'a> {
    prompt: &'a Prompt,
    weights: u64,
    source: Option<KeptPrefix>,
    is_used_again: bool,
}

impl Relay {
    /// Chooses an engine among those that were not tried.
    pub(super) fn choose(&self) -> Result<ChosenEngine, NoChoice> {
        let now = self.gateway.clock.now();
        let rates = self.gateway.cost_rates();
        let beliefs = self.gateway.beliefs();
        let criteria = Criteria {
            service: &self.received.admission.service,
            zone: &self.gateway.zone,
            prompt: self.prompt_criteria(&beliefs, now),
            excluded: self.progress.attempts.tried(),
        };
        let choice = choose(&beliefs.fleet(), &criteria, &rates, now)?;
        let engine = beliefs.engines.get(&choice.instance);
        let engine = engine.ok_or(NoChoice::NoEngine)?;
        Ok(self.chosen_engine(&beliefs, engine, &choice))
    }

    fn cache_scope(&self) -> &str {
        cache_scope(self.received.admission.tenant.as_deref())
    }

    fn prompt_criteria(&self, beliefs: &Beliefs, now: Millis) -> Option<PromptCriteria<'_>> {
        let prompt = self.received.request.prompt.as_ref()?;
        let margin_ms = self.gateway.settings().weights.margin_ms;
        let bounds = self.gateway.weights_bounds(margin_ms);
        let scope = self.cache_scope();
        Some(PromptCriteria {
            model: &prompt.model,
            scope,
            key: prompt.shared_key(scope),
            shared: prompt.shared_parts(),
            required_weights: beliefs.required_weights(&prompt.model, &bounds, now),
        })
    }

    fn chosen_engine(&self, beliefs: &Beliefs, engine: &Engine, choice: &Choice) -> ChosenEngine {
        let mut chosen = ChosenEngine {
            instance: choice.instance.clone(),
            tag: engine.tag,
            address: engine.record.address,
            weights: None,
            cache: None,
            tokens_to_read: 0,
            cost: choice.cost,
            candidates: choice.candidates,
        };
        if let Some(prompt) = &self.received.request.prompt {
            let placed = PlacedPrompt {
                prompt,
                weights: engine.weights_of(&prompt.model),
                source: source(beliefs, choice),
                is_used_again: choice.kept_tokens >= prompt.shared_tokens(),
            };
            chosen.weights = Some(placed.weights).filter(|weights| *weights > 0);
            chosen.tokens_to_read = prompt.tokens().saturating_sub(choice.kept_tokens);
            chosen.cache = Some(self.transfer(beliefs, placed));
        }
        chosen
    }

    /// Fetches shared parts from the engine that keeps them, or from the store
    /// when that keeps more. Saves those that the store lacks when the prompt is
    /// used again: most are not within the time that the store keeps them, and
    /// saving each at its first use fills the store's link.
    fn transfer(&self, beliefs: &Beliefs, placed: PlacedPrompt<'_>) -> CacheTransfer {
        // Without known weights nothing may be shared with any other request.
        if placed.weights == 0 {
            return CacheTransfer {
                salt: self.received.request.id.clone(),
                fetch_from: None,
                save_to: None,
            };
        }
        let cache = &beliefs.cache;
        let salt = cache_salt(&placed.prompt.model, placed.weights, self.cache_scope());
        let shared = placed.prompt.shared_parts();
        let stored_tokens = cache.contents.prefix_tokens(&salt, shared);
        let is_whole = stored_tokens == placed.prompt.shared_tokens();
        let source_tokens = placed.source.as_ref().map_or(0, |source| source.tokens);
        let may_keep_some = cache.state == CacheStoreState::Unobserved && source_tokens == 0;
        let keeps_more = stored_tokens > source_tokens || may_keep_some;
        let store = self.cache_store_in_use(beliefs);
        let source = placed.source.map(|source| source.address);
        CacheTransfer {
            fetch_from: store.filter(|_| keeps_more).or(source),
            save_to: store.filter(|_| placed.is_used_again && !is_whole),
            salt,
        }
    }

    fn cache_store_in_use(&self, beliefs: &Beliefs) -> Option<SocketAddr> {
        if beliefs.cache.state == CacheStoreState::Lost {
            return None;
        }
        let configuration = &self.received.admission.configuration;
        let store = cache_store(configuration, &self.gateway.zone);
        store.map(|store| store.address)
    }
}

/// The engine from which the chosen one can have what it lacks.
fn source(beliefs: &Beliefs, choice: &Choice) -> Option<KeptPrefix> {
    let source = beliefs.engines.get(choice.source.as_ref()?)?;
    Some(KeptPrefix {
        address: source.record.address,
        tokens: choice.source_tokens,
    })
}
