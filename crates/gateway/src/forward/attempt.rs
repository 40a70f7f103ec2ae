//! One attempt: choosing an engine, sending the request, judging the answer.

use super::broken::{BreakCause, Broken};
use super::choice::ChosenEngine;
use super::in_flight::{AttemptSubject, InFlight};
use super::{AfterAnswer, Forwarding};
use crate::cut_requests::CutRequest;
use crate::engine_connection::{
    exchange_on, EngineAnswer, ExchangeFailure, ExchangeLimits, FailureReason,
};
use crate::engine_ends::note_cut;
use crate::engine_signals::{take_signals, AnswerOrigin};
use crate::http_call::{connect, CallError, ConnectFailure};
use crate::ports::{AnswerMeaning, EngineCall, EngineSignals, RefusedByEngine, Signal};
use ploverlift_balancing::health::Outcome;
use ploverlift_http1::{BufferedStream, RequestHead, ResponseHead};
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::ids::Millis;
use std::io;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Time that an engine is taken to load after it refused, in milliseconds.
const REFUSED_LOADING_MS: u64 = 120;

/// Time beyond that for a connection in which a choice is still acted on, in milliseconds:
/// a busy node runs a timer late.
const CONNECT_SLACK_MS: u64 = 500;

/// Silence that is borne for a prompt, as a multiple of the time to read it. A
/// long prompt that is sent to a second engine too early is read twice.
const PROMPT_PATIENCE: f64 = 2.0;

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
        /// Whether that speaks against the engine, and not against this node.
        is_engines_fault: bool,
    },
    /// The engine began to leave, or was gone, while a connection to it came about;
    /// nothing was sent.
    Left,
    /// What was known when the engine was chosen does not hold any more, or an engine ended
    /// under this request meanwhile; nothing was sent.
    Withheld,
    /// The engine did not run it.
    Refused,
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
    Broken(Broken),
}

impl AttemptEnd {
    /// Whether the engine has not run the request and will not.
    fn has_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. }
                | Self::Left
                | Self::Withheld
                | Self::Refused
                | Self::OtherWeights
        )
    }
}

impl Forwarding {
    /// Sends the request to an engine and hands its answer on.
    ///
    /// # Errors
    /// When the caller is gone.
    pub(super) async fn attempt(&mut self, chosen: ChosenEngine) -> io::Result<AttemptEnd> {
        let tokens = chosen.tokens_to_read;
        let subject = AttemptSubject {
            service: self.received.admission.service.clone(),
            route: self.received.admission.route.name.clone(),
            instance: chosen.instance.clone(),
            software: chosen.software.clone(),
            is_repeat: !self.progress.attempts.tried().is_empty(),
        };
        let mut in_flight = InFlight::begin(&self.gateway, subject, tokens);
        in_flight.wait = self.begin_wait(&chosen);
        if let Some(reservation) = &mut self.received.admission.reservation {
            reservation.spend();
        }
        self.note_choice(&chosen);
        self.record.begin_attempt(&chosen);
        let end = match self.send(&chosen).await {
            Ok(answer) => self.hand_on(answer, &chosen, &mut in_flight).await?,
            Err(end) => {
                self.note_unanswered(&in_flight, &end);
                end
            }
        };
        if let (true, Some(reservation)) =
            (end.has_not_run(), &mut self.received.admission.reservation)
        {
            reservation.not_run();
        }
        match &end {
            AttemptEnd::Broken(broken) => self.note_break(broken, &chosen, &in_flight),
            AttemptEnd::Done {
                outcome: "answered" | "rejected_by_engine",
                ..
            } => self.note_answered(),
            _ => {}
        }
        self.claim = None;
        self.record.end_attempt(&end);
        Ok(end)
    }

    /// An attempt broke; its engine may have ended.
    pub(super) fn note_break(&self, broken: &Broken, chosen: &ChosenEngine, at: &InFlight) {
        if broken.cause == BreakCause::ConnectionEnded {
            self.note_cut(chosen, at.begun(), at.streamed_ms());
        }
    }

    /// The engine ended the connection: what ran there is remembered while this node
    /// finds out whether the engine has ended.
    fn note_cut(&self, chosen: &ChosenEngine, begun: Millis, streamed_ms: u64) {
        let cut = CutRequest {
            fingerprint: self.received.fingerprint,
            tenant: self.tenant_tag(),
            begun,
            ended: self.gateway.clock.now(),
            streamed_ms,
        };
        note_cut(&self.gateway, &chosen.instance, chosen.address, cut);
    }

    fn note_choice(&self, chosen: &ChosenEngine) {
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        beliefs.moves.begin(chosen.tag, chosen.move_ms, now);
        drop(beliefs);
        let metrics = &self.gateway.metrics;
        metrics.count_distance(chosen.distance, self.received.body.len() as u64);
        if let Some(prompt) = &self.received.request.prompt {
            let held = chosen.held_tokens;
            let own = prompt.tokens() - prompt.shared_tokens();
            let read = chosen.tokens_to_read.saturating_sub(own);
            let moved = prompt.shared_tokens().saturating_sub(held + read);
            metrics.count_shared_tokens("held", held);
            metrics.count_shared_tokens("moved", moved);
            metrics.count_shared_tokens("read", read);
        }
    }

    /// No connection came about. One that had the whole time, begun at `began`, and that
    /// nobody answered counts towards the loss of the engine.
    fn not_connected(
        &self,
        chosen: &ChosenEngine,
        error: &CallError,
        began: Option<Millis>,
    ) -> AttemptEnd {
        let failure = error.connect_failure();
        if let (Some(ConnectFailure::NoAnswer), Some(began)) = (failure, began) {
            let now = self.gateway.clock.now();
            let losses = &mut self.gateway.beliefs().losses;
            losses.note_unreachable(&chosen.instance, chosen.address, began, now);
        }
        AttemptEnd::Unreachable {
            reason: error.to_string(),
            is_engines_fault: failure != Some(ConnectFailure::Local),
        }
    }

    /// A new connection shows that the engine is there, and how long a round trip to its
    /// zone takes.
    fn learn_from_connection(&self, chosen: &ChosenEngine, connect_time: Duration) {
        let now = self.gateway.clock.now();
        let round_trip_ms = connect_time.as_secs_f64() * 1_000.0;
        let mut beliefs = self.gateway.beliefs();
        beliefs.losses.note_reached(&chosen.instance, now);
        let engine = beliefs.engines.get(&chosen.instance);
        if let Some(zone) = engine.map(|engine| engine.record.zone.clone()) {
            beliefs.round_trips.observe(&zone, round_trip_ms, now);
        }
    }

    /// Notes an attempt without an answer. That a request had less time than engines
    /// usually take says nothing about its engine.
    fn note_unanswered(&self, in_flight: &InFlight, end: &AttemptEnd) {
        let settings = self.gateway.settings();
        let waited_ms = in_flight.age_ms();
        match end {
            // This node is out of descriptors or ports.
            AttemptEnd::Unreachable {
                is_engines_fault: false,
                ..
            }
            | AttemptEnd::Left
            | AttemptEnd::Withheld => {}
            AttemptEnd::Unreachable { .. } => {
                if waited_ms >= settings.attempts.connect_timeout_ms || self.has_time() {
                    in_flight.note(Outcome::Unreachable);
                }
            }
            AttemptEnd::Broken(broken) => {
                if !broken.time_is_up() || waited_ms >= self.usual_silence_ms() {
                    in_flight.note(Outcome::Broken);
                }
            }
            _ => in_flight.note(Outcome::Broken),
        }
    }

    async fn send(&mut self, chosen: &ChosenEngine) -> Result<EngineAnswer, AttemptEnd> {
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
            keeps_connection: settings.attempts.keep_connection_ms > 0,
        };
        let head = self.gateway.site.engine_head(&call);
        let attempt_timeout_ms = self.attempt_timeout_ms().unwrap_or(left_ms).min(left_ms);
        let limits = ExchangeLimits {
            connect_ms: settings.attempts.connect_timeout_ms.min(left_ms),
            head_ms: attempt_timeout_ms,
        };
        if let Some(answer) = self.send_on_kept(chosen, &head, limits).await? {
            return Ok(answer);
        }
        if !self.acquire_token(chosen).await {
            return Err(AttemptEnd::Withheld);
        }
        let (began, began_at) = (Instant::now(), self.gateway.clock.now());
        let connected = connect(chosen.address, limits.connect_ms).await;
        let stream = connected.map_err(|error| {
            let is_whole_wait = limits.connect_ms >= settings.attempts.connect_timeout_ms;
            self.not_connected(chosen, &error, is_whole_wait.then_some(began_at))
        })?;
        self.learn_from_connection(chosen, began.elapsed());
        self.check_before_sending(chosen)?;
        self.progress.has_taken_repeat = false;
        self.use_token();
        let body = &self.received.body;
        let exchanged = self.exchange(stream, chosen, &head, body, limits).await;
        exchanged.map_err(|failure| self.broken(&failure))
    }

    /// Sends the request on a connection and waits for the head of the answer, or until
    /// the engine is known to be lost or its weights may be outdated.
    async fn exchange(
        &self,
        stream: BufferedStream,
        chosen: &ChosenEngine,
        head: &RequestHead,
        body: &[u8],
        limits: ExchangeLimits,
    ) -> Result<EngineAnswer, ExchangeFailure> {
        let watch = self.watch_engine(&chosen.instance);
        // Pinned here, or each layer around it would hold room for it once more.
        let exchanging = pin!(exchange_on(stream, head, body, limits));
        let exchanging = pin!(watch.unless_lost(exchanging));
        let ended = self.unless_outdated(chosen, exchanging).await;
        let reason = match ended {
            Some(Some(exchanged)) => return exchanged,
            Some(None) => FailureReason::EngineLost,
            None => FailureReason::WeightsOutdated,
        };
        Err(ExchangeFailure {
            state: AttemptState::MaybeSent,
            reason,
        })
    }

    /// Sends the request on a kept connection, if there is one and the request may run
    /// again; nothing when it is to be sent on a new one.
    async fn send_on_kept(
        &mut self,
        chosen: &ChosenEngine,
        head: &RequestHead,
        limits: ExchangeLimits,
    ) -> Result<Option<EngineAnswer>, AttemptEnd> {
        let route = &self.received.admission.route;
        if !route.delivery.is_repeatable() {
            return Ok(None);
        }
        let Some(stream) = self.kept_connection(chosen).await else {
            return Ok(None);
        };
        self.check_before_sending(chosen)?;
        self.gateway.metrics.reused_connections.inc();
        self.use_token();
        let body = &self.received.body;
        let failure = match self.exchange(stream, chosen, head, body, limits).await {
            Ok(answer) => return Ok(Some(answer)),
            Err(failure) => failure,
        };
        if failure.reason.is_connection_end() {
            self.note_cut(chosen, chosen.chosen_at, 0);
        }
        // The others that were kept have likely ended, or fallen silent, as well.
        self.gateway.kept_connections().forget(&chosen.instance);
        if !failure.reason.is_silence() && self.take_repeat() {
            // The engine had closed or forgotten the connection, or ran the request.
            self.progress.has_taken_repeat = true;
            self.note_lost_sending(chosen);
            if failure.reason.is_connection_end() {
                self.wait_until_found().await;
            }
            return Ok(None);
        }
        Err(self.broken(&failure))
    }

    /// Whether the request may go, right before its bytes do and after every wait, on new
    /// connections and on kept ones.
    fn check_before_sending(&self, chosen: &ChosenEngine) -> Result<(), AttemptEnd> {
        if !self.is_still_chosen(chosen) {
            return Err(AttemptEnd::Left);
        }
        let age_ms = self.gateway.clock.now().since(chosen.chosen_at);
        let is_recent = age_ms <= self.longest_connect_ms();
        let is_wanted = self.takes_requests(chosen);
        match is_recent && is_wanted && self.has_valid_token(chosen) && self.begins() {
            true => Ok(()),
            false => Err(AttemptEnd::Withheld),
        }
    }

    /// Time after which a choice is made anew, in milliseconds. A connection comes about or
    /// is given up sooner, unless the machine slept: what the choice rests on (keys, engines,
    /// weights, time left) is older then than it seemed.
    fn longest_connect_ms(&self) -> u64 {
        self.gateway.settings().attempts.connect_timeout_ms + CONNECT_SLACK_MS
    }

    fn broken(&self, failure: &ExchangeFailure) -> AttemptEnd {
        AttemptEnd::Broken(Broken::failed(&failure.reason, !self.has_time()))
    }

    /// What was sent and lost may have run: no later refusal of this request may say
    /// that it has not, and it stays counted against its tenant's limit.
    fn note_lost_sending(&mut self, chosen: &ChosenEngine) {
        self.progress.attempts.note_lost_sending(&chosen.instance);
        if let Some(reservation) = &mut self.received.admission.reservation {
            reservation.spend();
        }
    }

    /// A kept connection to the engine on which the engine says nothing.
    async fn kept_connection(&self, chosen: &ChosenEngine) -> Option<BufferedStream> {
        loop {
            let now = self.gateway.clock.now();
            let stream = self
                .gateway
                .kept_connections()
                .take(&chosen.instance, now)?;
            if stream.is_quiet().await {
                return Some(stream);
            }
        }
    }

    /// Keeps the connection of a whole answer for another request.
    pub(super) fn keep_connection(&self, answer: EngineAnswer, chosen: &ChosenEngine) {
        let longest_ms = self.gateway.settings().attempts.keep_connection_ms;
        if longest_ms == 0 {
            return;
        }
        let headers = answer.head.headers.clone();
        if let Some(stream) = answer.into_idle_connection() {
            let now = self.gateway.clock.now();
            self.gateway.kept_connections().keep(
                &chosen.instance,
                stream,
                &headers,
                longest_ms,
                now,
            );
        }
    }

    /// Silence after which another engine is tried; nothing when none may be.
    pub(super) fn attempt_timeout_ms(&self) -> Option<u64> {
        if self.progress.attempts.is_last_attempt() {
            return None;
        }
        Some(self.usual_silence_ms())
    }

    /// Silence after which an engine that may still answer is taken to have failed.
    fn usual_silence_ms(&self) -> u64 {
        let objective_ms = self.received.admission.route.objective_ms as f64;
        let settings = self.gateway.settings();
        let usual_ms = objective_ms * settings.attempts.timeout_objectives;
        (usual_ms + self.prefill_ms() * PROMPT_PATIENCE) as u64
    }

    /// Time that an engine takes to read the prompt, in milliseconds.
    fn prefill_ms(&self) -> f64 {
        let prompt = self.received.request.prompt.as_ref();
        let tokens = prompt.map_or(0, |prompt| prompt.tokens());
        let usual = self.gateway.settings().cost.prefill_tokens_per_ms;
        let service = &self.received.admission.service;
        tokens as f64 / self.gateway.beliefs().tokens_per_ms(service, usual)
    }

    async fn hand_on(
        &mut self,
        answer: EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        let site = &self.gateway.site;
        let meaning = site.answer_meaning(&self.received.request.id, &answer.head);
        let signals = site.engine_signals(&answer.head);
        self.learn_weights(signals.weights, chosen);
        if meaning.is_of(&chosen.instance) {
            let origin = AnswerOrigin {
                instance: &chosen.instance,
                sent_at: in_flight.begun(),
            };
            take_signals(&self.gateway, origin, &signals);
        }
        match meaning {
            AnswerMeaning::Refused(refused) => {
                in_flight.note(Outcome::Refused);
                Ok(self.refused(&refused, &signals, chosen))
            }
            AnswerMeaning::Foreign { reason } => {
                in_flight.note(Outcome::Broken);
                Ok(AttemptEnd::Broken(Broken::other(reason)))
            }
            AnswerMeaning::Failure => self.read_failure(answer, chosen, in_flight).await,
            AnswerMeaning::Success if self.received.admission.route.delivery.is_stream() => {
                self.pass_stream(answer, chosen, in_flight).await
            }
            AnswerMeaning::Success => self.pass_whole(answer, chosen, in_flight).await,
        }
    }

    fn learn_weights(&self, version: Option<u64>, chosen: &ChosenEngine) {
        let prompt = self.received.request.prompt.as_ref();
        if let (Some(version), Some(prompt)) = (version, prompt) {
            let mut beliefs = self.gateway.beliefs();
            beliefs
                .engines
                .note_weights(&chosen.instance, &prompt.model, version);
        }
    }

    fn refused(
        &self,
        refused: &RefusedByEngine,
        signals: &EngineSignals,
        chosen: &ChosenEngine,
    ) -> AttemptEnd {
        let now = self.gateway.clock.now();
        let mut beliefs = self.gateway.beliefs();
        let other = refused.answered_by.as_ref();
        if other.is_some_and(|other| *other != chosen.instance) {
            beliefs.engines.note_misdirected(&chosen.instance, now);
            return AttemptEnd::Refused;
        }
        if let Some(prompt) = &self.received.request.prompt {
            let newest = beliefs.weights.newest(&prompt.model);
            let newest = newest.map_or(0, |(version, _)| version);
            let held = signals.weights;
            if let Some(version) = weights_after_refusal(refused, held, chosen.weights, newest) {
                let engines = &mut beliefs.engines;
                engines.note_weights(&chosen.instance, &prompt.model, version);
                return AttemptEnd::OtherWeights;
            }
        }
        // One that names a time to back off is left out for as long.
        if !matches!(signals.backoff_ms, Signal::Value(_)) {
            let until = now.plus(REFUSED_LOADING_MS);
            beliefs.engines.note_loading(&chosen.instance, until);
        }
        AttemptEnd::Refused
    }
}

/// The weights of an engine that refused because it has others than expected. One
/// that does not say which has loaded meanwhile, and loads are of the newest; if
/// it is not that either, its weights are unknown (0) until it tells.
fn weights_after_refusal(
    refused: &RefusedByEngine,
    held: Option<u64>,
    expected: Option<u64>,
    newest_named: u64,
) -> Option<u64> {
    let expected = expected?;
    if !refused.is_mismatch {
        return None;
    }
    if let Some(version) = held {
        return (version != expected).then_some(version);
    }
    refused.answered_by.as_ref()?;
    match expected < newest_named {
        true => Some(newest_named),
        false => Some(0),
    }
}
