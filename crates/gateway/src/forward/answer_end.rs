//! Whether an engine's answer is whole where its body has ended regularly.
//!
//! | framing | what proves the answer whole |
//! | --- | --- |
//! | length, chunked | the framing, and in a stream the end of an event |
//! | end of the connection | a stream ends after an event, and the engine still runs: the connections of an engine that terminates end as regularly as that of a complete answer |
//!
//! An engine that has terminated refuses new connections. So after an answer that ended with
//! its connection, another connection is opened; the next request to the engine uses it.

use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::Forwarding;
use crate::engine_checks::keep_connection;
use crate::engine_ends::has_ended;
use crate::engine_paths::connect::connect_engine;
use crate::time::within;
use ploverlift_http1::Framing;

/// Maximum delay of an answer's end by the check whether its engine still runs, in
/// milliseconds.
const ENGINE_CHECK_MS: u64 = 100;

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
        framing: Framing,
        unfinished_bytes: usize,
        chosen: &ChosenEngine,
    ) -> Result<(), BrokenAttempt> {
        self.record.record_answer_end(framing, unfinished_bytes);
        let end = match framing {
            _ if unfinished_bytes > 0 => AnswerEnd::InsideEvent,
            Framing::UntilClose if self.has_terminated(chosen).await => AnswerEnd::EngineTerminated,
            _ => AnswerEnd::Whole,
        };
        let metrics = &self.gateway.metrics.answers;
        metrics.count_end(framing, end.name());
        end.into_result(framing)
    }

    /// Whether an engine that has just closed a connection is known to have terminated. An
    /// engine that accepts no connection in time, or that refuses one but keeps another one
    /// open, may still run.
    async fn has_terminated(&self, chosen: &ChosenEngine) -> bool {
        let (instance, address) = (&chosen.instance, chosen.address);
        let connecting = connect_engine(&self.gateway, instance, address, ENGINE_CHECK_MS);
        match within(ENGINE_CHECK_MS, connecting).await {
            None => false,
            Some(Ok(connection)) => {
                let now = self.gateway.clock.now();
                keep_connection(&self.gateway, instance, connection, now);
                false
            }
            Some(Err(unconnected)) => {
                has_ended(&unconnected) && !self.has_idle_connection(chosen).await
            }
        }
    }

    /// Whether an idle connection to the engine is still open.
    async fn has_idle_connection(&self, chosen: &ChosenEngine) -> bool {
        let Some(connection) = self.take_idle_connection(chosen).await else {
            return false;
        };
        let now = self.gateway.clock.now();
        keep_connection(&self.gateway, &chosen.instance, connection, now);
        true
    }
}
