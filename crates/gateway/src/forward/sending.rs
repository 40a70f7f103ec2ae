//! Sending of a request to the chosen engine, on a kept connection or a new one.

use super::attempt::AttemptEnd;
use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::Forwarding;
use crate::engine_connection::{
    exchange_on, EngineAnswer, ExchangeFailure, ExchangeLimits, FailureReason,
};
use crate::engine_paths::connect::{connect_engine, EngineConnection, EnginePath, Unconnected};
use crate::http_call::ConnectFailure;
use crate::ports::EngineCall;
use ploverlift_http1::{BufferedStream, RequestHead};
use ploverlift_policy::attempt::AttemptState;
use ploverlift_policy::ids::Millis;
use std::pin::pin;
use std::time::{Duration, Instant};

/// Time beyond the connect time-out for which a choice stays valid, in milliseconds: timers
/// of a busy node run late.
const CONNECT_SLACK_MS: u64 = 500;

impl Forwarding {
    /// Sends the request and waits for the head of the answer.
    pub(super) async fn send(&mut self, chosen: &ChosenEngine) -> Result<EngineAnswer, AttemptEnd> {
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
        if let Some(answer) = self.send_on_idle(chosen, &head, limits).await? {
            return Ok(answer);
        }
        if !self.acquire_token(chosen).await {
            return Err(AttemptEnd::Withheld);
        }
        let (began, began_at) = (Instant::now(), self.gateway.clock.now());
        let (instance, address) = (&chosen.instance, chosen.address);
        let connecting = connect_engine(&self.gateway, instance, address, limits.connect_ms);
        let connection = connecting.await.map_err(|unconnected| {
            let had_full_timeout = limits.connect_ms >= settings.attempts.connect_timeout_ms;
            let began = had_full_timeout.then_some(began_at);
            self.record_connect_failure(chosen, &unconnected, began)
        })?;
        self.learn_from_connection(chosen, connection.path, began.elapsed());
        self.use_path(connection.path);
        self.check_before_sending(chosen)?;
        self.progress.has_taken_retry = false;
        self.use_token();
        let body = &self.received.body;
        let stream = connection.stream;
        let exchanged = self.exchange(stream, chosen, &head, body, limits).await;
        exchanged.map_err(|failure| self.broken(&failure))
    }

    /// Sends the request on a kept connection, if there is one and the request is repeatable;
    /// `None` when it is to be sent on a new connection.
    async fn send_on_idle(
        &mut self,
        chosen: &ChosenEngine,
        head: &RequestHead,
        limits: ExchangeLimits,
    ) -> Result<Option<EngineAnswer>, AttemptEnd> {
        let route = &self.received.admission.route;
        if !route.delivery.is_repeatable() {
            return Ok(None);
        }
        let Some(connection) = self.take_idle_connection(chosen).await else {
            return Ok(None);
        };
        self.use_path(connection.path);
        self.check_before_sending(chosen)?;
        self.gateway.metrics.reused_connections.inc();
        self.use_token();
        let body = &self.received.body;
        let exchanging = self.exchange(connection.stream, chosen, head, body, limits);
        let failure = match exchanging.await {
            Ok(answer) => return Ok(Some(answer)),
            Err(failure) => failure,
        };
        if failure.reason.is_connection_end() {
            self.note_cut_request(chosen, chosen.chosen_at, 0);
        }
        // The other kept connections to this engine are probably broken as well.
        self.gateway.kept_connections().forget(&chosen.instance);
        if !failure.reason.is_abandoned_wait() && self.take_retry() {
            // Either the engine had closed or dropped the connection, or it ran the request.
            self.progress.has_taken_retry = true;
            self.note_lost_send(chosen);
            if failure.reason.is_connection_end() {
                self.wait_until_engine_end_known().await;
            }
            return Ok(None);
        }
        Err(self.broken(&failure))
    }

    /// Sends the request on a connection and waits for the head of the answer. The wait also
    /// ends when the engine is known to be lost or its weights may be outdated.
    async fn exchange(
        &self,
        stream: BufferedStream,
        chosen: &ChosenEngine,
        head: &RequestHead,
        body: &[u8],
        limits: ExchangeLimits,
    ) -> Result<EngineAnswer, ExchangeFailure> {
        let watch = self.watch_engine(&chosen.instance);
        // Pinned here: otherwise each enclosing future would reserve space for a copy of it.
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

    fn broken(&self, failure: &ExchangeFailure) -> AttemptEnd {
        AttemptEnd::Broken(BrokenAttempt::due_to(&failure.reason, !self.has_time()))
    }

    /// Records a send that was lost. The request may have run: no later refusal of it may state
    /// that it has not, and it stays counted against its tenant's limit.
    fn note_lost_send(&mut self, chosen: &ChosenEngine) {
        self.progress.attempts.record_lost_send(&chosen.instance);
        if let Some(reservation) = &mut self.received.admission.reservation {
            reservation.spend();
        }
    }

    /// Records the path of the connection on which the request is sent.
    fn use_path(&mut self, path: EnginePath) {
        self.path = path;
        self.record.record_path(path);
        self.gateway.metrics.paths.count_send(path);
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
    pub(super) fn keep_connection(&self, answer: EngineAnswer, chosen: &ChosenEngine) {
        let longest_ms = self.gateway.settings().attempts.keep_connection_ms;
        if longest_ms == 0 {
            return;
        }
        let headers = answer.head.headers.clone();
        if let Some(stream) = answer.into_idle_connection() {
            let now = self.gateway.clock.now();
            let path = self.path;
            self.gateway.kept_connections().keep(
                &chosen.instance,
                EngineConnection { stream, path },
                &headers,
                longest_ms,
                now,
            );
        }
    }
}
