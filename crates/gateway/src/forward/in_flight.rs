//! Counts a request at an engine for as long as it is there.

use crate::state::Gateway;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_policy::ids::Millis;
use std::sync::Arc;

/// A request at an engine. Dropping it takes the request off the engine's
/// load, also when the caller left in the middle.
pub struct InFlight {
    gateway: Arc<Gateway>,
    instance: InstanceId,
    waiting_tokens: u64,
    begun: Millis,
}

impl InFlight {
    /// Counts a request with so many prompt tokens.
    pub fn begin(gateway: &Arc<Gateway>, instance: &InstanceId, prompt_tokens: u64) -> Self {
        let now = gateway.clock.now();
        let mut beliefs = gateway.beliefs();
        beliefs.engines.begin(instance, prompt_tokens, now);
        beliefs.recent_reading.note(prompt_tokens as f64, now);
        drop(beliefs);
        gateway.metrics.attempts.inc();
        Self {
            gateway: Arc::clone(gateway),
            instance: instance.clone(),
            waiting_tokens: prompt_tokens,
            begun: now,
        }
    }

    /// The engine has begun to answer; tells after how many milliseconds.
    pub fn answered(&mut self) -> u64 {
        let tokens = std::mem::take(&mut self.waiting_tokens);
        self.gateway
            .beliefs()
            .engines
            .first_answer(&self.instance, tokens);
        self.gateway.clock.now().since(self.begun)
    }

    /// Notes how the request went.
    pub fn note(&self, outcome: Outcome) {
        let now = self.gateway.clock.now();
        self.gateway
            .beliefs()
            .engines
            .note_outcome(&self.instance, outcome, now);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.gateway
            .beliefs()
            .engines
            .end(&self.instance, self.waiting_tokens);
    }
}
