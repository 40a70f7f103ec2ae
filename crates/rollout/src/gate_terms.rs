//! What a gate is asked and what it says.

use crate::counts::{Counts, RouteTag};
use crate::credits::Seat;
use crate::stage::{Epoch, RolloutNumber};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::SoftwareRule;

/// Whether this life of the node was there before the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    /// It ran before the order: it has sent the target nothing uncounted.
    BeforeOrder,
    /// It started later: a former life may have used its credits.
    AfterOrder,
}

/// A request, as far as its choice for the canary goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryRequest {
    /// Its route.
    pub route: RouteTag,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// Key of the shared part of its prompt.
    pub prompt: Option<ChainKey>,
    /// Whether an engine of the target has failed it already.
    pub was_failed_by_target: bool,
    /// Whether it was sent to any engine already.
    pub is_retry: bool,
}

/// What the node knows of the fleet at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Sums over the fleet, this node's own reports among them or not.
    pub sums: &'a Counts,
    /// This node's own counts as they are contained in those sums, of this life.
    pub own_in_sums: Option<&'a Counts>,
    /// When the news of the present stage was issued, at the earliest, on this node's
    /// clock: the send of the question whose answer told it, or its receipt less its
    /// age.
    pub stage_verified_at: Millis,
    /// This node's seat.
    pub seat: Seat,
}

/// Why a request may go where it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateReason {
    /// It is one of the canary's.
    Canary,
    /// It is not one of the canary's.
    NotCanary,
    /// No credit is left to this node.
    NoCredit,
    /// The fleet's exposure may be at its bound.
    ExposureBound,
    /// It was sent before: the canary gets first attempts only.
    SentBefore,
    /// The news of the stage is older than [`crate::share::STAGE_LEASE_MS`].
    StageLeaseExpired,
    /// This node, or the counts it knows, show the target as bad.
    StoppedByEvidence,
    /// The cut-over has begun.
    CuttingOver,
    /// The cut-over had begun when this node lost touch, and a roll back may be in force
    /// soon: neither side is safe.
    LostTouchInCutOver,
    /// This node has been silent so long that the rollout may have completed.
    SilentTooLong,
    /// This life of the node has not heard of the stage since it began.
    StageNotConfirmed,
    /// The target serves alone.
    Completed,
    /// The target serves nothing.
    RolledBack,
}

/// What the gate says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateDecision {
    /// Which versions may serve it; nothing when none may now.
    pub rule: Option<SoftwareRule>,
    /// Why.
    pub reason: GateReason,
}

/// What a node says to the decider of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The stage by its epoch.
    pub epoch: Epoch,
    /// Whether it sends established engines nothing more, for good unless a later
    /// epoch says otherwise.
    pub has_left_established: bool,
    /// Requests that it still has on established engines, those being sent among them.
    pub running_on_established: u32,
    /// Whether it has stopped sending to the target by what it saw alone.
    pub has_stopped: bool,
}
