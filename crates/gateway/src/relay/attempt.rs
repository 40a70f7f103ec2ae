//! One attempt: choosing an engine, sending the request, judging the answer.

use super::in_flight::InFlight;
use super::{AfterAnswer, Relay};
use crate::cache_feed::cache_store;
use crate::engine_connection::{exchange, EngineAnswer, ExchangeLimits};
use crate::ports::{AnswerMeaning, CacheTransfer, EngineCall, RefusedByEngine};
use crate::state::{CacheBeliefs, CacheStoreState};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::peer_loads::EngineTag;
use ploverlift_balancing::selection::{choose, Cost, Criteria, NoChoice, PromptCriteria};
use ploverlift_http1::ResponseHead;
use ploverlift_policy::attempt::AttemptState;
use ploverlift_routing::prompt::{cache_salt, cache_scope, PromptPart};
use std::io;
use std::net::SocketAddr;

/// Time that an engine is taken to load after it refused, in milliseconds.
const REFUSED_LOADING_MS: u64 = 120;

/// Silence that is borne for a prompt, as a multiple of the time to read it. A
/// long prompt that is sent to a second engine too early is read twice.
const PROMPT_PATIENCE: f64 = 2.0;

/// Part of the margin on outdated weights that is left when a request that has
/// not begun is taken back from its engine.
const BEGIN_MARGIN_SHARE: u64 = 4;

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
    pub(super) tag: EngineTag,
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

/// What decides how a prompt uses kept cache at an engine.
struct PromptCache<'a> {
    salt_scope: &'a str,
    weights: u64,
    source: Option<KeptPrefix>,
    is_used_again: bool,
}

impl Relay {
    /// Chooses an engine among those that were not tried.
    pub(super) fn choose(&self) -> Result<ChosenEngine, NoChoice> {
        let now = self.gateway.clock.now();
        let rates = self.gateway.cost_rates();
        let settings = self.gateway.settings();
        let bounds = self.gateway.weights_bounds(settings.weights.margin_ms);
        let admission = &self.received.admission;
        let scope = cache_scope(admission.tenant.as_deref());
        let beliefs = self.gateway.beliefs();
        let prompt = self.received.request.prompt.as_ref();
        let prompt = prompt.map(|prompt| PromptCriteria {
            model: &prompt.model,
            scope,
            key: prompt.shared_key(scope),
            shared: prompt.shared_parts(),
            required_weights: beliefs.required_weights(&prompt.model, &bounds, now),
        });
        let criteria = Criteria {
            service: &admission.service,
            zone: &self.gateway.zone,
            prompt,
            excluded: self.progress.attempts.tried(),
        };
        let choice = choose(&beliefs.fleet(), &criteria, &rates, now)?;
        let engine = beliefs.engines.get(&choice.instance);
        let engine = engine.ok_or(NoChoice::NoEngine)?;
        let mut chosen = ChosenEngine {
            instance: choice.instance.clone(),
            address: engine.record.address,
            weights: None,
            cache: None,
            tag: engine.tag,
            tokens_to_read: self.received.request.prompt.as_ref().map_or(0, |prompt| {
                prompt.tokens().saturating_sub(choice.kept_tokens)
            }),
            cost: choice.cost,
            candidates: choice.candidates,
        };
        if let Some(prompt) = &criteria.prompt {
            let weights = engine.weights_of(prompt.model);
            chosen.weights = Some(weights).filter(|weights| *weights > 0);
            let source = choice.source.as_ref();
            let source = source.and_then(|source| beliefs.engines.get(source));
            let source = source.map(|source| KeptPrefix {
                address: source.record.address,
                tokens: choice.source_tokens,
            });
            let use_of_cache = PromptCache {
                salt_scope: scope,
                weights,
                source,
                is_used_again: choice.kept_tokens >= prompt.shared_tokens(),
            };
            chosen.cache = Some(self.transfer(&beliefs.cache, prompt.model, use_of_cache));
        }
        Ok(chosen)
    }

    /// Fetches shared parts from the engine that keeps them, or from the store
    /// when that keeps more. Saves those that the store lacks when the prompt is
    /// used again: most are not within the time that the store keeps them, and
    /// saving each at its first use fills the store's link.
    fn transfer(
        &self,
        cache: &CacheBeliefs,
        model: &str,
        prompt: PromptCache<'_>,
    ) -> CacheTransfer {
        // Without known weights nothing may be shared with any other request.
        if prompt.weights == 0 {
            return CacheTransfer {
                salt: self.received.request.id.clone(),
                fetch_from: None,
                save_to: None,
            };
        }
        let salt = cache_salt(model, prompt.weights, prompt.salt_scope);
        let received = self.received.request.prompt.as_ref();
        let shared = received.map_or(&[][..], |received| received.shared_parts());
        let is_kept = |part: &PromptPart| cache.contents.has(&salt, part.id);
        // A part is of use only when every part before it is kept as well.
        let kept = shared.iter().take_while(|part| is_kept(part));
        let kept_tokens: u64 = kept.map(|part| part.tokens).sum();
        let is_whole = shared.iter().all(is_kept);
        let configuration = &self.received.admission.configuration;
        let store = cache_store(configuration, &self.gateway.zone);
        let store = store.filter(|_| cache.state != CacheStoreState::Lost);
        let store = store.map(|store| store.address);
        let is_unobserved = cache.state == CacheStoreState::Unobserved;
        let source_tokens = prompt.source.as_ref().map_or(0, |source| source.tokens);
        let keeps_more = kept_tokens > source_tokens || (is_unobserved && source_tokens == 0);
        let source = prompt.source.map(|source| source.address);
        CacheTransfer {
            fetch_from: store.filter(|_| keeps_more).or(source),
            save_to: store.filter(|_| prompt.is_used_again && !is_whole),
            salt,
        }
    }

    /// Sends the request to an engine and hands its answer on.
    ///
    /// # Errors
    /// When the caller is gone.
    pub(super) async fn attempt(&mut self, chosen: ChosenEngine) -> io::Result<AttemptEnd> {
        let tokens = chosen.tokens_to_read;
        let mut in_flight = InFlight::begin(&self.gateway, &chosen.instance, tokens);
        self.record.begin_attempt(&chosen);
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
        self.record.end_attempt(&end);
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
        let patience_ms = self.begins_within_ms(chosen, patience_ms);
        let limits = ExchangeLimits {
            connect_ms: settings.attempts.connect_timeout_ms.min(left_ms),
            head_ms: patience_ms,
        };
        let body = &self.received.body;
        let exchanged = exchange(chosen.address, &head, body, limits).await;
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
        if self.progress.attempts.is_last_attempt() {
            return None;
        }
        let settings = self.gateway.settings();
        let usual_ms = route.objective_ms as f64 * settings.attempts.patience;
        Some((usual_ms + self.reading_ms() * PROMPT_PATIENCE) as u64)
    }

    /// `silence_ms`, cut short where the engine has outdated weights: a request
    /// that waits in its queue must not begin there after the bound on them.
    pub(super) fn begins_within_ms(&self, chosen: &ChosenEngine, silence_ms: u64) -> u64 {
        let prompt = self.received.request.prompt.as_ref();
        let (Some(weights), Some(prompt)) = (chosen.weights, prompt) else {
            return silence_ms;
        };
        let margin_ms = self.gateway.settings().weights.margin_ms / BEGIN_MARGIN_SHARE;
        let bounds = self.gateway.weights_bounds(margin_ms);
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let in_use = beliefs.engines.newest_weights(&prompt.model);
        let left_ms = beliefs
            .weights
            .left_ms(&prompt.model, weights, in_use, &bounds, now);
        left_ms.map_or(silence_ms, |left_ms| silence_ms.min(left_ms))
    }

    /// Time that an engine takes to read the prompt, in milliseconds.
    fn reading_ms(&self) -> f64 {
        let prompt = self.received.request.prompt.as_ref();
        let tokens = prompt.map_or(0, |prompt| prompt.tokens());
        tokens as f64 / self.gateway.settings().cost.prompt_tokens_per_ms
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
        if let Some(prompt) = &self.received.request.prompt {
            let newest = beliefs.weights.newest(&prompt.model);
            let newest = newest.map_or(0, |(version, _)| version);
            if let Some(version) = weights_after_refusal(&refused, chosen.weights, newest) {
                let engines = &mut beliefs.engines;
                engines.note_weights(&chosen.instance, &prompt.model, version);
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

/// The weights of an engine that refused because it has others than expected. One
/// that does not say which has loaded meanwhile, and loads are of the newest; if
/// it is not that either, its weights are unknown (0) until it tells.
fn weights_after_refusal(
    refused: &RefusedByEngine,
    expected: Option<u64>,
    newest_named: u64,
) -> Option<u64> {
    let expected = expected?;
    if let Some(version) = refused.weights {
        return (version != expected).then_some(version);
    }
    refused.other_instance.as_ref()?;
    match expected < newest_named {
        true => Some(newest_named),
        false => Some(0),
    }
}
