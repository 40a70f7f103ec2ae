//! One attempt: sends the request to the chosen engine, processes its answer and records
//! the outcome.

use super::broken::{BreakCause, BrokenAttempt};
use super::choice::ChosenEngine;
use super::in_flight::{AttemptSubject, InFlight};
use super::sending::Exchange;
use super::takeover::Takeover;
use super::{AfterAnswer, Forwarding};
use crate::cut_requests::CutRequest;
use crate::engine_ends::note_cut;
use crate::engine_paths::connect::EnginePath;
use crate::held_body::HeldBody;
use ploverlift_balancing::health::Outcome;
use ploverlift_balancing::names::{EngineTag, InstanceId};
use ploverlift_http1::ResponseHead;
use ploverlift_policy::ids::Millis;
use std::io;

/// Time added to the time-out of an attempt for the prefill, as a multiple of the expected
/// prefill time. If a long prompt is sent to a second engine too early, it is prefilled
/// twice.
const PREFILL_TIMEOUT_FACTOR: f64 = 2.0;

/// How an attempt ended.
pub(super) enum AttemptEnd {
    /// The answer to the caller has ended, completely or broken off.
    Done {
        /// What becomes of the caller's connection.
        after: AfterAnswer,
        /// Outcome for the request's log line.
        outcome: &'static str,
    },
    /// The connection could not be established; nothing was sent.
    Unreachable {
        /// Why the connection failed.
        reason: String,
        /// Whether the engine caused the failure, as opposed to this node.
        is_engines_fault: bool,
    },
    /// The engine has no room for another connection of this node; nothing was sent.
    NotAdmitted,
    /// The engine began to leave or was removed while the connection was being established;
    /// nothing was sent.
    EngineLeft,
    /// The choice of the engine is no longer valid, or an engine ended meanwhile while it ran
    /// this request; nothing was sent.
    Withheld,
    /// The engine refused the request and did not run it.
    Refused,
    /// The engine refused the request and did not run it: its weights are not the expected
    /// ones. The version of its weights has been recorded.
    OtherWeights,
    /// The engine ran the request and failed.
    Failed {
        /// Head of the engine's answer.
        head: ResponseHead,
        /// Body of the engine's answer.
        body: HeldBody,
    },
    /// The request may have run, and there is no complete answer.
    Broken(BrokenAttempt),
    /// Another engine has taken the request over.
    TakenOver(Takeover<BrokenAttempt>),
}

/// An attempt whose request is being sent.
pub(super) struct RunningAttempt {
    pub(super) chosen: ChosenEngine,
    pub(super) in_flight: InFlight,
    pub(super) exchange: Exchange,
}

impl AttemptEnd {
    /// Whether the engine has not run the request and will not.
    fn has_not_run(&self) -> bool {
        matches!(
            self,
            Self::Unreachable { .. }
                | Self::NotAdmitted
                | Self::EngineLeft
                | Self::Withheld
                | Self::Refused
                | Self::OtherWeights
        )
    }
}

impl Forwarding {
    /// Sends the request to an engine and forwards its answer to the caller. Returns the engine
    /// and how the attempt ended.
    ///
    /// # Errors
    /// When writing to the caller fails.
    pub(super) async fn attempt(
        &mut self,
        chosen: ChosenEngine,
    ) -> io::Result<(InstanceId, AttemptEnd)> {
        let in_flight = self.begin_load(&chosen);
        self.spend_reservation();
        self.record.begin_attempt(&chosen);
        match self.begin_exchange(&chosen).await {
            Ok(exchange) => {
                let running = RunningAttempt {
                    chosen,
                    in_flight,
                    exchange,
                };
                self.follow_attempt(running).await
            }
            Err(end) => {
                self.note_unanswered(&in_flight, &end);
                self.end_attempt(&end, &chosen, &in_flight);
                Ok((chosen.instance, end))
            }
        }
    }

    /// Goes on with an attempt that has taken the request over from another one. Returns the
    /// engine and how the attempt ended.
    ///
    /// # Errors
    /// When writing to the caller fails.
    pub(super) async fn continue_attempt(
        &mut self,
        successor: RunningAttempt,
    ) -> io::Result<(InstanceId, AttemptEnd)> {
        self.record.begin_attempt(&successor.chosen);
        self.follow_attempt(successor).await
    }

    /// Counts a request as load of the chosen engine.
    pub(super) fn begin_load(&self, chosen: &ChosenEngine) -> InFlight {
        let tokens = chosen.tokens_to_prefill;
        let subject = AttemptSubject {
            service: self.received.admission.service.clone(),
            route: self.received.admission.route.name.clone(),
            instance: chosen.instance.clone(),
            software: chosen.software.clone(),
            is_repeat: !self.progress.attempts.tried().is_empty(),
        };
        let mut in_flight = InFlight::begin(&self.gateway, subject, tokens);
        in_flight.wait = self.begin_wait(chosen);
        self.note_choice(chosen);
        in_flight
    }

    /// Records that the request is sent to an engine that may run it.
    pub(super) fn spend_reservation(&mut self) {
        if let Some(reservation) = &mut self.received.admission.reservation {
            reservation.spend();
        }
    }

    /// Waits for the answer of an attempt and forwards it.
    async fn follow_attempt(
        &mut self,
        running: RunningAttempt,
    ) -> io::Result<(InstanceId, AttemptEnd)> {
        let RunningAttempt {
            chosen,
            mut in_flight,
            exchange,
        } = running;
        let end = match self.await_head(exchange, &chosen, &mut in_flight).await {
            Ok(answer) => self.process_answer(answer, &chosen, &mut in_flight).await?,
            Err(end) => {
                self.note_unanswered(&in_flight, &end);
                end
            }
        };
        self.end_attempt(&end, &chosen, &in_flight);
        Ok((chosen.instance, end))
    }

    fn end_attempt(&mut self, end: &AttemptEnd, chosen: &ChosenEngine, in_flight: &InFlight) {
        if let (true, Some(reservation)) =
            (end.has_not_run(), &mut self.received.admission.reservation)
        {
            reservation.not_run();
        }
        match end {
            AttemptEnd::Broken(broken)
            | AttemptEnd::TakenOver(Takeover {
                failure: Some(broken),
                ..
            }) => self.note_broken_attempt(broken, chosen, in_flight),
            AttemptEnd::Done {
                outcome: outcome @ ("answered" | "rejected_by_engine"),
                ..
            } => self.note_answered(*outcome == "answered"),
            _ => {}
        }
        // A claim is held on for the engine that has taken the request over.
        if !matches!(end, AttemptEnd::TakenOver(_)) {
            self.claim = None;
        }
        self.record.end_attempt(end);
    }

    /// Records a broken attempt. If the connection ended, the engine itself may have ended.
    pub(super) fn note_broken_attempt(
        &self,
        broken: &BrokenAttempt,
        chosen: &ChosenEngine,
        at: &InFlight,
    ) {
        if broken.cause == BreakCause::ConnectionEnded {
            self.note_cut_request(chosen, at.start_time(), at.streamed_ms());
        }
    }

    /// Records that the engine closed or reset the connection. The request is remembered until
    /// this node has determined whether the engine itself has ended.
    pub(super) fn note_cut_request(&self, chosen: &ChosenEngine, begun: Millis, streamed_ms: u64) {
        let cut = CutRequest {
            fingerprint: self.received.fingerprint,
            parts: self.received.shared_parts.clone(),
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
        metrics.count_distance(chosen.distance, self.received.body.bytes().len() as u64);
        if let Some(prompt) = &self.received.request.prompt {
            let cached = chosen.locally_cached_tokens;
            let unshared = prompt.tokens() - prompt.shared_tokens();
            let prefilled = chosen.tokens_to_prefill.saturating_sub(unshared);
            let transferred = prompt.shared_tokens().saturating_sub(cached + prefilled);
            metrics.count_shared_tokens("held", cached);
            metrics.count_shared_tokens("moved", transferred);
            metrics.count_shared_tokens("read", prefilled);
        }
    }

    /// Records an attempt without an answer. If the request had less time left than engines
    /// usually take, the outcome is not held against the engine.
    pub(super) fn note_unanswered(&self, in_flight: &InFlight, end: &AttemptEnd) {
        let settings = self.gateway.settings();
        let waited_ms = in_flight.age_ms();
        match end {
            // This node is out of descriptors or ports.
            AttemptEnd::Unreachable {
                is_engines_fault: false,
                ..
            }
            | AttemptEnd::NotAdmitted
            | AttemptEnd::EngineLeft
            | AttemptEnd::Withheld => {}
            AttemptEnd::Unreachable { .. } => {
                if waited_ms >= settings.attempts.connect_timeout_ms || self.has_time() {
                    in_flight.note_outcome(Outcome::Unreachable);
                }
            }
            // The link broke it, which says nothing about the engine or its version.
            AttemptEnd::Broken(_) if self.is_cut_off_directly(in_flight) => {}
            AttemptEnd::Broken(broken) => {
                if !broken.time_is_up() || waited_ms >= self.answer_timeout_ms() {
                    in_flight.note_outcome(Outcome::Broken);
                }
            }
            AttemptEnd::TakenOver(_) => self.note_let_go(in_flight),
            _ => in_flight.note_outcome(Outcome::Broken),
        }
    }

    /// Records that the engine was let go because of its silence. Where the link to it is cut,
    /// that says nothing about the engine or its version.
    pub(super) fn note_let_go(&self, in_flight: &InFlight) {
        if !self.is_cut_off_directly(in_flight) {
            in_flight.note_outcome(Outcome::Broken);
        }
    }

    /// Whether the attempt was sent directly to an engine that is now cut off from this node.
    fn is_cut_off_directly(&self, in_flight: &InFlight) -> bool {
        let engine = EngineTag::of(in_flight.instance());
        in_flight.path == EnginePath::Direct && self.gateway.beliefs().engine_paths.is_cut(engine)
    }

    /// Time without an answer after which another engine is tried beside this one, in
    /// milliseconds; `None` when this is the last attempt.
    pub(super) fn attempt_timeout_ms(&self) -> Option<u64> {
        if self.progress.attempts.is_last_attempt() {
            return None;
        }
        Some(self.answer_timeout_ms())
    }

    /// Time without an answer after which the attempt counts as failed, in milliseconds,
    /// although the engine may still answer.
    pub(super) fn answer_timeout_ms(&self) -> u64 {
        let objective_ms = self.received.admission.route.objective_ms as f64;
        let settings = self.gateway.settings();
        let usual_ms = objective_ms * settings.attempts.timeout_objectives;
        (usual_ms + self.prefill_ms() * PREFILL_TIMEOUT_FACTOR) as u64
    }

    /// Expected time of an engine for the prefill of the prompt, in milliseconds.
    fn prefill_ms(&self) -> f64 {
        let prompt = self.received.request.prompt.as_ref();
        let tokens = prompt.map_or(0, |prompt| prompt.tokens());
        let usual = self.gateway.settings().cost.prefill_tokens_per_ms;
        let service = &self.received.admission.service;
        tokens as f64 / self.gateway.beliefs().tokens_per_ms(service, usual)
    }
}
