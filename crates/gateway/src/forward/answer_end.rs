//! Whether an engine's answer is whole where its body has ended regularly.
//!
//! | framing | what proves the answer whole |
//! | --- | --- |
//! | length, chunked | the framing, and in a stream the end of an event |
//! | end of the connection | a stream ends after an event, and the engine still runs: the connections of an engine that terminates end as regularly as that of a complete answer |
//!
//! An engine that has terminated refuses new connections. So after an answer that ended with
//! its connection, another connection is opened; the next request to the engine uses it. An
//! engine that refuses it may also leave, or be at its limit of connections:
//!
//! | beside the refused connection | the engine |
//! | --- | --- |
//! | the sentinel connection ([`crate::engine_sentinels`]) or an idle one stays open | runs |
//! | the engine has announced its leaving, closed the sentinel and refused the next one, and clearly later its answer went on | had stopped listening, and runs; unless its time for leaving is over |
//! | the sentinel has ended, or there was none | has terminated |

use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::Forwarding;
use crate::engine_connection::{BodyEnd, EngineAnswer};
use crate::engine_ends::has_ended;
use crate::engine_paths::connect::{connect_engine, EnginePath};
use crate::engine_sentinels::decision::{RefusalCause, SentinelState};
use crate::engine_sentinels::{
    keep_as_sentinel, keeps_idle_connection_open, state_after_refusal, use_sentinel, SentinelUse,
};
use crate::http_call::ConnectFailure;
use crate::time::within;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_http1::Framing;
use std::time::{Duration, Instant};

/// Maximum delay of an answer's end by the check whether its engine still runs, in
/// milliseconds.
const ENGINE_CHECK_MS: u64 = 100;

/// An engine that leaves is taken to run for the site's bound on leaving engines divided by this.
/// Some are terminated when the bound is over.
const LEAVING_DIVISOR: u64 = 2;

/// What the regular end of an answer's body proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerEnd {
    /// The answer is whole.
    Whole,
    /// A stream ended inside an event.
    InsideEvent,
    /// The body ended with its connection, because the engine terminated.
    EngineTerminated,
}

impl AnswerEnd {
    /// Label for metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Whole => "whole",
            Self::InsideEvent => "inside_event",
            Self::EngineTerminated => "engine_terminated",
        }
    }

    /// The failure of the attempt, unless the answer is whole.
    fn into_result(self, framing: Framing) -> Result<(), BrokenAttempt> {
        let reason = match self {
            Self::Whole => return Ok(()),
            Self::InsideEvent => "the stream ended inside an event",
            Self::EngineTerminated => "the engine terminated at the end of its answer",
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
            Framing::UntilClose if self.has_terminated(body_end.last_arrival, chosen).await => {
                AnswerEnd::EngineTerminated
            }
            _ => AnswerEnd::Whole,
        };
        let metrics = &self.gateway.metrics.answers;
        metrics.count_end(framing, end.name());
        end.into_result(framing)
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

    /// Whether an engine that has just closed a connection is known to have terminated. An
    /// engine that accepts no connection in time, or that refuses one for another cause, may
    /// still run.
    async fn has_terminated(&self, last_arrival: Instant, chosen: &ChosenEngine) -> bool {
        let began = Instant::now();
        let (instance, address) = (&chosen.instance, chosen.address);
        let connecting = connect_engine(&self.gateway, instance, address, ENGINE_CHECK_MS);
        match within(ENGINE_CHECK_MS, connecting).await {
            None => {
                self.note_end_check(chosen, "none", "timed_out", began);
                false
            }
            Some(Ok(connection)) => {
                let connection_name = match connection.path {
                    EnginePath::Direct => "new",
                    EnginePath::Tunnel(_) => "tunnel",
                };
                keep_as_sentinel(&self.gateway, instance, connection);
                self.note_end_check(chosen, connection_name, "accepted", began);
                false
            }
            Some(Err(unconnected)) if has_ended(&unconnected) => {
                let cause = self.refusal_cause(last_arrival, instance).await;
                self.note_end_check(chosen, "none", cause.name(), began);
                cause == RefusalCause::Terminated
            }
            Some(Err(unconnected)) => {
                let outcome = match unconnected.failure() {
                    ConnectFailure::Refused => "refusal_not_confirmed",
                    ConnectFailure::NoAnswer => "no_answer",
                    ConnectFailure::Local => "local_error",
                };
                self.note_end_check(chosen, "none", outcome, began);
                false
            }
        }
    }

    /// Logs and counts the check of an answer's end.
    fn note_end_check(
        &self,
        chosen: &ChosenEngine,
        connection: &'static str,
        outcome: &'static str,
        began: Instant,
    ) {
        let metrics = &self.gateway.metrics.answers;
        metrics.count_end_check(connection, outcome);
        slog::info!(self.gateway.log, "answer end checked";
            "id" => &self.received.request.id, "engine" => &chosen.instance.0,
            "framing" => Framing::UntilClose.name(), "connection" => connection,
            "waited_ms" => began.elapsed().as_millis() as u64, "outcome" => outcome);
    }

    /// Why the engine refused a connection after the end of its answer.
    async fn refusal_cause(&self, last_arrival: Instant, instance: &InstanceId) -> RefusalCause {
        let gateway = &self.gateway;
        let arrived_ago_ms = last_arrival.elapsed().as_millis() as u64;
        let sentinel = state_after_refusal(gateway, instance).await;
        let cause = match RefusalCause::of(sentinel, last_arrival, self.leaves_within(instance)) {
            RefusalCause::Terminated if keeps_idle_connection_open(gateway, instance).await => {
                RefusalCause::KeepsOthersOpen
            }
            cause => cause,
        };
        let refused_for_ms = match sentinel {
            SentinelState::Refused { since } => Some(since.elapsed().as_millis() as u64),
            SentinelState::Open | SentinelState::Unknown => None,
        };
        slog::info!(gateway.log, "connection refused after an answer";
            "engine" => &instance.0, "id" => &self.received.request.id,
            "sentinel" => sentinel.name(), "refused_for_ms" => refused_for_ms,
            "arrived_ago_ms" => arrived_ago_ms, "cause" => cause.name());
        cause
    }

    /// Time after which an engine that has announced its leaving may be terminated.
    fn leaves_within(&self, instance: &InstanceId) -> Option<Duration> {
        let leaving_ms = self.gateway.settings().bounds.leaving_engine_ms;
        let beliefs = self.gateway.beliefs();
        let engine = beliefs.engines.get(instance)?;
        let is_leaving = beliefs.engines.is_leaving(engine);
        is_leaving.then(|| Duration::from_millis(leaving_ms / LEAVING_DIVISOR))
    }
}
