//! Processing of the head of an engine's answer.

use super::attempt::AttemptEnd;
use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::in_flight::InFlight;
use super::Forwarding;
use crate::engine_connection::EngineAnswer;
use crate::engine_signals::{apply_signals, AnswerOrigin};
use crate::ports::{AnswerMeaning, RefusedByEngine, Signal};
use ploverlift_balancing::health::Outcome;
use std::io;

/// Time for which an engine counts as loading after a refusal that names no backoff, in
/// milliseconds.
const REFUSED_LOADING_MS: u64 = 120;

impl Forwarding {
    /// Records the signals in the head of an answer, then forwards the answer or returns why it
    /// is not forwarded.
    pub(super) async fn process_answer(
        &mut self,
        answer: EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        let _sentinel = self.use_sentinel(&answer, chosen);
        match self.read_meaning(&answer, chosen, in_flight) {
            AnswerMeaning::Refused(refused) => {
                in_flight.note_outcome(Outcome::Refused);
                Ok(self.refused(&refused, &answer, chosen))
            }
            AnswerMeaning::Foreign { reason } => {
                in_flight.note_outcome(Outcome::Broken);
                Ok(AttemptEnd::Broken(BrokenAttempt::other(reason)))
            }
            AnswerMeaning::Failure => self.read_failure(answer, chosen, in_flight).await,
            AnswerMeaning::Success => {
                self.release_body();
                match self.received.admission.route.delivery.is_stream() {
                    true => self.forward_stream(answer, chosen, in_flight).await,
                    false => self.forward_buffered(answer, chosen, in_flight).await,
                }
            }
        }
    }

    /// Records the signals in the head of an answer, and returns what it proves about the
    /// request.
    pub(super) fn read_meaning(
        &self,
        answer: &EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &InFlight,
    ) -> AnswerMeaning {
        let site = &self.gateway.site;
        let meaning = site.answer_meaning(&self.received.request.id, &answer.head);
        let signals = site.engine_signals(&answer.head);
        self.learn_weights(signals.weights, chosen);
        if meaning.is_from(&chosen.instance) {
            let origin = AnswerOrigin {
                instance: &chosen.instance,
                sent_at: in_flight.start_time(),
            };
            apply_signals(&self.gateway, origin, &signals);
        }
        meaning
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

    /// Records why an engine refused the request, and returns the end of the attempt.
    pub(super) fn refused(
        &self,
        refused: &RefusedByEngine,
        answer: &EngineAnswer,
        chosen: &ChosenEngine,
    ) -> AttemptEnd {
        let now = self.gateway.clock.now();
        let signals = self.gateway.site.engine_signals(&answer.head);
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
        // An engine that names a backoff is left out for that time instead.
        if !matches!(signals.backoff_ms, Signal::Value(_)) {
            let until = now.plus(REFUSED_LOADING_MS);
            beliefs.engines.note_loading(&chosen.instance, until);
        }
        AttemptEnd::Refused
    }
}

/// Weights version of an engine that refused a request because its weights are not the
/// expected ones. An engine that does not name its version is assumed to have loaded the
/// newest meanwhile, since only the newest is ever loaded. If the newest was the expected
/// one, its version is unknown (0) until the engine reports it.
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
