//! Sending of a request to the chosen engine, on a kept connection or a new one.

use super::attempt::AttemptEnd;
use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::in_flight::InFlight;
use super::takeover::{Continuation, Waited};
use super::Forwarding;
use crate::engine_connection::{exchange_on, EngineAnswer, ExchangeFailure, FailureReason};
use crate::engine_paths::connect::{
    connect_engine, ConnectedInstance, EngineConnection, EnginePath, Unconnected,
};
use crate::engine_places::{is_admitted, note_answered, note_rejected, note_reset, take_place};
use crate::http_call::ConnectFailure;
use crate::kept_connections::idle_limits;
use crate::ports::{AnswerMeaning, EngineCall};
use ploverlift_http1::{HttpError, RequestHead};
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::ids::Millis;
use std::future::Future;
use std::pin::{pin, Pin};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time beyond the connect time-out for which a choice stays valid, in milliseconds: timers
/// of a busy node run late.
const CONNECT_SLACK_MS: u64 = 500;

/// A request that is being sent on a connection, until the head of its answer.
pub(super) struct Exchange {
    pub(super) path: EnginePath,
    /// Whether the connection had been kept from an earlier request.
    is_reused: bool,
    /// The answer. Dropping it closes the connection, and so cancels the request.
    pub(super) answer: PendingAnswer,
}

/// The head of an answer that has not arrived yet.
type PendingAnswer = Pin<Box<dyn Future<Output = Result<EngineAnswer, ExchangeFailure>> + Send>>;

impl Exchange {
    /// An exchange whose answer's head has arrived.
    pub(super) fn answered(path: EnginePath, answer: EngineAnswer) -> Self {
        Self {
            path,
            is_reused: false,
            answer: Box::pin(std::future::ready(Ok(answer))),
        }
    }
}

impl Forwarding {
    /// Begins to send the request: on a kept connection if it is repeatable and there is one,
    /// otherwise on a new one.
    pub(super) async fn begin_exchange(
        &mut self,
        chosen: &ChosenEngine,
    ) -> Result<Exchange, AttemptEnd> {
        let route = &self.received.admission.route;
        let kept = match route.delivery.is_repeatable() {
            true => self.take_idle_connection(chosen).await,
            false => None,
        };
        let Some(connection) = kept else {
            return self.begin_on_new_connection(chosen).await;
        };
        let head = self.head_to_send(chosen)?;
        self.gateway.metrics.reused_connections.inc();
        Ok(self.exchange(connection, head, chosen, true))
    }

    /// Begins to send the request on a new connection.
    pub(super) async fn begin_on_new_connection(
        &mut self,
        chosen: &ChosenEngine,
    ) -> Result<Exchange, AttemptEnd> {
        if !self.acquire_token(chosen).await {
            return Err(AttemptEnd::Withheld);
        }
        let full_timeout_ms = self.gateway.settings().attempts.connect_timeout_ms;
        let timeout_ms = full_timeout_ms.min(self.left_ms());
        let (instance, address) = (&chosen.instance, chosen.address);
        let place = take_place(&self.gateway, instance).ok_or(AttemptEnd::NotAdmitted)?;
        let (began, began_at) = (Instant::now(), self.gateway.clock.now());
        let connecting = connect_engine(&self.gateway, instance, address, timeout_ms);
        let mut connection = match connecting.await {
            Ok(connection) => connection,
            Err(unconnected) if unconnected.failure() == ConnectFailure::Rejected => {
                let paths = &self.gateway.metrics.paths;
                paths.count_connect_failure(ConnectFailure::Rejected);
                note_rejected(&self.gateway, instance, place);
                return Err(AttemptEnd::NotAdmitted);
            }
            Err(unconnected) => {
                let had_full_timeout = timeout_ms >= full_timeout_ms;
                let began = had_full_timeout.then_some(began_at);
                return Err(self.record_connect_failure(chosen, &unconnected, began));
            }
        };
        let connect_time = began.elapsed();
        self.learn_from_connection(chosen, connection.path, connect_time);
        if !is_admitted(&self.gateway, instance, &connection, connect_time).await {
            note_rejected(&self.gateway, instance, place);
            return Err(AttemptEnd::NotAdmitted);
        }
        connection.place = Some(place);
        let head = self.head_to_send(chosen)?;
        Ok(self.exchange(connection, head, chosen, false))
    }

    /// Sends the request on a connection and waits for the head of the answer. The wait also
    /// ends when the request's time is up, when the engine is known to be lost, or when its
    /// weights may be outdated.
    fn exchange(
        &mut self,
        connection: EngineConnection,
        head: RequestHead,
        chosen: &ChosenEngine,
        is_reused: bool,
    ) -> Exchange {
        self.progress.has_taken_retry = false;
        self.progress.attempts.record_send();
        self.use_token();
        let EngineConnection {
            stream,
            path,
            place,
            ..
        } = connection;
        self.gateway.metrics.paths.count_send(path);
        let body = Arc::clone(&self.received.body);
        let watch = self.watch_engine(&chosen.instance);
        let deadline = self.start_deadline(chosen);
        let timeout_ms = self.left_ms();
        let (gateway, instance) = (Arc::clone(&self.gateway), chosen.instance.clone());
        let answer = async move {
            let sent_at = Instant::now();
            let exchanging = pin!(exchange_on(stream, &head, body.bytes(), timeout_ms));
            let exchanging = pin!(watch.unless_lost(exchanging));
            let reason = match deadline.unless_passed(exchanging).await {
                Some(Some(Ok(answer))) => {
                    let new_place = place.as_ref().filter(|_| !is_reused);
                    note_answered(&gateway, &instance, new_place);
                    return Ok(answer.hold_place(place));
                }
                Some(Some(Err(failure))) => {
                    if !is_reused && failure.reason.is_connection_end() {
                        note_reset(&gateway, &instance, sent_at.elapsed().as_millis() as u64);
                    }
                    return Err(failure);
                }
                Some(None) => FailureReason::EngineLost,
                None => FailureReason::WeightsOutdated,
            };
            Err(ExchangeFailure {
                state: AttemptState::MaybeSent,
                reason,
            })
        };
        Exchange {
            path,
            is_reused,
            answer: Box::pin(answer),
        }
    }

    /// The head of the request, if it may be sent now.
    fn head_to_send(&self, chosen: &ChosenEngine) -> Result<RequestHead, AttemptEnd> {
        let head = self.engine_head(chosen);
        let head = head.map_err(|error| AttemptEnd::Unreachable {
            reason: format!("the request can't be written: {error}"),
            is_engines_fault: false,
        })?;
        self.check_before_sending(chosen)?;
        Ok(head)
    }

    fn engine_head(&self, chosen: &ChosenEngine) -> Result<RequestHead, HttpError> {
        let admission = &self.received.admission;
        let call = EngineCall {
            request: &self.received.request,
            body_length: self.received.body.bytes().len(),
            instance: &chosen.instance,
            deadline_ms: self.left_ms(),
            tenant: admission.tenant.as_ref().map(|tenant| tenant.name.as_str()),
            priority: admission.priority(),
            weights: chosen.weights,
            cache: chosen.cache.clone(),
            resume_after: self.progress.last_event.as_deref(),
            keeps_connection: self.gateway.settings().attempts.keep_connection_ms > 0,
        };
        self.gateway.site.engine_head(&call)
    }

    /// Waits for the head of the answer. If a kept connection fails, the request is sent again
    /// on a new one.
    pub(super) async fn await_head(
        &mut self,
        mut exchange: Exchange,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> Result<EngineAnswer, AttemptEnd> {
        loop {
            in_flight.path = exchange.path;
            self.record.record_path(exchange.path);
            let silence_ms = self.attempt_timeout_ms();
            let answering = Pin::new(&mut exchange.answer);
            let failure = match self
                .unless_taken_over(answering, silence_ms, chosen, Self::continuation_of_head)
                .await
            {
                Waited::Done(Ok(answer)) => return Ok(answer),
                Waited::Unproven(answer, successor) => {
                    self.cancel_successor(&successor);
                    return Ok(answer);
                }
                Waited::Done(Err(failure)) => failure,
                Waited::TakenOver(takeover) => {
                    self.discard_kept_connections(&exchange, chosen);
                    let takeover = takeover.map_failure(|failure| self.broken_attempt(&failure));
                    return Err(AttemptEnd::TakenOver(takeover));
                }
            };
            self.discard_kept_connections(&exchange, chosen);
            if !exchange.is_reused || !self.may_send_again(&failure, chosen).await {
                return Err(self.broken(&failure));
            }
            exchange = self.begin_on_new_connection(chosen).await?;
        }
    }

    /// Whether an answer means that its engine runs the request and has not failed.
    fn continuation_of_head(&self, answer: &EngineAnswer) -> Continuation {
        let id = &self.received.request.id;
        match self.gateway.site.answer_meaning(id, &answer.head) {
            AnswerMeaning::Success => Continuation::Proven,
            _ => Continuation::Over,
        }
    }

    /// Discards the other kept connections to an engine after a failure on one of them, since
    /// they are probably broken as well.
    fn discard_kept_connections(&self, failed: &Exchange, chosen: &ChosenEngine) {
        if failed.is_reused {
            self.gateway.kept_connections().forget(&chosen.instance);
        }
    }

    /// Whether the request may be sent again after it failed on a kept connection.
    async fn may_send_again(&mut self, failure: &ExchangeFailure, chosen: &ChosenEngine) -> bool {
        if failure.reason.is_connection_end() {
            self.note_cut_request(chosen, chosen.chosen_at, 0);
        }
        if failure.reason.is_abandoned_wait() || !self.take_retry() {
            return false;
        }
        // Either the engine had closed or dropped the connection, or it ran the request.
        self.progress.has_taken_retry = true;
        self.note_lost_send(chosen);
        if failure.reason.is_connection_end() {
            self.wait_until_engine_end_known().await;
        }
        true
    }

    /// Checks right before the bytes are sent, after every wait, whether the request may still
    /// be sent to the chosen engine; on new connections and on kept ones.
    fn check_before_sending(&self, chosen: &ChosenEngine) -> Result<(), AttemptEnd> {
        if !self.is_still_eligible(chosen) {
            return Err(AttemptEnd::EngineLeft);
        }
        let age_ms = self.gateway.clock.now().since(chosen.chosen_at);
        let is_recent = age_ms <= self.max_choice_age_ms();
        let is_wanted = self.has_no_backoff(chosen);
        match is_recent && is_wanted && self.has_valid_token(chosen) && self.begin_if_permitted() {
            true => Ok(()),
            false => Err(AttemptEnd::Withheld),
        }
    }

    /// Age beyond which a choice is repeated, in milliseconds. A connection is established or
    /// given up sooner, unless the machine was suspended: the data behind the choice (keys,
    /// engines, weights, time left) is then older than it seemed.
    fn max_choice_age_ms(&self) -> u64 {
        self.gateway.settings().attempts.connect_timeout_ms + CONNECT_SLACK_MS
    }

    pub(super) fn broken(&self, failure: &ExchangeFailure) -> AttemptEnd {
        AttemptEnd::Broken(self.broken_attempt(failure))
    }

    fn broken_attempt(&self, failure: &ExchangeFailure) -> BrokenAttempt {
        BrokenAttempt::due_to(&failure.reason, !self.has_time())
    }

    /// Records a send that was lost. The request may have run: no later refusal of it may state
    /// that it has not, and it stays counted against its tenant's limit.
    fn note_lost_send(&mut self, chosen: &ChosenEngine) {
        self.progress.attempts.record_lost_send(&chosen.instance);
        self.spend_reservation();
    }

    /// Records a failed connection. If it started at `began`, had the full connect time-out and
    /// got no answer, it counts towards the loss of the engine.
    fn record_connect_failure(
        &self,
        chosen: &ChosenEngine,
        unconnected: &Unconnected,
        began: Option<Millis>,
    ) -> AttemptEnd {
        let failure = unconnected.failure();
        self.gateway.metrics.paths.count_connect_failure(failure);
        self.log_connect_failure(chosen, unconnected);
        if let (ConnectFailure::NoAnswer, Some(began)) = (failure, began) {
            let now = self.gateway.clock.now();
            let losses = &mut self.gateway.beliefs().losses;
            losses.note_unreachable(&chosen.instance, chosen.address, began, now);
        }
        AttemptEnd::Unreachable {
            reason: unconnected.reason(),
            is_engines_fault: failure != ConnectFailure::Local,
        }
    }

    /// Logs the first failed connection to an engine that was not suspected, with what other
    /// nodes reported: their requests at the engine show whether it is unreachable from this
    /// node alone.
    fn log_connect_failure(&self, chosen: &ChosenEngine, unconnected: &Unconnected) {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let engine = beliefs.engines.get(&chosen.instance);
        if engine.is_none_or(|engine| engine.health.is_suspected()) {
            return;
        }
        let suspected = beliefs.engines.iter();
        let suspected = suspected.filter(|engine| engine.health.is_suspected());
        slog::warn!(self.gateway.log, "engine unreachable";
            "engine" => &chosen.instance.0,
            "error" => unconnected.reason(),
            "requests_of_others" => beliefs.peer_loads.at(chosen.tag).requests,
            "loads_age_ms" => beliefs.peer_loads.age_ms(now),
            "engines_suspected" => suspected.count(),
            "engines" => beliefs.engines.len());
    }

    /// Records from a new connection that the engine is reachable, and from a direct one the
    /// round-trip time to its zone.
    fn learn_from_connection(
        &self,
        chosen: &ChosenEngine,
        path: EnginePath,
        connect_time: Duration,
    ) {
        let now = self.gateway.clock.now();
        let round_trip_ms = connect_time.as_secs_f64() * 1_000.0;
        let mut beliefs = self.gateway.beliefs();
        beliefs.losses.note_reached(&chosen.instance, now);
        if path != EnginePath::Direct {
            return;
        }
        let engine = beliefs.engines.get(&chosen.instance);
        if let Some(zone) = engine.map(|engine| engine.record.zone.clone()) {
            beliefs.round_trips.observe(&zone, round_trip_ms, now);
        }
    }

    /// Takes a kept connection to the engine that has no unexpected input and is not closed;
    /// others are discarded.
    pub(super) async fn take_idle_connection(
        &self,
        chosen: &ChosenEngine,
    ) -> Option<EngineConnection> {
        loop {
            let now = self.gateway.clock.now();
            let connection = self
                .gateway
                .kept_connections()
                .take(&chosen.instance, now)?;
            if connection.stream.is_quiet().await {
                return Some(connection);
            }
        }
    }

    /// Keeps the connection after a complete answer, for another request.
    pub(super) fn keep_connection(
        &self,
        answer: EngineAnswer,
        chosen: &ChosenEngine,
        path: EnginePath,
    ) {
        let limits = idle_limits(&self.gateway, &chosen.instance);
        if limits.longest_ms == 0 {
            return;
        }
        let headers = answer.head.headers.clone();
        if let Some((stream, place)) = answer.into_idle_connection() {
            let now = self.gateway.clock.now();
            self.gateway.kept_connections().keep(
                &chosen.instance,
                EngineConnection {
                    stream,
                    path,
                    instance: ConnectedInstance::HasAnswered,
                    place,
                },
                &headers,
                limits,
                now,
            );
        }
    }
}
