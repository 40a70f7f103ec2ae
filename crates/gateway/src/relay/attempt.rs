//! One attempt: choosing an engine, sending the request, judging the answer.

use super::in_flight::InFlight;
use super::{AfterAnswer, Relay};
use crate::engine_connection::{exchange, EngineAnswer, ExchangeLimits};
use crate::ports::{AnswerMeaning, CacheTransfer, EngineCall, RefusedByEngine};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::selection::{choose, Cost, Criteria, NoChoice, PromptCriteria};
use ploverlift_http1::ResponseHead;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::CacheStore;
use ploverlift_routing::prompt::{cache_salt, cache_scope, ChainKey};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;

/// Time that an engine is taken to load after it refused, in milliseconds.
const REFUSED_LOADING_MS: u64 = 120;

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The caller has its answer.
    Done {
        /// What becomes of the caller's connection.
        after: AfterAnswer,
        /// For the log.
        outcome: &'static str,
    },
    /// No connection came about; nothing was sent.
    Unreachable {
        /// What happened.
        reason: String,
    },
    /// The engine did not run it.
    Refused {
        /// When the engine asked to come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// The engine did not run it: its weights are not those expected. They are
    /// known now.
    OtherWeights,
    /// The engine ran it and failed.
    Failed {
        /// The engine's answer.
        head: ResponseHead,
        /// Its body.
        body: Vec<u8>,
    },
    /// It may have run and there is no whole answer.
    Broken {
        /// What happened.
        reason: String,
        /// Whether the request's time was up.
        time_is_up: bool,
    },
}

/// An engine that was chosen, and how the request uses kept cache there.
pub(super) struct ChosenEngine {
    pub(super) instance: InstanceId,
    pub(super) address: SocketAddr,
    pub(super) weights: Option<u64>,
    pub(super) cache: Option<CacheTransfer>,
    pub(super) saves: Option<(ChainKey, u64)>,
    pub(super) cost: Cost,
    pub(super) candidates: usize,
}

impl Relay {
    /// Chooses an engine among those that were not tried.
    pub(super) fn choose(&self) -> Result<ChosenEngine, NoChoice> {
        let now = self.gateway.clock.now();
        let rates = self.gateway.cost_rates();
        let bounds = self.gateway.weights_bounds();
        let admission = &self.received.admission;
        let scope = cache_scope(admission.tenant.as_deref());
        let beliefs = self.gateway.beliefs();
        let prompt = self.received.request.prompt.as_ref();
        let prompt = prompt.map(|prompt| PromptCriteria {
            model: &prompt.model,
            key: prompt.shared_key(scope),
            shared_tokens: prompt.shared_tokens(),
            required_weights: beliefs.required_weights(&prompt.model, &bounds, now),
        });
        let criteria = Criteria {
            service: &admission.service,
            zone: &self.gateway.zone,
            prompt,
            excluded: &self.progress.tried,
        };
        let choice = choose(&beliefs.engines, &criteria, &rates, now)?;
        let engine = beliefs.engines.get(&choice.instance);
        let engine = engine.ok_or(NoChoice::NoEngine)?;
        let mut chosen = ChosenEngine {
            instance: choice.instance.clone(),
            address: engine.record.address,
            weights: None,
            cache: None,
            saves: None,
            cost: choice.cost,
            candidates: choice.candidates,
        };
        if let Some(prompt) = &criteria.prompt {
            let weights = engine.weights_of(prompt.model);
            let is_saved = self.is_saved(&beliefs.saved_prompts, prompt.key, weights, now);
            chosen.weights = Some(weights).filter(|weights| *weights > 0);
            chosen.cache = Some(self.transfer(prompt.model, scope, weights, is_saved));
            chosen.saves = (!is_saved).then_some((prompt.key, weights));
        }
        Ok(chosen)
    }

    fn is_saved(
        &self,
        saved: &ploverlift_balancing::transfer::SavedPrompts,
        key: ChainKey,
        weights: u64,
        now: Millis,
    ) -> bool {
        let lifetime = self.gateway.settings().cost.saved_lifetime_ms;
        saved.is_saved(key, weights, lifetime, now)
    }

    fn transfer(&self, model: &str, scope: &str, weights: u64, is_saved: bool) -> CacheTransfer {
        let store = self.cache_store().map(|store| store.address);
        // Without known weights nothing may be shared with any other request.
        let salt = match weights {
            0 => self.received.request.id.clone(),
            weights => cache_salt(model, weights, scope),
        };
        CacheTransfer {
            salt,
            fetch_from: store,
            save_to: store.filter(|_| !is_saved),
        }
    }

    /// A store of kept cache, in this zone where there is one.
    fn cache_store(&self) -> Option<&CacheStore> {
        let services = &self.received.admission.configuration.document.services;
        let stores = services.values().filter_map(|service| service.cache_store.as_ref());
        stores.max_by_key(|store| store.zone == self.gateway.zone)
    }

    /// Sends the request to an engine and hands its answer on.
    ///
    /// # Errors
    /// When the caller is gone.
    pub(super) async fn attempt(&mut self, chosen: ChosenEngine) -> io::Result<AttemptEnd> {
        let tokens = self.received.request.prompt.as_ref();
        let tokens = tokens.map_or(0, |prompt| prompt.tokens());
        let mut in_flight = InFlight::begin(&self.gateway, &chosen.instance, tokens);
        self.record.begin_attempt(&self.gateway, &chosen);
        let end = match self.send(&chosen).await {
            Ok(answer) => self.hand_on(answer, &chosen, &mut in_flight).await?,
            Err(end) => {
                in_flight.note(match end {
                    AttemptEnd::Unreachable { .. } => Outcome::Unreachable,
                    _ => Outcome::Broken,
                });
                end
            }
        };
        self.record.end_attempt(&self.gateway, &end);
        Ok(end)
    }

    async fn send(&self, chosen: &ChosenEngine) -> Result<EngineAnswer, AttemptEnd> {
        let now = self.gateway.clock.now();
        let left_ms = self.received.limits.left_ms(now);
        let settings = self.gateway.settings();
        let admission = &self.received.admission;
        let call = EngineCall {
            request: &self.received.request,
            body_length: self.received.body.len(),
            instance: &chosen.instance,
            deadline_ms: left_ms,
            tenant: admission.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            priority: admission.priority(),
            weights: chosen.weights,
            cache: chosen.cache.clone(),
            resume_after: self.progress.last_event.as_deref(),
        };
        let head = self.gateway.site.engine_head(&call);
        let patience_ms = self.patience_ms().unwrap_or(left_ms).min(left_ms);
        let limits = ExchangeLimits {
            connect_ms: settings.attempts.connect_timeout_ms.min(left_ms),
            head_ms: patience_ms,
        };
        let sent = AtomicBool::new(false);
        let body = &self.received.body;
        let exchanged = exchange(chosen.address, &head, body, limits, &sent).await;
        exchanged.map_err(|failure| match failure.state {
            AttemptState::Unsent => AttemptEnd::Unreachable {
                reason: failure.reason,
            },
            _ => AttemptEnd::Broken {
                reason: failure.reason,
                time_is_up: !self.has_time(),
            },
        })
    }

    /// Silence after which another engine is tried; nothing when none may be.
    pub(super) fn patience_ms(&self) -> Option<u64> {
        let route = &self.received.admission.route;
        let is_last = self.progress.engines_sent_to + 1 >= route.max_attempts;
        if is_last || !route.delivery.is_repeatable() {
            return None;
        }
        let patience = self.gateway.settings().attempts.patience;
        Some((route.objective_ms as f64 * patience) as u64)
    }

    async fn hand_on(
        &mut self,
        answer: EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        let site = &self.gateway.site;
        let meaning = site.answer_meaning(&self.received.request.id, &answer.head);
        self.learn_weights(&answer.head, chosen);
        match meaning {
            AnswerMeaning::Refused(refused) => {
                in_flight.note(Outcome::Refused);
                Ok(self.refused(refused, chosen))
            }
            AnswerMeaning::Foreign { reason } => {
                in_flight.note(Outcome::Broken);
                Ok(AttemptEnd::Broken {
                    reason: reason.to_owned(),
                    time_is_up: false,
                })
            }
            AnswerMeaning::Failure => self.read_failure(answer, in_flight).await,
            AnswerMeaning::Success if self.received.admission.route.delivery.is_stream() => {
                self.pass_stream(answer, chosen, in_flight).await
            }
            AnswerMeaning::Success => self.pass_whole(answer, in_flight).await,
        }
    }

    fn learn_weights(&self, head: &ResponseHead, chosen: &ChosenEngine) {
        let version = self.gateway.site.answer_weights(head);
        let prompt = self.received.request.prompt.as_ref();
        if let (Some(version), Some(prompt)) = (version, prompt) {
            let mut beliefs = self.gateway.beliefs();
            beliefs
                .engines
                .note_weights(&chosen.instance, &prompt.model, version);
        }
    }

    fn refused(&self, refused: RefusedByEngine, chosen: &ChosenEngine) -> AttemptEnd {
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        let other = refused.other_instance.as_ref();
        if other.is_some_and(|other| *other != chosen.instance) {
            beliefs.engines.note_leaving(&chosen.instance);
            return AttemptEnd::Refused {
                retry_after_ms: None,
            };
        }
        if let (Some(version), Some(prompt)) = (refused.weights, &self.received.request.prompt) {
            let engines = &mut beliefs.engines;
            engines.note_weights(&chosen.instance, &prompt.model, version);
            if chosen.weights != Some(version) {
                return AttemptEnd::OtherWeights;
            }
        }
        let until = now.plus(refused.retry_after_ms.unwrap_or(REFUSED_LOADING_MS));
        beliefs.engines.note_loading(&chosen.instance, until);
        AttemptEnd::Refused {
            retry_after_ms: refused.retry_after_ms,
        }
    }
}
