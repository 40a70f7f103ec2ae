//! Choice of an engine, and of the KV cache transfers for a prompt there.

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
use ploverlift_routing::prompt::{cache_salt, Prompt};
use ploverlift_routing::software::SoftwareVersion;
use ploverlift_routing::topology::Distance;
use std::net::SocketAddr;
use std::sync::Arc;

/// Bytes that a link of one megabit per second transfers in a millisecond.
const BYTES_PER_MEGABIT_PER_MS: f64 = 125.0;

/// The chosen engine, and the request's KV cache transfers there.
pub(super) struct ChosenEngine {
    pub(super) instance: InstanceId,
    pub(super) tag: EngineTag,
    pub(super) address: SocketAddr,
    pub(super) software: SoftwareVersion,
    /// Decision of the gate of the service's rollout; `None` without a rollout.
    pub(super) gate: Option<GateReason>,
    /// How the attempt counts in a running rollout.
    pub(super) arrival: Option<Arrival>,
    /// Guard that counts the attempt as running on its software version.
    pub(super) running: Option<RunningRequest>,
    /// The version of weights that the engine is expected to have; `None` when it is unknown.
    pub(super) weights: Option<u64>,
    /// Time for which requests may still start on these weights, as known when the engine was
    /// chosen, in milliseconds.
    pub(super) may_begin_ms: Option<u64>,
    /// KV cache transfers; `None` for requests without a prompt.
    pub(super) cache: Option<CacheTransfer>,
    /// Prompt tokens that the engine is expected to prefill.
    pub(super) tokens_to_prefill: u64,
    /// Shared prompt tokens that the engine is expected to have in its own cache.
    pub(super) locally_cached_tokens: u64,
    pub(super) cost: Cost,
    /// Time of the KV cache transfer from its source, in milliseconds.
    pub(super) move_ms: f64,
    /// Distance between the engine and this node.
    pub(super) distance: Distance,
    pub(super) candidates: usize,
    /// Age of the load reports of other nodes, in milliseconds.
    pub(super) loads_age_ms: Option<u64>,
    /// Age of this node's data on the engines, in milliseconds.
    pub(super) engines_age_ms: Option<u64>,
    /// When the engine was chosen.
    pub(super) chosen_at: Millis,
    /// Whether the engine had announced in an answer that it leaves. Such an engine is chosen
    /// only when no other one is available.
    pub(super) leaves: bool,
    /// Source of this node's data on the engines, or "kept" for an engine whose record has been
    /// removed.
    pub(super) engines_source: &'static str,
}

/// A prompt and the engine that was chosen for it.
struct PlacedPrompt<'a> {
    prompt: &'a Prompt,
    weights: u64,
    engine: &'a Engine,
    source: Option<&'a CacheSource>,
    hit_tokens: u64,
}

impl Forwarding {
    /// Chooses an engine among those that have not been tried.
    pub(super) fn choose(&mut self) -> Result<ChosenEngine, NoChoice> {
        let now = self.gateway.clock.now();
        let mut rates = self.gateway.cost_rates();
        let gateway = Arc::clone(&self.gateway);
        let service = &self.received.admission.service;
        let has_rollout = gateway.beliefs().rollouts.knows_rollout_of(service);
        let own = has_rollout.then(|| gateway.own_seat());
        let mut beliefs = gateway.beliefs();
        rates.prefill_tokens_per_ms = beliefs.tokens_per_ms(service, rates.prefill_tokens_per_ms);
        let software = self.software_choice(&beliefs, own.as_ref(), now)?;
        let choice = self.choose_with_software(&beliefs, &software, &rates, now)?;
        let engine = beliefs.engines.get(&choice.instance);
        let engine = engine.ok_or(NoChoice::NoEngine)?;
        if !self.is_registered(&engine.record.software, &beliefs, now) {
            return Err(NoChoice::SoftwareHeldBack);
        }
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
        // Counted under the same lock under which the software version was permitted, so that
        // a report that nothing runs on a version can't miss this attempt.
        let running = RunningRequest::begin(&gateway, &mut beliefs, service, &software);
        chosen.running = Some(running);
        Ok(chosen)
    }

    /// Determines which engines may serve the request by their software version.
    fn software_choice(
        &self,
        beliefs: &Beliefs,
        own: Option<&OwnSeat>,
        now: Millis,
    ) -> Result<SoftwareChoice, NoChoice> {
        let admission = &self.received.admission;
        // Only the gate of a rollout needs the prompt's key.
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
        let choice = match &self.progress.software {
            Some(software) => choice.and_then(|choice| choice.restricted_to(software)),
            None => choice.and_then(|choice| self.restrict_to_registered(choice, beliefs, now)),
        };
        choice.ok_or(NoChoice::SoftwareHeldBack)
    }

    /// Chooses the cheapest engine of the software versions that may serve. When the canary
    /// version has no suitable engine, an established version is used.
    fn choose_with_software(
        &self,
        beliefs: &Beliefs,
        software: &SoftwareChoice,
        rates: &CostRates,
        now: Millis,
    ) -> Result<Choice, NoChoice> {
        let tried = self.progress.attempts.tried();
        let tried_or_spared: Vec<InstanceId> = tried
            .iter()
            .chain(&software.outside_canary)
            .cloned()
            .collect();
        let mut criteria = Criteria {
            service: &self.received.admission.service,
            zone: &self.gateway.zone,
            request_bytes: self.received.body.bytes().len() as u64,
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
        let Some(otherwise) = software.fallback.clone().filter(|_| chosen.is_err()) else {
            return chosen;
        };
        criteria.software = otherwise;
        criteria.excluded = tried;
        choose(&view, &criteria, rates, now)
    }

    fn cache_scope(&self) -> &str {
        let admission = &self.received.admission;
        let tenant = admission.tenant.as_deref();
        admission.configuration.cache_scope(tenant)
    }

    /// Criteria that a prompt sets for its engine; `None` for requests without a prompt.
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

    /// Tokens of KV cache that a link transfers in a millisecond; infinite when the
    /// configuration does not give the bandwidth or the size of a token.
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

    /// The KV cache stores that answer; none for requests without a prompt, or when the
    /// settings disable stores.
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
        let last_heard = beliefs.engines_proof.last_update();
        let engines_source = match beliefs.engines_proof.is_retained(&choice.instance) {
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

    /// Plans the request's KV cache transfers: the engine fetches shared parts from the source
    /// that was found when it was chosen, and saves them when they are worth the space in the
    /// store.
    fn plan_cache_transfer(&self, beliefs: &Beliefs, placed: PlacedPrompt<'_>) -> CacheTransfer {
        // With unknown weights, KV cache must not be shared with any other request: the
        // request's own id as salt keeps it apart.
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
            // The contents of the store are unknown, so fetching from it is tried.
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

/// Whether a prompt is worth the space that it takes in the store that would save it.
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
