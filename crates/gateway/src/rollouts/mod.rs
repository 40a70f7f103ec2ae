//! Rollouts of engines' software: what this node believes of them.

use crate::outcomes::ObservedAttempt;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareRule;

/// What this node believes of the rollouts.
#[derive(Debug, Default)]
pub struct RolloutBeliefs {}

impl RolloutBeliefs {
    /// Versions that may serve the next request to a service.
    pub fn software_rule(&self, _service: &ServiceName) -> SoftwareRule {
        SoftwareRule::Any
    }

    /// Takes in how an attempt went.
    pub fn observe(&mut self, _attempt: &ObservedAttempt, _now: Millis) {}
}
