//! How attempts at engines went. There is one place where this is taken in,
//! [`crate::beliefs::Beliefs::observe`], for health, rollouts and admission alike.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::health::Outcome;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;

/// An attempt at an engine, and how it went.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObservedAttempt {
    /// The service.
    pub service: ServiceName,
    /// Name of the route.
    pub route: String,
    /// The engine.
    pub instance: InstanceId,
    /// The version of its software.
    pub software: SoftwareVersion,
    /// Whether another engine was tried before.
    pub is_repeat: bool,
    /// How it went.
    pub outcome: Outcome,
    /// Time from the send to the first byte of the answer's content, in
    /// milliseconds; nothing when none came.
    pub first_byte_ms: Option<u64>,
    /// Time from the send to the outcome, in milliseconds.
    pub duration_ms: u64,
}
