//! Input and output of the decider.

use crate::counts::FleetCounts;
use crate::finding::Finding;
use crate::gate_terms::Confirmation;
use crate::order::RolloutOrder;
use crate::stage::{Progress, RollBackCause};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::software::SoftwareVersion;

/// A node of the fleet, as the decider knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node.
    pub node: PeerId,
    /// When its last report arrived, on the decider's clock; `None` if none has arrived.
    pub last_heard_at: Option<Millis>,
    /// Its latest confirmation of a stage of the rollout.
    pub confirmation: Option<Confirmation>,
}

/// Number of engines of one version that can serve requests now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSupply {
    /// The version.
    pub version: SoftwareVersion,
    /// Engines that are up, are not leaving and have the required weights; 0 for a
    /// version of which only records exist.
    pub engines: u32,
}

/// Everything that a decision is based on.
#[derive(Clone, Copy, Debug)]
pub struct DeciderInput<'a> {
    /// The current time on the decider's clock.
    pub now: Millis,
    /// The order as last read from the store, with its status.
    pub order: &'a RolloutOrder,
    /// When this node first read this order, on its clock.
    pub order_seen_at: Millis,
    /// When this node first read the current status, on its clock.
    pub status_seen_at: Millis,
    /// Counts of the fleet for the recorded rollout; empty if no rollout is recorded.
    pub counts: &'a FleetCounts,
    /// All nodes that the platform lists or that reported recently, including this one.
    pub members: &'a [Member],
    /// Engines of the service, by version.
    pub engines: &'a [VersionSupply],
    /// Time, p99 in milliseconds, that requests on established engines take to finish
    /// and that a change of stage takes to reach the nodes.
    pub barrier_ms: u64,
}

/// Why the next stage is entered or the current one is kept; written to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// A new order.
    Ordered,
    /// A new order for a version that already serves alone, or that served alone before
    /// the order that this one supersedes.
    OrderedBack,
    /// The evidence does not suffice yet.
    GatheringEvidence,
    /// The evidence suffices, but the exposure bound or the strategy does not allow the
    /// cut-over yet.
    AwaitingExposure,
    /// The target version has too few engines.
    AwaitingEngines {
        /// Engines of the target that can serve now.
        target: u32,
        /// Engines of established versions that can serve now.
        established: u32,
    },
    /// The target's share of the requests is raised.
    ShareRaised,
    /// All requests may move to the target within the exposure bound.
    MayCutOver,
    /// More requests arrived than expected: continuing the cut-over would exceed the
    /// exposure bound.
    ExposureAhead,
    /// Some nodes have not confirmed the cut-over yet.
    AwaitingNodes {
        /// Number of those nodes.
        nodes: u32,
        /// Requests that they still run on established engines.
        running: u32,
    },
    /// Every node has confirmed the cut-over or has been silent long enough to serve
    /// nothing.
    AllConfirmed,
    /// The target may be bad: the rollout does not advance.
    Suspicious(Finding),
    /// The target is bad.
    Bad(Finding),
    /// The rollout ends without a verdict on the version.
    Abandoned(RollBackCause),
    /// The rollout has reached a terminal stage.
    Ended,
}

/// The result of one decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The progress to store if the order's revision is still the one that was read;
    /// `None` keeps the current one.
    pub next: Option<Progress>,
    /// The reason, for the log.
    pub reason: Reason,
}
