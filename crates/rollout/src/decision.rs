//! What a decider sees, and what it says.

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
    /// When it was heard last, on the decider's clock; nothing if never.
    pub last_heard_at: Option<Millis>,
    /// What it said last of the rollout.
    pub confirmation: Option<Confirmation>,
}

/// Engines of one version that could serve now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionSupply {
    /// The version.
    pub version: SoftwareVersion,
    /// Engines that are up, stay, and have the weights that are required; 0 for a version
    /// of which there are records only.
    pub engines: u32,
}

/// What the decider sees.
#[derive(Clone, Copy, Debug)]
pub struct DeciderInput<'a> {
    /// The time on the decider's clock.
    pub now: Millis,
    /// The order as read last, with its status.
    pub order: &'a RolloutOrder,
    /// When this node saw this order first, on its clock.
    pub order_seen_at: Millis,
    /// When this node saw the present status first, on its clock.
    pub status_seen_at: Millis,
    /// Counts of the fleet; of the rollout that is recorded, else empty.
    pub counts: &'a FleetCounts,
    /// All nodes that the platform lists or that were heard lately, this one too.
    pub members: &'a [Member],
    /// Engines of the service, by version.
    pub engines: &'a [VersionSupply],
    /// Time that requests on established engines and the news of a stage take to come
    /// to their ends, p99, in milliseconds.
    pub barrier_ms: u64,
}

/// Why a stage is to follow, or the present one stays; for the log line.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// A new order.
    Ordered,
    /// A new order for the version that serves alone, or that served alone before the
    /// order it supersedes.
    OrderedBack,
    /// Evidence is gathered.
    GatheringEvidence,
    /// The evidence suffices; the time for the cut-over has not come.
    AwaitingExposure,
    /// The target has not enough engines.
    AwaitingEngines {
        /// That could serve now.
        target: u32,
        /// Of established versions.
        established: u32,
    },
    /// The share rises.
    ShareRaised,
    /// All may move within the bound.
    MayCutOver,
    /// More requests came than expected: moving all would break the bound.
    ExposureAhead,
    /// Nodes have not confirmed yet.
    AwaitingNodes {
        /// How many.
        nodes: u32,
        /// Requests that they have on established engines.
        running: u32,
    },
    /// Every node has confirmed, or been silent long enough.
    AllConfirmed,
    /// The target may be bad: no stage goes forward.
    Suspicious(Finding),
    /// The target is bad.
    Bad(Finding),
    /// It ends without a verdict on the version.
    Abandoned(RollBackCause),
    /// Nothing is left to decide.
    Ended,
}

/// What to write next, and why.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// The progress to store, on the condition of the revision that was read; nothing
    /// when the present one stays.
    pub next: Option<Progress>,
    /// Why.
    pub reason: Reason,
}
