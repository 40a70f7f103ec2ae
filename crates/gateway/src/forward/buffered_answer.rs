//! Answers that are read completely before any part is sent to the caller.

use super::attempt::AttemptEnd;
use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::engine_watch::EngineWatch;
use super::in_flight::InFlight;
use super::takeover::{Continuation, Takeover, Waited};
use super::{AfterAnswer, Forwarding};
use crate::answer_limits::ANSWER_LIMITS;
use crate::engine_connection::{EngineAnswer, FailureReason};
use crate::held_body::HeldBody;
use crate::time::{within, within_time_left};
use ploverlift_balancing::health::Outcome;
use ploverlift_http1::{Framing, HttpError};
use ploverlift_policy::attempt::promises_not_run;
use std::io;
use std::pin::pin;

/// An answer that is too large to be buffered.
struct LargeAnswer {
    answer: EngineAnswer,
    /// The part of the body that has been read.
    first: HeldBody,
    /// Outcome for the request's log line once the answer is complete.
    outcome: &'static str,
}

/// How reading an answer ended.
enum ReadEnd {
    Whole(HeldBody),
    TooLarge(HeldBody),
    Broken(BrokenAttempt),
    TakenOver(Takeover<BrokenAttempt>),
}

/// Where reading a body stopped.
enum BodyRead {
    /// At its regular end.
    Ended(Framing),
    /// It is too large to be buffered.
    TooLarge,
}

/// Why an answer was not read to its end.
enum ReadFailure {
    Answer(HttpError),
    /// The request's time is up.
    TimeIsUp,
    EngineLost,
}

impl From<ReadFailure> for BrokenAttempt {
    fn from(failure: ReadFailure) -> Self {
        match failure {
            ReadFailure::Answer(error) => Self::in_answer(&error),
            ReadFailure::TimeIsUp => Self::timed_out("the answer was not whole in time", true),
            ReadFailure::EngineLost => Self::due_to(&FailureReason::EngineLost, false),
        }
    }
}

impl Forwarding {
    /// Forwards a successful answer once it is complete.
    pub(super) async fn forward_buffered(
        &mut self,
        mut answer: EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        match self.read_buffered(&mut answer, chosen, true).await {
            ReadEnd::Whole(body) => {
                in_flight.note_outcome(Outcome::Answered);
                self.record.record_first_byte(&self.gateway, &self.received);
                let head = forwarded_head(&answer);
                self.keep_connection(answer, chosen, in_flight.path);
                let after = self.answer.send_complete(head, body.bytes()).await?;
                let outcome = "answered";
                Ok(AttemptEnd::Done { after, outcome })
            }
            ReadEnd::TooLarge(first) => {
                let large = LargeAnswer {
                    answer,
                    first,
                    outcome: "answered",
                };
                self.send_large(large, chosen, in_flight).await
            }
            ReadEnd::Broken(broken) => {
                in_flight.note_outcome(Outcome::Broken);
                Ok(AttemptEnd::Broken(broken))
            }
            ReadEnd::TakenOver(takeover) => {
                self.note_let_go(in_flight);
                Ok(AttemptEnd::TakenOver(takeover))
            }
        }
    }

    /// Reads an answer that reports a failure of the engine or rejects the request.
    pub(super) async fn read_failure(
        &mut self,
        mut answer: EngineAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        let status = answer.head.status.get();
        if self.answer.has_started() {
            // Another engine had accepted the same request.
            in_flight.note_outcome(Outcome::Failed);
            let reason = format!("the engine failed with {status} to take the stream up");
            return Ok(AttemptEnd::Broken(BrokenAttempt::other(reason)));
        }
        // A status that promises "not run" is not valid from an engine that ran the request.
        let is_engines_fault = status >= 500 || promises_not_run(status);
        let outcome = match is_engines_fault {
            true => Outcome::Failed,
            false => Outcome::Answered,
        };
        match self
            .read_buffered(&mut answer, chosen, !is_engines_fault)
            .await
        {
            ReadEnd::Whole(body) => {
                in_flight.note_outcome(outcome);
                let head = forwarded_head(&answer);
                self.keep_connection(answer, chosen, in_flight.path);
                if is_engines_fault {
                    return Ok(AttemptEnd::Failed { head, body });
                }
                let after = self.answer.send_complete(head, body.bytes()).await?;
                let outcome = "rejected_by_engine";
                Ok(AttemptEnd::Done { after, outcome })
            }
            ReadEnd::TooLarge(_) if is_engines_fault => {
                in_flight.note_outcome(outcome);
                let reason =
                    format!("the engine failed with {status} and a body too large to keep");
                Ok(AttemptEnd::Broken(BrokenAttempt::other(reason)))
            }
            ReadEnd::TooLarge(first) => {
                let large = LargeAnswer {
                    answer,
                    first,
                    outcome: "rejected_by_engine",
                };
                self.send_large(large, chosen, in_flight).await
            }
            ReadEnd::Broken(broken) => {
                in_flight.note_outcome(Outcome::Broken);
                Ok(AttemptEnd::Broken(broken))
            }
            ReadEnd::TakenOver(takeover) => {
                self.note_let_go(in_flight);
                Ok(AttemptEnd::TakenOver(takeover))
            }
        }
    }

    /// Reads until the answer is complete or too large, its engine is known to be lost, or
    /// another engine has taken the request over. An answer that is not wanted does not keep the
    /// other engine from that.
    async fn read_buffered(
        &mut self,
        answer: &mut EngineAnswer,
        chosen: &ChosenEngine,
        answer_is_wanted: bool,
    ) -> ReadEnd {
        let watch = self.watch_engine(&chosen.instance);
        let (left_ms, silence_ms) = (self.left_ms(), self.attempt_timeout_ms());
        let mut body = HeldBody::empty(&self.gateway.byte_budget.engine_answers);
        let waited = {
            let reading = pin!(read_limited(answer, &mut body, &watch));
            let reading = pin!(within(left_ms, reading));
            let reading = async {
                match watch.unless_lost(reading).await {
                    None => Err(ReadFailure::EngineLost),
                    Some(None) => Err(ReadFailure::TimeIsUp),
                    Some(Some(read)) => read.map_err(ReadFailure::Answer),
                }
            };
            let reading = pin!(reading);
            let continuation = match answer_is_wanted {
                true => continuation_of_read,
                false => |_: &Self, _: &BodyRead| Continuation::Over,
            };
            self.unless_taken_over(reading, silence_ms, chosen, continuation)
                .await
        };
        match waited {
            Waited::Done(Ok(BodyRead::Ended(_))) => {
                match self.check_answer_end(answer.body_end(), 0, chosen).await {
                    Ok(()) => ReadEnd::Whole(body),
                    Err(broken) => ReadEnd::Broken(broken),
                }
            }
            Waited::Unproven(_, successor) => {
                let end = self.conclude_unproven(successor, answer.body_end(), 0, chosen);
                match end.await {
                    Ok(()) => ReadEnd::Whole(body),
                    Err(takeover) => ReadEnd::TakenOver(takeover),
                }
            }
            Waited::Done(Ok(BodyRead::TooLarge)) => ReadEnd::TooLarge(body),
            Waited::Done(Err(failure)) => {
                ReadEnd::Broken(self.note_cut_answer(answer.framing(), failure, chosen))
            }
            Waited::TakenOver(takeover) => {
                let framing = answer.framing();
                let broken = |failure| self.note_cut_answer(framing, failure, chosen);
                ReadEnd::TakenOver(takeover.map_failure(broken))
            }
        }
    }

    async fn send_large(
        &mut self,
        large: LargeAnswer,
        chosen: &ChosenEngine,
        in_flight: &mut InFlight,
    ) -> io::Result<AttemptEnd> {
        let LargeAnswer {
            mut answer,
            first,
            outcome,
        } = large;
        self.record.record_first_byte(&self.gateway, &self.received);
        self.answer
            .start_stream(forwarded_head(&answer), first.bytes())
            .await?;
        drop(first);
        if let Err(broken) = self.forward_rest(&mut answer, chosen).await? {
            self.note_broken_attempt(&broken, chosen, in_flight);
            in_flight.note_outcome(Outcome::Broken);
            return Ok(AttemptEnd::Done {
                after: AfterAnswer::Abort,
                outcome: "broken_off",
            });
        }
        in_flight.note_outcome(Outcome::Answered);
        let after = self.answer.finish_stream().await?;
        Ok(AttemptEnd::Done { after, outcome })
    }

    /// Forwards the rest of a large answer as it arrives; the inner error says why the answer
    /// is not whole.
    async fn forward_rest(
        &mut self,
        answer: &mut EngineAnswer,
        chosen: &ChosenEngine,
    ) -> io::Result<Result<(), BrokenAttempt>> {
        let mut piece = Vec::new();
        loop {
            piece.clear();
            let left_ms = self.received.limits.left_ms(self.gateway.clock.now());
            match within_time_left(left_ms, answer.read(&mut piece)).await {
                Some(Ok(true)) => self.answer.write_chunk(&piece).await?,
                Some(Ok(false)) => {
                    let end = self.check_answer_end(answer.body_end(), 0, chosen);
                    return Ok(end.await);
                }
                Some(Err(error)) => {
                    let failure = ReadFailure::Answer(error);
                    return Ok(Err(self.note_cut_answer(answer.framing(), failure, chosen)));
                }
                None => {
                    let reason = "the answer was not whole in time";
                    return Ok(Err(BrokenAttempt::timed_out(reason, true)));
                }
            }
        }
    }
}

/// Reads an answer up to its end, or until it is too large to be buffered: over its limit, or this
/// node has no memory left for it.
async fn read_limited(
    answer: &mut EngineAnswer,
    body: &mut HeldBody,
    watch: &EngineWatch,
) -> Result<BodyRead, HttpError> {
    while answer.read(body.buffer()).await? {
        watch.record_activity();
        let is_over_limit = body.bytes().len() > ANSWER_LIMITS.buffered_bytes;
        if is_over_limit || body.hold_buffer().is_err() {
            return Ok(BodyRead::TooLarge);
        }
    }
    Ok(BodyRead::Ended(answer.framing()))
}

/// What the end of reading means while another engine has been sent the request. The end of a
/// connection alone proves no whole answer.
fn continuation_of_read(_: &Forwarding, read: &BodyRead) -> Continuation {
    match read {
        BodyRead::Ended(Framing::UntilClose) => Continuation::Unproven,
        BodyRead::Ended(_) | BodyRead::TooLarge => Continuation::Proven,
    }
}

/// Head of an engine's answer without the headers that concern only its connection.
pub(super) fn forwarded_head(answer: &EngineAnswer) -> ploverlift_http1::ResponseHead {
    let mut head = answer.head.clone();
    head.headers.remove_connection_headers();
    head
}
