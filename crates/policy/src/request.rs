//! The state machine of one request, covering its claim and all its attempts.
//!
//! It decides which attempts may be retried, which data is delivered to the caller and
//! which error the caller receives. The node performs each [`Step`] and reports the
//! outcome as an [`Event`].

use crate::admission::RetryAfter;
use crate::attempt::{AttemptState, RunState};
use crate::ids::Millis;
use crate::retry::RetryBudget;

/// Most attempts at back ends for one request, including the first.
pub const MAX_ATTEMPTS: u32 = 4;
/// Longest time without data from a back end once its answer has begun, in milliseconds;
/// after it the stream counts as broken.
pub const STREAM_IDLE_MS: u64 = 10_000;
/// Retry delay returned with a rejection that has no better estimate, in milliseconds.
pub const DEFAULT_RETRY_AFTER_MS: u64 = 1_000;

/// An input of the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was admitted.
    Admitted,
    /// A majority of replicas granted the claim.
    ClaimGranted,
    /// An earlier request holds the claim and its complete answer is recorded.
    ClaimAnswered,
    /// An earlier request holds the claim and its outcome is not recorded.
    ClaimHeld,
    /// The idempotency key was used for another request.
    ClaimKeyReused,
    /// No majority of replicas answered, so it is unknown whether the request ran before.
    ClaimUnavailable(RetryAfter),
    /// No engine is eligible.
    NoEngine,
    /// The attempt ended before the back end answered.
    AttemptFailed(AttemptState, Option<RetryAfter>),
    /// The back end began to answer.
    Head,
    /// The back end sent the piece of the answer at this position, from 0.
    Piece(u64),
    /// The back end completed its answer. If it numbers the pieces, this is the position
    /// after the last one, which reveals missing pieces at the end.
    Completed(Option<u64>),
    /// The stream ended before the answer was complete.
    StreamBroken,
    /// Every eligible engine is expected to answer after the deadline.
    Overloaded(RetryAfter),
    /// The deadline for the first byte passed while the attempt was in this state.
    DeadlinePassed(AttemptState),
}

/// The next action of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Request the claim from its replicas.
    Claim,
    /// Send the request to an engine.
    Attempt {
        /// The first position that has not been delivered to the caller.
        from: u64,
    },
    /// Wait for the next event.
    Wait,
    /// Deliver the piece to the caller.
    Deliver,
    /// Drop the piece because the caller already has it.
    Skip,
    /// End the answer, which is complete.
    Finish,
    /// Return the recorded answer of the earlier request.
    Replay,
    /// Reject the request; nothing has been delivered yet.
    Refuse(Refusal),
    /// End the answer with an error event; part of it has been delivered.
    Abort(Refusal),
}

/// The error returned to the caller of a request that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was given up.
    pub reason: RefusalReason,
    /// Whether the request ran, as far as is known.
    pub run_state: RunState,
    /// The delay after which a retry can succeed.
    pub retry_after: RetryAfter,
}

/// Why a request was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// No engine is eligible at present.
    NoEngine,
    /// The claim is held by an earlier request.
    Duplicate,
    /// The idempotency key was used for another request.
    KeyReused,
    /// No majority of the claim's replicas answered.
    ClaimUnavailable,
    /// The expected wait exceeds the deadline.
    Overloaded,
    /// Attempts failed and no further one is allowed.
    AttemptsFailed,
    /// The deadline for the first byte passed.
    Deadline,
    /// The stream broke and may not be resumed.
    StreamLost,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    New,
    Claiming,
    Connecting,
    Streaming,
    Ended,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct RequestMachine {
    repeatable: bool,
    needs_claim: bool,
    deadline: Millis,
    phase: Phase,
    attempts: u32,
    run_state: RunState,
    next_position: u64,
    retry_after: Option<RetryAfter>,
}

impl RequestMachine {
    /// Creates a request that has not started. With `needs_claim`, the request runs at most
    /// once even if its caller retries; `repeatable` allows another attempt after one that
    /// may have run.
    pub fn new(repeatable: bool, needs_claim: bool, deadline: Millis) -> Self {
        Self {
            repeatable,
            needs_claim,
            deadline,
            phase: Phase::New,
            attempts: 0,
            run_state: RunState::NotRun,
            next_position: 0,
            retry_after: None,
        }
    }

    /// Resumes at `position`: the caller already has every piece before it.
    pub fn resume_at(mut self, position: u64) -> Self {
        self.next_position = position;
        self
    }

    /// Whether the request has run, as far as is known.
    pub fn run_state(&self) -> RunState {
        self.run_state
    }

    /// The first position that has not been delivered.
    pub fn next_position(&self) -> u64 {
        self.next_position
    }

    /// Whether the claim may be released: the request did not run and never will.
    pub fn may_release_claim(&self) -> bool {
        self.phase == Phase::Ended && self.run_state == RunState::NotRun
    }

    /// Handles an event and returns the next action.
    pub fn on(&mut self, event: Event, budget: &mut RetryBudget, now: Millis) -> Step {
        if self.phase == Phase::Ended {
            return Step::Wait;
        }
        match event {
            Event::Admitted => self.admitted(budget),
            Event::ClaimGranted => self.first_attempt(budget),
            Event::ClaimAnswered => self.replay(),
            Event::ClaimHeld => self.claim_held(),
            Event::ClaimKeyReused => self.give_up(RefusalReason::KeyReused),
            Event::ClaimUnavailable(retry_after) => self.claim_unavailable(retry_after),
            Event::NoEngine => self.give_up(RefusalReason::NoEngine),
            Event::AttemptFailed(state, retry_after) => {
                self.retry_after = retry_after.or(self.retry_after);
                self.attempt_failed(state, budget, now)
            }
            Event::Head => self.answer_begun(),
            Event::Piece(position) => self.piece(position, budget, now),
            Event::Completed(end) => self.completed(end, budget, now),
            Event::StreamBroken => self.stream_broken(budget, now),
            Event::Overloaded(retry_after) => {
                self.retry_after = Some(retry_after);
                self.give_up(RefusalReason::Overloaded)
            }
            Event::DeadlinePassed(state) => self.deadline_passed(state),
        }
    }

    fn admitted(&mut self, budget: &mut RetryBudget) -> Step {
        if self.needs_claim {
            self.phase = Phase::Claiming;
            return Step::Claim;
        }
        self.first_attempt(budget)
    }

    fn first_attempt(&mut self, budget: &mut RetryBudget) -> Step {
        budget.record_first_attempt();
        self.attempt()
    }

    fn attempt(&mut self) -> Step {
        self.phase = Phase::Connecting;
        self.attempts += 1;
        Step::Attempt {
            from: self.next_position,
        }
    }

    fn replay(&mut self) -> Step {
        self.phase = Phase::Ended;
        self.run_state = RunState::Started;
        Step::Replay
    }

    fn claim_held(&mut self) -> Step {
        self.run_state = RunState::Started;
        self.give_up(RefusalReason::Duplicate)
    }

    fn claim_unavailable(&mut self, retry_after: RetryAfter) -> Step {
        self.retry_after = Some(retry_after);
        self.give_up(RefusalReason::ClaimUnavailable)
    }

    fn attempt_failed(
        &mut self,
        state: AttemptState,
        budget: &mut RetryBudget,
        now: Millis,
    ) -> Step {
        self.run_state = self.run_state.join(state.run_state());
        let is_not_run = self.run_state == RunState::NotRun;
        if (is_not_run || self.repeatable) && self.may_retry(budget, now) {
            return self.attempt();
        }
        self.give_up(RefusalReason::AttemptsFailed)
    }

    fn may_retry(&self, budget: &mut RetryBudget, now: Millis) -> bool {
        self.attempts < MAX_ATTEMPTS && now < self.deadline && budget.try_take()
    }

    fn answer_begun(&mut self) -> Step {
        self.phase = Phase::Streaming;
        self.run_state = RunState::Started;
        Step::Wait
    }

    fn piece(&mut self, position: u64, budget: &mut RetryBudget, now: Millis) -> Step {
        self.run_state = RunState::Started;
        if position < self.next_position {
            return Step::Skip;
        }
        if position > self.next_position {
            return self.stream_broken(budget, now);
        }
        self.next_position += 1;
        Step::Deliver
    }

    fn completed(&mut self, end: Option<u64>, budget: &mut RetryBudget, now: Millis) -> Step {
        if end.is_some_and(|end| end != self.next_position) {
            return self.stream_broken(budget, now);
        }
        self.phase = Phase::Ended;
        Step::Finish
    }

    fn stream_broken(&mut self, budget: &mut RetryBudget, now: Millis) -> Step {
        let may_continue = self.next_position > 0 || now < self.deadline;
        let has_attempts_left = self.attempts < MAX_ATTEMPTS;
        if self.repeatable && may_continue && has_attempts_left && budget.try_take() {
            return self.attempt();
        }
        self.give_up(RefusalReason::StreamLost)
    }

    fn deadline_passed(&mut self, state: AttemptState) -> Step {
        if self.next_position > 0 {
            return Step::Wait;
        }
        self.run_state = self.run_state.join(state.run_state());
        self.give_up(RefusalReason::Deadline)
    }

    fn give_up(&mut self, reason: RefusalReason) -> Step {
        self.phase = Phase::Ended;
        let refusal = Refusal {
            reason,
            run_state: self.run_state,
            retry_after: self
                .retry_after
                .unwrap_or(RetryAfter::clamped(DEFAULT_RETRY_AFTER_MS)),
        };
        if self.next_position > 0 {
            Step::Abort(refusal)
        } else {
            Step::Refuse(refusal)
        }
    }
}
