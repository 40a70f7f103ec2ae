//! Counts a request as load of its engine for as long as the attempt lasts.

use super::load_shedding::EngineWait;
use crate::engine_paths::connect::EnginePath;
use crate::outcomes::ObservedAttempt;
use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::sync::Arc;

/// The request and the engine of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptSubject {
    /// The service.
    pub service: ServiceName,
    /// The name of the request's route.
    pub route: String,
    /// The engine.
    pub instance: InstanceId,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// Whether the request was tried at an engine before.
    pub is_repeat: bool,
}

/// A request that is being served by an engine. Dropping it removes the request from the
/// engine's load, also when the caller disconnects.
pub struct InFlight {
    gateway: Arc<Gateway>,
    subject: AttemptSubject,
    pending_prompt_tokens: u64,
    start_time: Millis,
    first_byte_ms: Option<u64>,
    /// The wait for the first byte, for requests with a prompt.
    pub(super) wait: Option<EngineWait>,
    /// The path of the last connection on which the request was sent.
    pub(super) path: EnginePath,
}

impl InFlight {
    /// Counts a request with `prompt_tokens` tokens to prefill.
    pub fn begin(gateway: &Arc<Gateway>, subject: AttemptSubject, prompt_tokens: u64) -> Self {
        let now = gateway.clock.now();
        let mut beliefs = gateway.beliefs();
        beliefs.engines.begin(&subject.instance, prompt_tokens, now);
        beliefs.assigned_prefill.add(prompt_tokens as f64, now);
        drop(beliefs);
        gateway.metrics.attempts.inc();
        Self {
            gateway: Arc::clone(gateway),
            subject,
            pending_prompt_tokens: prompt_tokens,
            start_time: now,
            first_byte_ms: None,
            wait: None,
            path: EnginePath::Direct,
        }
    }

    /// Records the first byte of the answer's content; returns the time from the start of the
    /// attempt until then, in milliseconds.
    pub fn note_first_byte(&mut self) -> u64 {
        let tokens = std::mem::take(&mut self.pending_prompt_tokens);
        self.gateway
            .beliefs()
            .engines
            .first_answer(&self.subject.instance, tokens);
        let first_byte_ms = self.gateway.clock.now().since(self.start_time);
        *self.first_byte_ms.get_or_insert(first_byte_ms)
    }

    /// Time from the first byte of the answer's content until now, in milliseconds; 0 before
    /// that byte.
    pub fn streamed_ms(&self) -> u64 {
        let age_ms = self.age_ms();
        self.first_byte_ms
            .map_or(0, |first| age_ms.saturating_sub(first))
    }

    /// The engine.
    pub fn instance(&self) -> &InstanceId {
        &self.subject.instance
    }

    /// When the attempt started.
    pub fn start_time(&self) -> Millis {
        self.start_time
    }

    /// Time since the start of the attempt, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.gateway.clock.now().since(self.start_time)
    }

    /// Records the outcome of the attempt.
    pub fn note_outcome(&self, outcome: Outcome) {
        let now = self.gateway.clock.now();
        let subject = self.subject.clone();
        let observed = ObservedAttempt {
            service: subject.service,
            route: subject.route,
            instance: subject.instance,
            software: subject.software,
            is_repeat: subject.is_repeat,
            outcome,
            first_byte_ms: self.first_byte_ms,
            duration_ms: now.since(self.start_time),
        };
        self.gateway.beliefs().observe(&observed, now);
        if outcome == Outcome::Unreachable {
            self.gateway.engine_check_due.notify(usize::MAX);
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut beliefs = self.gateway.beliefs();
        let subject = &self.subject;
        beliefs
            .engines
            .end(&subject.instance, self.pending_prompt_tokens);
    }
}
