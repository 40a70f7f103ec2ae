//! Takeover of a request by another engine while its own engine is silent.
//!
//! A sound engine may be silent for a while and go on. So the attempt at it ends only once
//! another engine has accepted the request, by the head of a successful answer:
//!
//! ```text
//! silent ──▶ engine chosen, retry permitted, connected ──▶ sent there as well ──▶ accepted
//!    ▲                    │ not possible                        │ rejected            │
//!    └────────────────────┴─────────────────────────────────────┘ or failed          ▼
//!                  wait on                                   the silent engine is let go
//! ```
//!
//! Until then both engines keep the request: one that has queued it may still reject it. If the
//! silent engine goes on meanwhile, it keeps the request ([`Continuation`]).

use super::attempt::{AttemptEnd, RunningAttempt};
use super::broken::BrokenAttempt;
use super::choice::ChosenEngine;
use super::sending::Exchange;
use super::Forwarding;
use crate::engine_connection::{BodyEnd, EngineAnswer, ExchangeFailure};
use crate::ports::AnswerMeaning;
use crate::time::{sleep, within};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use std::future::Future;
use std::pin::{pin, Pin};

/// Time from a takeover that was not possible to the next try, in milliseconds.
const RETRY_PERIOD_MS: u64 = 250;

/// How the wait for an engine ended.
pub(super) enum Waited<T, E> {
    /// The engine answered, or the attempt failed.
    Done(Result<T, E>),
    /// Another engine has the request.
    TakenOver(Takeover<E>),
    /// The engine's answer has ended, which does not prove that it is whole, while another
    /// engine has been sent the request. Whoever waits finds out which of them has it.
    Unproven(T, Box<RunningAttempt>),
}

/// What a result of the silent engine means while another engine has been sent the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Continuation {
    /// The engine goes on, or its answer is whole.
    Proven,
    /// Its answer has ended, and may be whole.
    Unproven,
    /// It has rejected the request or failed.
    Over,
}

/// Another engine has the request. The attempt at the first one must end at once.
pub(super) struct Takeover<E> {
    /// The attempt at the other engine.
    pub(super) successor: Box<RunningAttempt>,
    /// Why the first attempt failed, if it did during the takeover.
    pub(super) failure: Option<E>,
}

impl<E> Takeover<E> {
    /// Converts the failure of the first attempt.
    pub(super) fn map_failure<F>(self, convert: impl FnOnce(E) -> F) -> Takeover<F> {
        Takeover {
            successor: self.successor,
            failure: self.failure.map(convert),
        }
    }
}

/// Which of two futures was done first.
enum Earlier<A, B> {
    Current(A),
    Successor(B),
}

async fn earlier<A, B>(
    current: impl Future<Output = A>,
    successor: impl Future<Output = B>,
) -> Earlier<A, B> {
    let current = async { Earlier::Current(current.await) };
    let successor = async { Earlier::Successor(successor.await) };
    futures_lite::future::or(current, successor).await
}

/// Result of a takeover, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverOutcome {
    /// No other engine could be sent the request.
    NotPossible,
    /// The other engine did not accept the request.
    Rejected,
    /// The first engine went on.
    Cancelled,
    /// The other engine was silent, too, and a further one may be tried.
    Silent,
    /// The other engine has the request.
    Done,
}

impl TakeoverOutcome {
    fn name(self) -> &'static str {
        match self {
            Self::NotPossible => "not_possible",
            Self::Rejected => "rejected",
            Self::Cancelled => "cancelled",
            Self::Silent => "silent",
            Self::Done => "done",
        }
    }
}

impl Forwarding {
    /// Waits for the engine of the current attempt. Each time that it was silent for
    /// `silence_ms` milliseconds, and at once when it may be lost, another engine is tried beside
    /// it; never if that is `None`. `work` must end by itself when the request's time is up.
    /// `continuation` is what a result means while the other engine has the request, too.
    pub(super) async fn unless_taken_over<T, E>(
        &mut self,
        mut work: Pin<&mut impl Future<Output = Result<T, E>>>,
        silence_ms: Option<u64>,
        chosen: &ChosenEngine,
        continuation: fn(&Self, &T) -> Continuation,
    ) -> Waited<T, E> {
        let Some(mut wait_ms) = silence_ms else {
            return Waited::Done(work.await);
        };
        let watch = self.watch_engine(&chosen.instance);
        let mut may_be_lost = pin!(watch.wait_until_suspected());
        let mut is_suspected = false;
        loop {
            let waiting = async {
                match is_suspected {
                    true => sleep(wait_ms).await,
                    false => is_suspected = within(wait_ms, may_be_lost.as_mut()).await.is_some(),
                }
                None
            };
            let working = async { Some(work.as_mut().await) };
            if let Some(done) = futures_lite::future::or(working, waiting).await {
                return Waited::Done(done);
            }
            if self.progress.attempts.is_last_attempt() {
                return Waited::Done(work.await);
            }
            // Boxed: takeovers are rare, and each request would reserve space for one.
            let takeover = Box::pin(self.try_takeover(work.as_mut(), chosen, continuation));
            if let Some(waited) = takeover.await {
                return waited;
            }
            wait_ms = RETRY_PERIOD_MS;
        }
    }

    /// Tries to have another engine take the request over; `None` when none did and the first
    /// engine is still silent.
    async fn try_takeover<T, E>(
        &mut self,
        mut work: Pin<&mut impl Future<Output = Result<T, E>>>,
        chosen: &ChosenEngine,
        continuation: fn(&Self, &T) -> Continuation,
    ) -> Option<Waited<T, E>> {
        self.progress.attempts.begin_takeover(&chosen.instance);
        self.progress.denials = 0;
        let had_claim = self.claim.is_some();
        let begun = {
            let beginning = pin!(self.begin_successor());
            earlier(work.as_mut(), beginning).await
        };
        let waited = match begun {
            Earlier::Current(done) => Some(Waited::Done(done)),
            Earlier::Successor(Ok(successor)) => self.overlap(work, successor, continuation).await,
            Earlier::Successor(Err(outcome)) => {
                self.note_takeover(None, outcome);
                None
            }
        };
        let is_at_successor = matches!(waited, Some(Waited::TakenOver(_) | Waited::Unproven(..)));
        if !is_at_successor {
            self.put_retry_back();
            if !had_claim {
                self.claim = None;
            }
        }
        waited
    }

    /// Secures another engine and begins to send the request to it.
    async fn begin_successor(&mut self) -> Result<RunningAttempt, TakeoverOutcome> {
        // Checked before an engine is chosen, since each choice counts as demand of its service.
        if !self.has_retry() {
            "the retry budget is spent".clone_into(&mut self.progress.reason);
            return Err(TakeoverOutcome::NotPossible);
        }
        let Some(chosen) = self.secure_engine().await else {
            return Err(TakeoverOutcome::NotPossible);
        };
        let mut in_flight = self.begin_load(&chosen);
        match self.begin_on_new_connection(&chosen).await {
            Ok(exchange) => {
                in_flight.path = exchange.path;
                Ok(RunningAttempt {
                    chosen,
                    in_flight,
                    exchange,
                })
            }
            Err(end) => {
                self.note_unanswered(&in_flight, &end);
                self.conclude_attempt(end, chosen.instance);
                Err(TakeoverOutcome::NotPossible)
            }
        }
    }

    /// Waits until one of two engines has answered or failed. Where a further engine may be
    /// tried, it is tried in place of a second one that is silent, too.
    async fn overlap<T, E>(
        &mut self,
        work: Pin<&mut impl Future<Output = Result<T, E>>>,
        mut successor: RunningAttempt,
        continuation: fn(&Self, &T) -> Continuation,
    ) -> Option<Waited<T, E>> {
        let answering = successor.exchange.answer.as_mut();
        let both = earlier(work, answering);
        let done = match self.progress.attempts.has_attempt_after_takeover() {
            true => within(self.answer_timeout_ms(), both).await,
            false => Some(both.await),
        };
        match done {
            None => {
                self.let_successor_go(&successor, TakeoverOutcome::Silent);
                None
            }
            Some(Earlier::Current(Err(failure))) if self.has_time() => {
                let takeover = self.hand_over(Box::new(successor), Some(failure));
                Some(Waited::TakenOver(takeover))
            }
            Some(Earlier::Current(Err(failure))) => {
                self.cancel_successor(&successor);
                Some(Waited::Done(Err(failure)))
            }
            Some(Earlier::Current(Ok(result))) => Some(match continuation(self, &result) {
                Continuation::Proven => {
                    self.cancel_successor(&successor);
                    Waited::Done(Ok(result))
                }
                Continuation::Unproven => Waited::Unproven(result, Box::new(successor)),
                Continuation::Over => Waited::TakenOver(self.hand_over(Box::new(successor), None)),
            }),
            Some(Earlier::Successor(answered)) => {
                let is_accepted = self.accept_answer(&mut successor, answered);
                is_accepted.then(|| Waited::TakenOver(self.hand_over(Box::new(successor), None)))
            }
        }
    }

    /// Checks the end of the first engine's answer while another engine has been sent the request,
    /// and lets one of the two go.
    ///
    /// # Errors
    /// When the answer is broken off: the other engine has the request.
    pub(super) async fn conclude_unproven(
        &mut self,
        successor: Box<RunningAttempt>,
        body_end: BodyEnd,
        unfinished_bytes: usize,
        chosen: &ChosenEngine,
    ) -> Result<(), Takeover<BrokenAttempt>> {
        let end = self.check_answer_end(body_end, unfinished_bytes, chosen);
        match end.await {
            Ok(()) => {
                self.cancel_successor(&successor);
                Ok(())
            }
            Err(broken) => Err(self.hand_over(successor, Some(broken))),
        }
    }

    fn hand_over<E>(&mut self, successor: Box<RunningAttempt>, failure: Option<E>) -> Takeover<E> {
        self.note_takeover(Some(&successor.chosen.instance), TakeoverOutcome::Done);
        self.spend_reservation();
        Takeover { successor, failure }
    }

    /// Records that the request was sent to an engine whose answer is not wanted any more.
    pub(super) fn cancel_successor(&mut self, successor: &RunningAttempt) {
        self.let_successor_go(successor, TakeoverOutcome::Cancelled);
    }

    fn let_successor_go(&mut self, successor: &RunningAttempt, outcome: TakeoverOutcome) {
        let instance = &successor.chosen.instance;
        self.progress.attempts.record_lost_send(instance);
        self.spend_reservation();
        self.note_takeover(Some(instance), outcome);
    }

    /// Whether the other engine has accepted the request. Otherwise the end of the attempt at
    /// it is recorded.
    fn accept_answer(
        &mut self,
        successor: &mut RunningAttempt,
        answered: Result<EngineAnswer, ExchangeFailure>,
    ) -> bool {
        let (chosen, in_flight) = (&successor.chosen, &successor.in_flight);
        let end = match answered {
            Ok(answer) => match self.read_meaning(&answer, chosen, in_flight) {
                AnswerMeaning::Success => {
                    successor.exchange = Exchange::answered(successor.exchange.path, answer);
                    return true;
                }
                AnswerMeaning::Refused(refused) => {
                    in_flight.note_outcome(Outcome::Refused);
                    self.refused(&refused, &answer, chosen)
                }
                AnswerMeaning::Failure => {
                    in_flight.note_outcome(Outcome::Failed);
                    AttemptEnd::Broken(BrokenAttempt::other("the engine failed"))
                }
                AnswerMeaning::Foreign { reason } => {
                    in_flight.note_outcome(Outcome::Broken);
                    AttemptEnd::Broken(BrokenAttempt::other(reason))
                }
            },
            Err(failure) => {
                let end = self.broken(&failure);
                self.note_unanswered(in_flight, &end);
                end
            }
        };
        if let AttemptEnd::Broken(broken) = &end {
            self.note_broken_attempt(broken, chosen, in_flight);
        }
        let instance = chosen.instance.clone();
        self.conclude_attempt(end, instance.clone());
        self.note_takeover(Some(&instance), TakeoverOutcome::Rejected);
        false
    }

    fn note_takeover(&mut self, engine: Option<&InstanceId>, outcome: TakeoverOutcome) {
        let metrics = &self.gateway.metrics.answers;
        metrics.count_takeover(outcome.name());
        let reason = match outcome {
            TakeoverOutcome::NotPossible | TakeoverOutcome::Rejected => &self.progress.reason,
            TakeoverOutcome::Cancelled | TakeoverOutcome::Silent | TakeoverOutcome::Done => "",
        };
        self.record.record_takeover(engine, outcome.name(), reason);
    }
}
