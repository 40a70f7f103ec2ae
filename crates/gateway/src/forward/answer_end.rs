//! Whether an engine's answer is whole, and what its body ended with.
//!
//! | framing | what proves the answer whole |
//! | --- | --- |
//! | any | no failure of its connection before the end, whichever operation got it ([`TcpConnection`]) |
//! | length, chunked | the framing, and in a stream the end of an event |
//! | end of the connection | a stream ends after an event, and the engine instance answers a probe that was sent after the end ([`crate::engine_liveness`]): the connections of an engine that terminates end as regularly as that of a complete answer |
//!
//! An answer whose end is not proven is broken off, and a stream that may be resumed goes on
//! elsewhere. The caller has all of a stream's events by then; only the end waits for the probe.
//!
//! [`TcpConnection`]: ploverlift_http1::TcpConnection

use super::broken::{BreakCause, BrokenAttempt};
use super::choice::ChosenEngine;
use super::Forwarding;
use crate::engine_connection::{BodyEnd, EngineAnswer};
use crate::engine_liveness::{probe_engine, ProbeOutcome, ProbeResult, ProbedEngine};
use crate::engine_sentinels::{use_sentinel, SentinelUse};
use crate::time::within;
use ploverlift_http1::Framing;
use std::time::Instant;

/// Longest delay of an answer's end by the proof that its engine runs, in milliseconds: a probe that
/// was sent before the end, and the one after it.
const END_TIMEOUT_MS: u64 = 1_500;

/// Label in metrics of an end inside a body.
const CUT: &str = "cut";

/// What the regular end of an answer's body proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// The answer is whole.
    Whole,
    /// A stream ended inside an event.
    InsideEvent,
    /// The body ended with its connection, and its engine is not proven to run.
    Unproven,
}

impl AnswerEnd {
    /// Label for metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::InsideEvent => "inside_event",
            Self::Unproven => "unproven",
        }
    }

    /// The failure of the attempt, unless the answer is whole.
    fn into_result(self, framing: Framing) -> Result<(), BrokenAttempt> {
        let reason = match self {
            Self::Whole => return Ok(()),
            Self::InsideEvent => "the stream ended inside an event",
            Self::Unproven => "the engine is not known to run after the end of its answer",
        };
        Err(match framing {
            Framing::UntilClose => BrokenAttempt::connection_ended(reason),
            Framing::Length(_) | Framing::Chunked => BrokenAttempt::other(reason),
        })
    }
}

impl Forwarding {
    /// Determines whether an answer whose body has ended regularly is whole.
    /// `unfinished_bytes` are those of an incomplete event at the end of a stream.
    ///
    /// # Errors
    /// When the answer is broken off.
    pub(super) async fn check_answer_end(
        &mut self,
        body_end: BodyEnd,
        unfinished_bytes: usize,
        chosen: &ChosenEngine,
    ) -> Result<(), BrokenAttempt> {
        let framing = body_end.framing;
        self.record.record_answer_end(framing, unfinished_bytes);
        let end = match framing {
            _ if unfinished_bytes > 0 => AnswerEnd::InsideEvent,
            Framing::UntilClose if !self.is_engine_running(body_end, chosen).await => {
                AnswerEnd::Unproven
            }
            _ => AnswerEnd::Whole,
        };
        let metrics = &self.gateway.metrics.answers;
        metrics.count_end(framing, end.name());
        end.into_result(framing)
    }

    /// Logs and counts an answer whose connection failed or ended inside its body.
    pub(super) fn note_cut_answer(
        &self,
        framing: Framing,
        failure: impl Into<BrokenAttempt>,
        chosen: &ChosenEngine,
    ) -> BrokenAttempt {
        let broken = failure.into();
        if broken.cause == BreakCause::ConnectionEnded {
            self.gateway.metrics.answers.count_end(framing, CUT);
            slog::info!(self.gateway.log, "answer cut";
                "id" => &self.received.request.id, "engine" => &chosen.instance.0,
                "framing" => framing.name(), "reason" => &broken.reason);
        }
        broken
    }

    /// Uses a sentinel connection to the engine while an answer lasts that ends with its
    /// connection.
    pub(super) fn use_sentinel(
        &self,
        answer: &EngineAnswer,
        chosen: &ChosenEngine,
    ) -> Option<SentinelUse> {
        let ends_with_connection = answer.framing() == Framing::UntilClose;
        ends_with_connection.then(|| use_sentinel(&self.gateway, &chosen.instance, chosen.address))
    }

    /// Whether the engine instance is proven to run after the end of its answer.
    async fn is_engine_running(&self, body_end: BodyEnd, chosen: &ChosenEngine) -> bool {
        let began = Instant::now();
        let limit_ms = END_TIMEOUT_MS.min(self.left_ms());
        let engine = self.probed_engine(chosen);
        let probing = probe_engine(&self.gateway, &engine, body_end.request_sent_at);
        let result = within(limit_ms, probing).await;
        let result = result.unwrap_or(ProbeResult::TIMED_OUT);
        self.note_end_check(result, chosen, began);
        result.outcome == ProbeOutcome::Answered
    }

    fn probed_engine(&self, chosen: &ChosenEngine) -> ProbedEngine {
        let admission = &self.received.admission;
        let services = &admission.configuration.document.services;
        let service = services.get(&admission.service);
        let has_models = service.is_some_and(|service| !service.models.is_empty());
        ProbedEngine {
            instance: chosen.instance.clone(),
            address: chosen.address,
            health_path: service.and_then(|service| service.health_path.clone()),
            reports: has_models || chosen.weights.is_some(),
        }
    }

    /// Logs and counts the check of an answer's end. Successful checks share the allowance of
    /// lines on successful requests.
    fn note_end_check(&self, result: ProbeResult, chosen: &ChosenEngine, began: Instant) {
        let gateway = &self.gateway;
        let outcome = result.outcome;
        let metrics = &gateway.metrics.answers;
        metrics.count_end_check(result.connection, outcome.name());
        if outcome == ProbeOutcome::Answered && !gateway.may_log_success() {
            return;
        }
        slog::info!(gateway.log, "answer end checked";
            "id" => &self.received.request.id, "engine" => &chosen.instance.0,
            "framing" => Framing::UntilClose.name(), "connection" => result.connection,
            "waited_ms" => began.elapsed().as_millis() as u64, "outcome" => outcome.name());
    }
}
