//! Outcomes of attempts at engines. They are recorded in one place,
//! [`crate::beliefs::Beliefs::observe`], for health, rollouts and admission alike.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;

/// An attempt at an engine, with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedAttempt {
    /// Service of the engine.
    pub service: ServiceName,
    /// Name of the route.
    pub route: String,
    /// Engine that was tried.
    pub instance: InstanceId,
    /// Software version of the engine.
    pub software: SoftwareVersion,
    /// Whether another engine was tried before.
    pub is_repeat: bool,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time from the send to the first byte of the answer's content, in milliseconds;
    /// `None` if no such byte arrived.
    pub first_byte_ms: Option<u64>,
    /// Time from the send to the outcome, in milliseconds.
    pub duration_ms: u64,
}
