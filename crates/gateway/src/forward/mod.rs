//! Forwarding of one request, from its admission to the end of its answer.
//!
//! ```text
//! admission ─▶ attempt ─▶ buffered answer ─▶ caller
//!     │          │  ▲  └▶ event stream ─▶
//!     │          └──┘ retry at another engine, while permitted and within the budget
//!     └▶ refusal
//! ```
//!
//! The final status and whether a request may be retried follow from all sends of it
//! ([`AttemptLedger`]), not only from the last attempt. It is answered with 503 ("has not
//! run and will not") only when no byte can have reached an engine, or when each engine
//! that was tried reported that it did not run it ([`final_answer`]).

mod admission;
mod answer_end;
mod answer_head;
mod answer_metrics;
mod attempt;
mod broken;
mod buffered_answer;
mod caller_answer;
mod choice;
mod engine_data_hold;
mod engine_notices;
mod engine_room;
mod engine_tokens;
mod engine_watch;
mod events;
mod final_answer;
mod in_flight;
mod limits;
mod load_shedding;
mod quarantine;
mod record;
mod resumption;
mod running_request;
mod sending;
mod source_registration;
mod start_deadline;
mod stop_admission;
mod stream;
mod takeover;

pub(crate) use admission::refuse_not_run;
pub use admission::{admit, shared_parts, Admission};
pub use answer_metrics::AnswerMetrics;
pub use caller_answer::{AfterAnswer, CallerAnswer, StreamFraming};
pub use events::{is_after, EventSplitter, WholeEvent};
pub use limits::TimeLimits;
pub use stop_admission::check_stop;

use crate::held_body::HeldBody;
use crate::ports::{CallerRequest, Refusal};
use crate::state::Gateway;
use attempt::AttemptEnd;
use choice::ChosenEngine;
use engine_tokens::EngineToken;
use final_answer::{EngineFailure, FinalAnswer};
use load_shedding::Unservable;
use ploverlift_balancing::attempts::{AttemptLedger, AttemptLimits, AttemptOutcome};
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::selection::NoChoice;
use ploverlift_policy::ids::Millis;
use ploverlift_quarantine::fingerprint::RequestFingerprint;
use ploverlift_quarantine::subject::SharedPart;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use quarantine::RequestClaim;
use record::RequestRecord;
use resumption::Unplaced;
use std::io;
use std::sync::Arc;

/// A request whose head and body have been read.
pub struct ReceivedRequest {
    /// The parsed head.
    pub request: CallerRequest,
    /// The body. Each engine that has the request reads it.
    pub body: Arc<HeldBody>,
    /// The result of admission: route, service, tenant and reservation.
    pub admission: Admission,
    /// Its deadline and its route's time-out.
    pub limits: TimeLimits,
    /// Identifies the request: equal for all copies and retries of it.
    pub fingerprint: RequestFingerprint,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: Vec<SharedPart>,
}

impl ReceivedRequest {
    /// Serves the request by this service, which began the stream that it takes up.
    fn set_service(&mut self, service: ServiceName) {
        if service == self.admission.service {
            return;
        }
        self.admission.service = service;
        self.shared_parts = shared_parts(&self.request, &self.admission);
    }
}

/// Results of the attempts so far, from which the final answer is made.
struct Progress {
    attempts: AttemptLedger,
    last_event: Option<String>,
    /// Whether the caller has events whose place in the stream is not known.
    has_unplaced_events: bool,
    /// The software version that began the stream, once that is known.
    software: Option<SoftwareVersion>,
    engine_failure: Option<EngineFailure>,
    retry_after_ms: Option<u64>,
    time_is_up: bool,
    reason: String,
    /// Whether the request has been counted for rollouts.
    is_counted: bool,
    /// Whether a retry was taken from the retry budget and has not been sent yet.
    has_taken_retry: bool,
    /// Whether the request has used up its wait for a copy of it that runs elsewhere.
    has_waited: bool,
    /// Number of token requests for it that were denied.
    denials: u32,
    /// Until when the request waits for an engine that admits a connection, once it has to.
    waits_for_room_until: Option<Millis>,
}

/// A request that is being answered.
struct Forwarding {
    gateway: Arc<Gateway>,
    received: ReceivedRequest,
    answer: CallerAnswer,
    progress: Progress,
    record: RequestRecord,
    /// This node's claim to send a request during which an engine ended.
    claim: Option<RequestClaim>,
    /// The token for an engine that has a rate limit.
    token: Option<EngineToken>,
    /// When its body had been read.
    admitted: Millis,
}

/// Forwards a request to an engine and writes the answer to the caller.
///
/// # Errors
/// When writing to the caller fails.
pub async fn serve(
    gateway: Arc<Gateway>,
    received: ReceivedRequest,
    answer: CallerAnswer,
) -> io::Result<AfterAnswer> {
    let record = RequestRecord::new(&gateway, &received);
    let route = &received.admission.route;
    let limits = AttemptLimits {
        is_repeatable: route.delivery.is_repeatable(),
        max_engines: route.max_attempts,
    };
    let progress = Progress {
        attempts: AttemptLedger::new(limits),
        last_event: received.request.resume_after.clone(),
        has_unplaced_events: false,
        software: None,
        engine_failure: None,
        retry_after_ms: None,
        time_is_up: false,
        reason: String::new(),
        is_counted: false,
        has_taken_retry: false,
        has_waited: false,
        denials: 0,
        waits_for_room_until: None,
    };
    let mut forwarding = Forwarding {
        admitted: gateway.clock.now(),
        gateway,
        received,
        answer,
        progress,
        record,
        claim: None,
        token: None,
    };
    forwarding.run_until_stop().await
}

impl Forwarding {
    async fn run(&mut self) -> io::Result<AfterAnswer> {
        if let Err(unplaced) = self.place_resumed_stream().await {
            self.note_unplaced(&unplaced);
            return self.give_up().await;
        }
        self.count_request();
        let mut successor = None;
        loop {
            let (instance, end) = match successor.take() {
                Some(running) => self.continue_attempt(running).await?,
                None => match self.secure_engine().await {
                    Some(chosen) => self.attempt(chosen).await?,
                    None => return self.give_up().await,
                },
            };
            let may_go_on = match end {
                AttemptEnd::Done { after, outcome } => {
                    self.finish(outcome, "");
                    return Ok(after);
                }
                AttemptEnd::TakenOver(takeover) => {
                    let attempts = &mut self.progress.attempts;
                    attempts.record_outcome(instance, AttemptOutcome::Broken);
                    successor = Some(*takeover.successor);
                    true
                }
                end => self.conclude_attempt(end, instance),
            };
            if !may_go_on {
                return self.give_up().await;
            }
            if !self.may_be_resumed() {
                let reason = &mut self.progress.reason;
                reason.push_str("; no event numbers tell where another engine goes on");
                return self.give_up().await;
            }
        }
    }

    /// Counts the request for the retry budget of its service.
    fn count_request(&self) {
        let now = self.gateway.clock.now();
        let settings = self.gateway.settings();
        let service = &self.received.admission.service;
        let mut beliefs = self.gateway.beliefs();
        let budget = beliefs.retry_budget(service, &settings);
        budget.record_request(now);
    }

    /// Chooses an engine for the next attempt, and acquires the permissions for sending to it;
    /// `None`, with the reason recorded, when there is no such engine.
    async fn secure_engine(&mut self) -> Option<ChosenEngine> {
        loop {
            if !self.has_time() {
                "its time was up before it could be sent".clone_into(&mut self.progress.reason);
                return None;
            }
            if !self.may_accept_key() {
                "keys may have been taken away meanwhile".clone_into(&mut self.progress.reason);
                return None;
            }
            if !self.may_rely_on_engines().await {
                "this node lacks news of the engines".clone_into(&mut self.progress.reason);
                return None;
            }
            if let Err(unplaced) = self.await_registered_source().await {
                self.note_unplaced(&unplaced);
                return None;
            }
            if let Err(withheld) = self.wait_for_permission().await {
                self.note_withheld(&withheld);
                return None;
            }
            let chosen = match self.choose() {
                Ok(chosen) => chosen,
                Err(NoChoice::RateLimited) if self.token.is_none() => {
                    if let Err(unservable) = self.acquire_any_token().await {
                        self.note_unservable(unservable);
                        return None;
                    }
                    continue;
                }
                Err(NoChoice::NoRoom) => {
                    if let Err(unservable) = self.wait_for_room().await {
                        self.note_unservable(unservable);
                        return None;
                    }
                    continue;
                }
                Err(none) => {
                    self.note_no_choice(none);
                    return None;
                }
            };
            if self.is_unreachable(&chosen) {
                "no engine of the service can be reached".clone_into(&mut self.progress.reason);
                return None;
            }
            if let Some(unservable) = self.check_first_attempt(&chosen) {
                self.note_unservable(unservable);
                return None;
            }
            if !self.acquire_token(&chosen).await {
                self.progress.denials += 1;
                self.record.record_denial(&chosen);
                continue;
            }
            if !self.secure_retry() {
                "the retry budget is spent".clone_into(&mut self.progress.reason);
                return None;
            }
            return Some(chosen);
        }
    }

    /// Takes a retry from the budget if the next attempt needs one that was not taken before.
    fn secure_retry(&mut self) -> bool {
        if !self.progress.attempts.next_is_repeat() || self.progress.has_taken_retry {
            return true;
        }
        let is_taken = self.take_retry();
        self.progress.has_taken_retry = is_taken;
        is_taken
    }

    /// Whether the cheapest engine, and so each one that is left, is known to be unreachable. A
    /// request would only wait for the connection to fail once more.
    fn is_unreachable(&self, chosen: &ChosenEngine) -> bool {
        let now = self.gateway.clock.now();
        let beliefs = self.gateway.beliefs();
        let engine = beliefs.engines.get(&chosen.instance);
        let is_ejected = engine.is_some_and(|engine| !engine.health.may_be_chosen(now));
        is_ejected && beliefs.losses.is_unreachable(&chosen.instance)
    }

    /// Checks before the first attempt only whether the request can be served.
    fn check_first_attempt(&self, chosen: &ChosenEngine) -> Option<Unservable> {
        match self.progress.attempts.tried().is_empty() {
            true => self.check_servable(chosen),
            false => None,
        }
    }

    /// Whether the next attempt may repeat the request.
    fn has_retry(&self) -> bool {
        let now = self.gateway.clock.now();
        let settings = self.gateway.settings();
        let mut beliefs = self.gateway.beliefs();
        let budget = beliefs.retry_budget(&self.received.admission.service, &settings);
        self.progress.has_taken_retry || budget.has_retry(now)
    }

    /// Returns a retry that was taken from the budget and not sent.
    fn put_retry_back(&mut self) {
        if std::mem::take(&mut self.progress.has_taken_retry) {
            let now = self.gateway.clock.now();
            let settings = self.gateway.settings();
            let mut beliefs = self.gateway.beliefs();
            let budget = beliefs.retry_budget(&self.received.admission.service, &settings);
            budget.put_back(now);
        }
    }

    fn take_retry(&self) -> bool {
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

    fn note_unservable(&mut self, unservable: Unservable) {
        self.progress.reason = unservable.reason;
        self.progress.retry_after_ms = Some(unservable.retry_after_ms);
    }

    fn note_unplaced(&mut self, unplaced: &Unplaced) {
        unplaced.reason.clone_into(&mut self.progress.reason);
        self.progress.retry_after_ms = Some(unplaced.retry_after_ms);
    }

    fn note_no_choice(&mut self, none: NoChoice) {
        if let Some(unplaced) = self.unplaced(none) {
            self.note_unplaced(&unplaced);
            return;
        }
        let reason = match none {
            NoChoice::NoEngine => "the service has no engine",
            NoChoice::SoftwareHeldBack => "no engine has a version that may serve",
            NoChoice::WeightsTooOld => "no engine has the new weights yet",
            NoChoice::WeightsNotProven => "it is not proven which weights are the newest",
            NoChoice::BackingOff => "this node backs off from all engines",
            NoChoice::RateLimited => "the engine that takes a request may not serve it",
            NoChoice::NoRoom => "the engines admit no further connection",
            NoChoice::AllTried => return,
        };
        reason.clone_into(&mut self.progress.reason);
    }

    /// Records the end of an attempt; returns whether another attempt may follow.
    fn conclude_attempt(&mut self, end: AttemptEnd, instance: InstanceId) -> bool {
        let progress = &mut self.progress;
        let outcome = match end {
            AttemptEnd::Done { .. } | AttemptEnd::TakenOver(_) => return false,
            AttemptEnd::Withheld | AttemptEnd::NotAdmitted => return self.has_time(),
            AttemptEnd::Unreachable { reason, .. } => {
                progress.reason = reason;
                AttemptOutcome::Unreachable
            }
            AttemptEnd::EngineLeft => {
                "the engine left before it was sent".clone_into(&mut progress.reason);
                AttemptOutcome::Unreachable
            }
            AttemptEnd::Refused => {
                "the engine refused".clone_into(&mut progress.reason);
                AttemptOutcome::Refused
            }
            AttemptEnd::OtherWeights => {
                "the engine has other weights".clone_into(&mut progress.reason);
                AttemptOutcome::OtherWeights
            }
            AttemptEnd::Failed { head, body } => {
                progress.engine_failure = Some(EngineFailure { head, body });
                "the engine failed".clone_into(&mut progress.reason);
                AttemptOutcome::Failed
            }
            AttemptEnd::Broken(broken) => {
                progress.time_is_up = broken.time_is_up();
                progress.reason = broken.reason;
                AttemptOutcome::Broken
            }
        };
        progress.attempts.record_outcome(instance, outcome) && self.has_time()
    }

    /// Whether the caller's key may still be accepted. The request may have waited since its
    /// admission, also through a suspension of the machine, and keys may have been revoked
    /// meanwhile.
    fn may_accept_key(&self) -> bool {
        let admission = &self.received.admission;
        let needs_key = admission.configuration.tenants.is_some() && !admission.route.is_public;
        !needs_key || self.gateway.accepts_keys()
    }

    /// Records how long the request took from its admission.
    fn note_duration(&self) {
        let duration_ms = self.gateway.clock.now().since(self.admitted);
        let admission = &self.received.admission;
        let durations = &mut self.gateway.beliefs().route_durations;
        durations.record(&admission.route, &admission.service, duration_ms);
    }

    fn has_time(&self) -> bool {
        self.received.limits.left_ms(self.gateway.clock.now()) > 0
    }

    /// Sends the final answer of a request that no engine has answered.
    async fn give_up(&mut self) -> io::Result<AfterAnswer> {
        // An unused reservation is returned before the caller may retry.
        self.received.admission.reservation = None;
        let reason = self.progress.reason.clone();
        if self.answer.has_started() {
            self.finish("broken_off", &reason);
            return Ok(AfterAnswer::Abort);
        }
        let retry_after_ms = self.retry_after_ms();
        let last = FinalAnswer::of(&mut self.progress, retry_after_ms);
        self.finish(last.outcome(), &reason);
        let id = Some(self.received.request.id.as_str());
        match last {
            FinalAnswer::EngineFailure(failure) => {
                self.answer
                    .send_complete(failure.head, failure.body.bytes())
                    .await
            }
            FinalAnswer::Refusal(refusal) => {
                refuse(&self.gateway, &mut self.answer, &refusal, id).await
            }
        }
    }

    /// Frees the body of a request that an engine has accepted and no other one may be sent.
    fn release_body(&mut self) {
        if !self.received.admission.route.delivery.is_repeatable() {
            let share = &self.gateway.byte_budget.request_bodies;
            self.received.body = Arc::new(HeldBody::empty(share));
        }
    }

    fn finish(&mut self, outcome: &'static str, reason: &str) {
        if self.progress.attempts.has_been_sent() {
            self.note_duration();
        }
        self.record
            .finish(&self.gateway, &self.received, outcome, reason);
    }
}

/// Writes a refusal to the caller.
///
/// # Errors
/// When writing to the caller fails.
pub async fn refuse(
    gateway: &Gateway,
    answer: &mut CallerAnswer,
    refusal: &Refusal,
    request_id: Option<&str>,
) -> io::Result<AfterAnswer> {
    let head = gateway.site.refusal_head(refusal, request_id);
    let body = format!("{}\n", refusal.reason);
    answer.send_complete(head, body.as_bytes()).await
}
