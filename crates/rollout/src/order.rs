//! What the operator orders, and the state that the product records with it.

use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;

/// The operator's order to move a service to engines of another software version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version that is to serve it.
    pub target: SoftwareVersion,
    /// Time from the order until its deadline, in milliseconds.
    pub duration_ms: u64,
    /// The store's revision of the object that was read; the product's own writes of
    /// its status raise it too.
    pub revision: u64,
    /// What the product has recorded; nothing before its first write.
    pub status: Option<RolloutStatus>,
}

/// How far a rollout is, as the operator reads it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// Neither version is given up yet.
    Running,
    /// The target version serves alone; the other engines may stop at once.
    Completed,
    /// The target version serves nothing; its engines may leave.
    RolledBack,
}

/// The status of a rollout as it is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    /// How far it is.
    pub state: RolloutState,
    /// The version that the status is about: an older order's status is not the
    /// present one's.
    pub target: SoftwareVersion,
    /// What a successor of the present decider needs to go on, in the product's own
    /// words; opaque to the site's adapter.
    pub progress: String,
}
