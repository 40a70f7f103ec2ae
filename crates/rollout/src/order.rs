//! The operator's rollout order, and the status that is recorded with it.

use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;

/// The operator's order to move a service to engines of another software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that is to serve the service.
    pub target: SoftwareVersion,
    /// Time from the order until its deadline, in milliseconds.
    pub duration_ms: u64,
    /// The store's revision of the object that was read; writes of its status raise it
    /// too.
    pub revision: u64,
    /// The recorded status; `None` before its first write.
    pub status: Option<RolloutStatus>,
}

/// State of a rollout as the operator reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Neither version has been given up yet.
    Running,
    /// The target version serves alone; the other engines may stop at once.
    Completed,
    /// The target version gets no requests; its engines may leave.
    RolledBack,
}

/// The status of a rollout as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// State of the rollout.
    pub state: RolloutState,
    /// The target version that this status belongs to; the status may still be that of
    /// an earlier order.
    pub target: SoftwareVersion,
    /// Encoded [`crate::stage::Progress`], from which another decider continues; opaque
    /// to the site's adapter.
    pub progress: String,
}
