//! Input and output of a gate.

use crate::counts::{Counts, RouteTag};
use crate::credits::Seat;
use crate::stage::{Epoch, RolloutNumber};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::SoftwareRule;

/// Whether the node's process was already running when the order was given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joined {
    /// It was running before the order, so all that it has sent to the target is
    /// counted.
    BeforeOrder,
    /// It started later; a former life may have used its credits.
    AfterOrder,
}

/// The properties of a request that decide whether it goes to the canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CanaryRequest {
    /// The request's route.
    pub route: RouteTag,
    /// Whether it may be executed more than once.
    pub is_repeatable: bool,
    /// Key of the shared part of its prompt.
    pub prompt: Option<ChainKey>,
    /// Whether an attempt at an engine of the target has already failed.
    pub was_failed_by_target: bool,
    /// Whether it was already sent to any engine.
    pub is_retry: bool,
}

/// The node's knowledge of the fleet at the time of a decision.
#[derive(Clone, Copy, Debug)]
pub struct FleetView<'a> {
    /// Sums over the fleet; this node's own reports may or may not be included.
    pub sums: &'a Counts,
    /// The counts of this node's current life that are included in those sums.
    pub own_in_sums: Option<&'a Counts>,
    /// Earliest time at which the current stage may have been read, on this node's
    /// clock: when the request was sent whose response contained it, or the time of its
    /// receipt minus its age.
    pub stage_verified_at: Millis,
    /// This node's seat.
    pub seat: Seat,
}

/// Why a request may go to the versions that the gate allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GateReason {
    /// The request goes to the canary.
    Canary,
    /// The request was not chosen for the canary.
    NotCanary,
    /// This node has no credit left.
    NoCredit,
    /// The fleet's exposure may have reached its bound.
    ExposureBound,
    /// The request was already sent to an engine: the canary gets first attempts only.
    SentBefore,
    /// The last confirmation of the stage is older than
    /// [`crate::share::STAGE_LEASE_MS`].
    StageLeaseExpired,
    /// This node's own answers, or the fleet's counts, show that the target is bad.
    StoppedByEvidence,
    /// The cut-over has begun.
    CuttingOver,
    /// The node lost touch during a cut-over, and a roll back may take effect soon:
    /// neither side is safe.
    LostTouchInCutOver,
    /// The node has been cut off so long that the rollout may have completed.
    SilentTooLong,
    /// The node has not read the stage since its process started.
    StageNotConfirmed,
    /// The target serves alone.
    Completed,
    /// The target gets no requests.
    RolledBack,
}

/// The gate's decision on a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateDecision {
    /// The versions that may serve it; `None` if none may now.
    pub rule: Option<SoftwareRule>,
    /// The reason.
    pub reason: GateReason,
}

/// A node's confirmation of a stage, for the decider.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The rollout.
    pub rollout: RolloutNumber,
    /// The epoch of the stage.
    pub epoch: Epoch,
    /// Whether the node sends no more requests to established engines, until a later
    /// epoch allows it again.
    pub has_left_established: bool,
    /// Requests that it still runs on established engines, including those being sent.
    pub running_on_established: u32,
    /// Whether it has stopped sending to the target because of its own answers alone.
    pub has_stopped: bool,
}
