//! Choosing an engine, and how a prompt uses KV cache there.

use super::running_request::RunningRequest;
use super::Forwarding;
use crate::beliefs::Beliefs;
use crate::cache_feeds::cache_stores;
use crate::ports::CacheTransfer;
use crate::rollouts::choice::{OwnSeat, SoftwareChoice, VersionedRequest};
use crate::rollouts::Arrival;
use ploverlift_balancing::cache_stores::{
    fill, is_kept_elsewhere, saving_store, CacheStoreState, KnownStore,
};
use ploverlift_balancing::catalogue::{Engine, InstanceId};
use ploverlift_balancing::cost::{Cost, CostRates};
use ploverlift_balancing::fleet::{Criteria, PromptCriteria, StoreView};
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_balancing::selection::{choose, Choice, NoChoice};
use ploverlift_balancing::store_admission::{has_free_capacity, is_worth_saving, SaveCandidate};
use ploverlift_balancing::transfer_sources::CacheSource;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::share::GateReason;
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::prompt::{cache_salt, cache_scope, Prompt};
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_routing::topology::Distance;
use std::net::SocketAddr;
use std::sync::Arc;

/// Bytes that a link of one megabit a second moves in a millisecond.
const BYTES_PER_MEGABIT_PER_MS: f64 = 125.0;

/// An engine that was chosen, and how the request uses KV cache there.
pub(super) struct ChosenEngine {
    pub(super) instance: InstanceId,
    pub(super) tag: EngineTag,
    pub(super) address: SocketAddr,
    pub(super) software: SoftwareVersion,
    /// What the gate of the service's rollout said; nothing where there is none.
    pub(super) gate: Option<GateReason>,
    /// What the attempt is in an open rollout.
    pub(super) arrival: Option<Arrival>,
    /// Counts the attempt as running.
    pub(super) running: Option<RunningRequest>,
    /// The version of weights that is relied on; nothing when it is not known.
    pub(super) weights: Option<u64>,
    /// Time for which requests may yet begin on it, as known at the choice, in
    /// milliseconds.
    pub(super) may_begin_ms: Option<u64>,
    /// Nothing for requests to plain services.
    pub(super) cache: Option<CacheTransfer>,
    /// Prompt tokens that it is expected to read.
    pub(super) tokens_to_prefill: u64,
    /// Shared tokens that it is believed to keep itself.
    pub(super) locally_cached_tokens: u64,
    pub(super) cost: Cost,
    /// Time of the move from the source, in milliseconds.
    pub(super) move_ms: f64,
    /// How far it is from this node.
    pub(super) distance: Distance,
    pub(super) candidates: usize,
    /// Age of the loads of other nodes, in milliseconds.
    pub(super) loads_age_ms: Option<u64>,
    /// Age of what this node knew of the engines, in milliseconds.
    pub(super) engines_age_ms: Option<u64>,
    /// When it was chosen.
    pub(super) chosen_at: Millis,
    /// Whether it had said in an answer that it leaves: no other one was left.
    pub(super) leaves: bool,
    /// Who told it, or "kept" for an engine whose record is gone.
    pub(super) engines_source: &'static str,
}

/// A prompt at the engine that was chosen for it.
struct PlacedPrompt<'a> {
    prompt: &'a Prompt,
    weights: u64,
    engine: &'a Engine,
    source: Option<&'a CacheSource>,
    hit_tokens: u64,
}

impl Forwarding {
    /// Chooses an engine among those that were not tried.
    pub(super) fn choose(&mut self) -> Result<ChosenEngine, NoChoice> {
        let now = self.gateway.clock.now();
        let mut rates = self.gateway.cost_rates();
        let gateway = Arc::clone(&self.gateway);
        let service = &self.received.admission.service;
        let has_rollout = gateway.beliefs().rollouts.concerns(service);
        let own = has_rollout.then(|| gateway.own_seat());
        let mut beliefs = gateway.beliefs();
        rates.prefill_tokens_per_ms = beliefs.tokens_per_ms(service, rates.prefill_tokens_per_ms);
        let software = self.software_choice(&beliefs, own.as_ref(), now)?;
        let choice = self.choose_with_software(&beliefs, &software, &rates, now)?;
        let engine = beliefs.engines.get(&choice.instance);
        let engine = engine.ok_or(NoChoice::NoEngine)?;
        let mut chosen = self.chosen_engine(&beliefs, engine, &choice);
        chosen.gate = software.reason;
        let route = &self.received.admission.route;
        if !std::mem::replace(&mut self.progress.is_counted, true) {
            beliefs.rollouts.note_request(service, route);
        }
        let software = chosen.software.clone();
        chosen.arrival = beliefs.rollouts.note_attempt(service, route, &software);
        if let Some(arrival) = &chosen.arrival {
            gateway.metrics.count_arrival(&service.0, arrival);
        }
        // Counted under the lock under which it was allowed: whoever says that nothing
        // runs on a version has then seen it.
        let running = RunningRequest::begin(&gateway, &mut beliefs, service, &software);
        chosen.running = Some(running);
        Ok(chosen)
    }

    /// Which engines may serve the request by their software.
    fn software_choice(
        &self,
        beliefs: &Beliefs,
        own: Option<&OwnSeat>,
        now: Millis,
    ) -> Result<SoftwareChoice, NoChoice> {
        let admission = &self.received.admission;
        // Only the gate of a rollout asks for the prompt's key.
        let prompt = own.and(self.received.request.prompt.as_ref());
        let request = VersionedRequest {
            service: &admission.service,
            route: &admission.route,
            prompt: prompt.map(|prompt| prompt.shared_key(self.cache_scope())),
            tried: self.progress.attempts.tried(),
            is_sent_before: self.progress.attempts.next_is_repeat(),
        };
        let rollouts = &beliefs.rollouts;
        let choice = rollouts.software_choice(&request, &beliefs.engines, own, now);
        choice.ok_or(NoChoice::SoftwareHeldBack)
    }

    /// The cheapest engine of the versions that may serve; where the canary has none,
    /// an established one.
    fn choose_with_software(
        &self,
        beliefs: &Beliefs,
        software: &SoftwareChoice,
        rates: &CostRates,
        now: Millis,
    ) -> Result<Choice, NoChoice> {
        let tried = self.progress.attempts.tried();
        let tried_or_spared: Vec<InstanceId> =
            tried.iter().chain(&software.spared).cloned().collect();
        let mut criteria = Criteria {
            service: &self.received.admission.service,
            zone: &self.gateway.zone,
            request_bytes: self.received.body.len() as u64,
            prompt: self.prompt_criteria(beliefs, now)?,
            software: software.rule.clone(),
            sample_seed: fastrand::u64(..),
            excluded: &tried_or_spared,
            leaving_grace_ms: self.leaving_grace_ms(),
            avoids_limited: self.avoids_limited(),
        };
        let stores = self.stores_in_use(beliefs);
        let views = self.store_views(&stores);
        let view = beliefs.fleet(&self.gateway.topology, views);
        let chosen = choose(&view, &criteria, rates, now);
        let Some(otherwise) = software.otherwise.clone().filter(|_| chosen.is_err()) else {
            return chosen;
        };
        criteria.software = otherwise;
        criteria.excluded = tried;
        choose(&view, &criteria, rates, now)
    }

    fn cache_scope(&self) -> &str {
        cache_scope(self.received.admission.tenant.as_deref())
    }

    /// What a prompt asks of its engine; nothing for requests without one.
    fn prompt_criteria(
        &self,
        beliefs: &Beliefs,
        now: Millis,
    ) -> Result<Option<PromptCriteria<'_>>, NoChoice> {
        let Some(prompt) = &self.received.request.prompt else {
            return Ok(None);
        };
        let margin_ms = self.gateway.settings().weights.margin_ms;
        let bounds = self.gateway.weights_bounds(margin_ms);
        let required = beliefs.weights.required(&prompt.model, &bounds, now);
        let scope = self.cache_scope();
        Ok(Some(PromptCriteria {
            model: &prompt.model,
            scope,
            key: prompt.shared_key(scope),
            shared: prompt.shared_parts(),
            move_tokens_per_ms: self.move_tokens_per_ms(self.engine_link_mbps()),
            arrival_fraction: fastrand::f64(),
            required_weights: required.ok_or(NoChoice::WeightsNotProven)?,
        }))
    }

    /// Tokens of KV cache that a link moves in a millisecond; unlimited where the
    /// configuration does not tell.
    fn move_tokens_per_ms(&self, link_mbps: Option<f64>) -> f64 {
        let admission = &self.received.admission;
        let services = &admission.configuration.document.services;
        let service = services.get(&admission.service);
        let token_bytes = service.and_then(|service| service.cache_token_bytes);
        match (token_bytes.filter(|bytes| *bytes > 0.0), link_mbps) {
            (Some(bytes), Some(mbps)) => mbps * BYTES_PER_MEGABIT_PER_MS / bytes,
            _ => f64::INFINITY,
        }
    }

    fn engine_link_mbps(&self) -> Option<f64> {
        let admission = &self.received.admission;
        let services = &admission.configuration.document.services;
        services.get(&admission.service)?.cache_link_mbps
    }

    /// The KV cache stores that answer.
    fn stores_in_use<'a>(&'a self, beliefs: &'a Beliefs) -> Vec<(&'a CacheStore, &'a KnownStore)> {
        let is_used = self.gateway.settings().cache.use_store;
        let is_model = self.received.request.prompt.is_some();
        if !is_used || !is_model {
            return Vec::new();
        }
        let configured = cache_stores(&self.received.admission.configuration);
        beliefs.cache_stores.in_use(configured)
    }

    fn store_views<'a>(&self, stores: &[(&'a CacheStore, &'a KnownStore)]) -> Vec<StoreView<'a>> {
        let views = stores.iter().map(|(store, belief)| StoreView {
            address: store.address,
            zone: &store.zone,
            contents: belief.contents(),
            tokens_per_ms: self.move_tokens_per_ms(store.link_mbps),
        });
        views.collect()
    }

    fn chosen_engine(&self, beliefs: &Beliefs, engine: &Engine, choice: &Choice) -> ChosenEngine {
        let now = self.gateway.clock.now();
        let last_heard = beliefs.engines_proof.last_heard();
        let engines_source = match beliefs.engines_proof.is_kept(&choice.instance) {
            true => "kept",
            false => last_heard.map_or("none", |last| last.source.name()),
        };
        let mut chosen = ChosenEngine {
            instance: choice.instance.clone(),
            tag: engine.tag,
            address: engine.record.address,
            software: engine.record.software.clone(),
            gate: None,
            arrival: None,
            running: None,
            weights: None,
            may_begin_ms: None,
            cache: None,
            tokens_to_prefill: 0,
            locally_cached_tokens: choice.local_tokens,
            cost: choice.cost,
            move_ms: choice.move_ms,
            distance: choice.distance,
            candidates: choice.candidates,
            loads_age_ms: beliefs.peer_loads.age_ms(now),
            engines_age_ms: last_heard.map(|last| now.since(last.at)),
            engines_source,
            chosen_at: now,
            leaves: beliefs.engines.leaving_notice(engine).is_some(),
        };
        if let Some(prompt) = &self.received.request.prompt {
            let placed = PlacedPrompt {
                prompt,
                weights: engine.weights_of(&prompt.model),
                engine,
                source: choice.source.as_ref(),
                hit_tokens: choice.reusable_tokens,
            };
            chosen.weights = Some(placed.weights).filter(|weights| *weights > 0);
            let bounds = self.gateway.weights_bounds(0);
            let now = self.gateway.clock.now();
            let left_ms = |weights| {
                beliefs
                    .weights
                    .left_ms(&prompt.model, weights, &bounds, now)
            };
            chosen.may_begin_ms = chosen.weights.map(left_ms);
            chosen.tokens_to_prefill = prompt.tokens().saturating_sub(choice.reusable_tokens);
            chosen.cache = Some(self.plan_cache_transfer(beliefs, placed));
        }
        chosen
    }

    /// How the request uses KV cache at its engine: it fetches shared parts from the
    /// source of the choice, and saves them where that is worth its room.
    fn plan_cache_transfer(&self, beliefs: &Beliefs, placed: PlacedPrompt<'_>) -> CacheTransfer {
        // Without known weights nothing may be shared with any other request.
        if placed.weights == 0 {
            return CacheTransfer {
                salt: self.received.request.id.clone(),
                fetch_from: None,
                save_to: None,
            };
        }
        let scope = self.cache_scope();
        let salt = cache_salt(&placed.prompt.model, placed.weights, scope);
        let stores = self.stores_in_use(beliefs);
        let key = placed.prompt.shared_key(scope);
        let zone = &placed.engine.record.zone;
        let saving = saving_store(&stores, &self.gateway.topology, zone, key);
        let is_unobserved =
            saving.is_some_and(|(_, belief)| belief.state() == CacheStoreState::Unobserved);
        let fetch_from = match placed.source {
            // What the store keeps is not known.
            _ if is_unobserved && placed.hit_tokens == 0 => saving.map(|(store, _)| store.address),
            Some(CacheSource::Engine(instance)) => {
                let source = beliefs.engines.get(instance);
                source.map(|source| source.record.address)
            }
            Some(CacheSource::Store(address)) => Some(*address),
            None => None,
        };
        let saving =
            saving.filter(|saving| should_save_prompt(placed.prompt, &salt, *saving, &stores));
        CacheTransfer {
            fetch_from,
            save_to: saving.map(|(store, _)| store.address),
            salt,
        }
    }
}

/// Whether a prompt is worth its room in the store that would save it.
fn should_save_prompt(
    prompt: &Prompt,
    salt: &str,
    (store, belief): (&CacheStore, &KnownStore),
    stores: &[(&CacheStore, &KnownStore)],
) -> bool {
    let fill = fill(store, belief);
    let shared = prompt.shared_parts();
    if !has_free_capacity(fill) && is_kept_elsewhere(stores, store.address, salt, shared) {
        return false;
    }
    let shared_tokens = prompt.shared_tokens();
    let candidate = SaveCandidate {
        shared_tokens,
        own_tokens: prompt.tokens() - shared_tokens,
        stored_tokens: belief.contents().prefix_tokens(salt, shared),
    };
    is_worth_saving(candidate, fill)
}
