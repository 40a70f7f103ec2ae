//! One request, from its head to the end of its answer.
//!
//! ```text
//! admission ─▶ attempt ─▶ whole answer ─▶ caller
//!     │          │  ▲  └▶ event stream ─▶
//!     │          └──┘ another engine, while that is true, allowed and in budget
//!     └▶ refusal
//! ```
//!
//! What may be said of a request and whether it may be sent again follows from
//! [`RunState`] alone: 503 ("has not run and will not") only when no byte can
//! have reached an engine, or each engine said that it did not run it.

mod admission;
mod attempt;
mod caller_answer;
mod events;
mod in_flight;
mod limits;
mod record;
mod stream;
mod whole;

pub use admission::{admit, Admission};
pub use caller_answer::{AfterAnswer, CallerAnswer};
pub use events::{is_after, EventSplitter, WholeEvent};
pub use limits::TimeLimits;

use crate::ports::{CallerRequest, Refusal, RefusalKind};
use crate::state::Gateway;
use attempt::AttemptEnd;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::selection::NoChoice;
use ploverlift_http1::ResponseHead;
use ploverlift_policy::attempt::RunState;
use record::RequestRecord;
use std::io;
use std::sync::Arc;

/// Connections that may fail to come about for one request.
const MAX_UNREACHABLE: u32 = 4;

/// A request whose head and body were read.
pub struct ReceivedRequest {
    /// What the head says.
    pub request: CallerRequest,
    /// The body.
    pub body: Vec<u8>,
    /// Why it may run.
    pub admission: Admission,
    /// The time it has.
    pub limits: TimeLimits,
}

/// An answer of an engine that ran the request and failed.
struct EngineFailure {
    head: ResponseHead,
    body: Vec<u8>,
}

/// What all attempts so far have shown.
struct Progress {
    tried: Vec<InstanceId>,
    engines_sent_to: u32,
    arrivals: u32,
    unreachable: u32,
    run_state: RunState,
    last_event: Option<String>,
    engine_failure: Option<EngineFailure>,
    retry_after_ms: Option<u64>,
    has_corrected_weights: bool,
    time_is_up: bool,
    reason: String,
}

/// A request that is being answered.
struct Relay {
    gateway: Arc<Gateway>,
    received: ReceivedRequest,
    answer: CallerAnswer,
    progress: Progress,
    record: RequestRecord,
}

/// Answers a request.
///
/// # Errors
/// When the caller is gone.
pub async fn serve(
    gateway: Arc<Gateway>,
    received: ReceivedRequest,
    answer: CallerAnswer,
) -> io::Result<AfterAnswer> {
    let record = RequestRecord::new(&gateway, &received);
    let progress = Progress {
        tried: Vec::new(),
        engines_sent_to: 0,
        arrivals: 0,
        unreachable: 0,
        run_state: RunState::NotRun,
        last_event: received.request.resume_after.clone(),
        engine_failure: None,
        retry_after_ms: None,
        has_corrected_weights: false,
        time_is_up: false,
        reason: String::new(),
    };
    let mut relay = Relay {
        gateway,
        received,
        answer,
        progress,
        record,
    };
    relay.run().await
}

impl Relay {
    async fn run(&mut self) -> io::Result<AfterAnswer> {
        let now = self.gateway.clock.now();
        let settings = self.gateway.settings();
        let service = self.received.admission.service.clone();
        self.gateway
            .beliefs()
            .retry_budget(&service, &settings)
            .record_request(now);
        loop {
            let chosen = match self.choose() {
                Ok(chosen) => chosen,
                Err(none) => {
                    self.note_no_choice(none);
                    return self.give_up().await;
                }
            };
            if self.progress.arrivals > 0 && !self.take_repeat() {
                "the retry budget is spent".clone_into(&mut self.progress.reason);
                return self.give_up().await;
            }
            let instance = chosen.instance.clone();
            let end = self.attempt(chosen).await?;
            if let AttemptEnd::Done { after, outcome } = end {
                self.record
                    .finish(&self.gateway, &self.received, outcome, "");
                return Ok(after);
            }
            if !self.may_go_on(end, instance) {
                return self.give_up().await;
            }
        }
    }

    fn take_repeat(&self) -> bool {
        let now = self.gateway.clock.now();
        let settings = self.gateway.settings();
        let mut beliefs = self.gateway.beliefs();
        let budget = beliefs.retry_budget(&self.received.admission.service, &settings);
        let taken = budget.try_take(now);
        if taken {
            self.gateway.metrics.repeats.inc();
        }
        taken
    }

    fn note_no_choice(&mut self, none: NoChoice) {
        let reason = match none {
            NoChoice::NoEngine => "the service has no engine",
            NoChoice::WeightsTooOld => "no engine has the new weights yet",
            NoChoice::AllTried => return,
        };
        reason.clone_into(&mut self.progress.reason);
    }

    /// Takes in how an attempt ended; tells whether another one may follow.
    fn may_go_on(&mut self, end: AttemptEnd, instance: InstanceId) -> bool {
        let route = &self.received.admission.route;
        let is_repeatable = route.delivery.is_repeatable();
        let progress = &mut self.progress;
        let may_repeat = match end {
            AttemptEnd::Done { .. } => return false,
            AttemptEnd::Unreachable { reason } => {
                progress.unreachable += 1;
                progress.tried.push(instance);
                progress.reason = reason;
                return progress.unreachable < MAX_UNREACHABLE && self.has_time();
            }
            AttemptEnd::Refused { retry_after_ms } => {
                progress.arrivals += 1;
                progress.engines_sent_to += 1;
                progress.tried.push(instance);
                progress.retry_after_ms = retry_after_ms;
                "the engine refused".clone_into(&mut progress.reason);
                true
            }
            AttemptEnd::OtherWeights => {
                progress.arrivals += 1;
                "the engine has other weights".clone_into(&mut progress.reason);
                if progress.has_corrected_weights {
                    progress.engines_sent_to += 1;
                    progress.tried.push(instance);
                }
                // The same engine is asked again with the weights that it has.
                progress.has_corrected_weights = true;
                true
            }
            AttemptEnd::Failed { head, body } => {
                progress.run_state = progress.run_state.join(RunState::Started);
                progress.engine_failure = Some(EngineFailure { head, body });
                progress.arrivals += 1;
                progress.engines_sent_to += 1;
                progress.tried.push(instance);
                "the engine failed".clone_into(&mut progress.reason);
                is_repeatable
            }
            AttemptEnd::Broken { reason, time_is_up } => {
                progress.run_state = progress.run_state.join(RunState::Unknown);
                progress.arrivals += 1;
                progress.engines_sent_to += 1;
                progress.tried.push(instance);
                progress.reason = reason;
                progress.time_is_up = time_is_up;
                is_repeatable
            }
        };
        let has_attempts = progress.engines_sent_to < route.max_attempts.max(1);
        may_repeat && has_attempts && self.has_time()
    }

    fn has_time(&self) -> bool {
        self.received.limits.left_ms(self.gateway.clock.now()) > 0
    }

    /// The final answer of a request that no engine has answered.
    async fn give_up(&mut self) -> io::Result<AfterAnswer> {
        let reason = std::mem::take(&mut self.progress.reason);
        if self.answer.has_started() {
            let outcome = "broken_off";
            self.record
                .finish(&self.gateway, &self.received, outcome, &reason);
            return Ok(AfterAnswer::Abort);
        }
        if let Some(failure) = self.progress.engine_failure.take() {
            let outcome = "engine_failure";
            self.record
                .finish(&self.gateway, &self.received, outcome, &reason);
            return self.answer.whole(failure.head, &failure.body).await;
        }
        let refusal = self.refusal(reason);
        let outcome = match refusal.kind {
            RefusalKind::NotRun => "refused",
            RefusalKind::TimedOut => "timed_out",
            _ => "engine_lost",
        };
        self.record
            .finish(&self.gateway, &self.received, outcome, &refusal.reason);
        refuse(
            &self.gateway,
            &mut self.answer,
            &refusal,
            Some(&self.received.request.id),
        )
        .await
    }

    fn refusal(&self, reason: String) -> Refusal {
        if self.progress.run_state == RunState::NotRun {
            let default_ms = self.gateway.settings().attempts.retry_after_ms;
            let retry_after_ms = self.progress.retry_after_ms.unwrap_or(default_ms);
            return Refusal::not_run(reason, retry_after_ms);
        }
        let kind = match self.progress.time_is_up {
            true => RefusalKind::TimedOut,
            false => RefusalKind::EngineFailed,
        };
        Refusal::new(kind, reason)
    }
}

/// Answers with a refusal.
///
/// # Errors
/// When the caller is gone.
pub async fn refuse(
    gateway: &Gateway,
    answer: &mut CallerAnswer,
    refusal: &Refusal,
    request_id: Option<&str>,
) -> io::Result<AfterAnswer> {
    let head = gateway.site.refusal_head(refusal, request_id);
    let body = format!("{}\n", refusal.reason);
    answer.whole(head, body.as_bytes()).await
}
