//! The gate of a node: decides which versions may serve a request.
//!
//! Two bounds hold at once. A node uses the credits of its own seat (see
//! [`crate::credits`]), which needs no coordination; and where the fleet's counts show
//! that other nodes leave theirs unused, it may use some of those, up to a second,
//! higher number of its own. Which of its requests go to the target depends on the
//! shared parts of their prompts, so that the same prompts warm the target's caches on
//! each node.

use crate::canary_choice::{is_canary_request, Urgency};
use crate::counts::{Answer, CountReport, Counts, RouteTag, Side};
use crate::credits::{fleet_credits, owned_credits};
use crate::excess::many_bad_answers;
use crate::finding::Finding;
use crate::own_stop::OwnStop;
use crate::schedule;
use crate::settings::RolloutSettings;
use crate::stage::{Epoch, Progress, Stage, MILLION};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::software::{SoftwareRule, SoftwareVersion};

pub use crate::gate_terms::{
    CanaryRequest, Confirmation, FleetView, GateDecision, GateReason, Joined,
};

/// Age of the last confirmation of the stage beyond which a node sends nothing to the
/// target, in milliseconds. Must be below `roll_back_ms` by the time that an order to
/// stop takes.
pub const STAGE_LEASE_MS: u64 = 2_000;
/// Part of `roll_back_ms` that is left when a node stops that has lost touch during a
/// cut-over, in milliseconds. A change of stage reaches the nodes in less time.
pub const LOST_TOUCH_MARGIN_MS: u64 = 1_000;
/// Time after which a restarted node knows what its former life has used, in
/// milliseconds: five reports of its peers.
pub const SETTLE_MS: u64 = 1_000;
/// Number of credits that the fleet must leave unused before a node uses more than its
/// own.
const MIN_UNUSED_CREDITS: u64 = 4;
/// Divisor of all credits: the unused ones must also be at least this part of them.
const UNUSED_CREDITS_DIVISOR: u64 = 8;
/// Number of requests of the fleet after which the turn to use more passes to another
/// node.
const TURN_REQUESTS: u64 = 16;
/// Divisor of the slack: this part is reserved for arrivals that nodes have not reported
/// yet.
const RESERVED_SLACK_DIVISOR: u64 = 4;

/// A node's gate for one rollout. It is kept from the first time that the node learns of
/// the rollout's progress until another rollout of the service supersedes it.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: RolloutSettings,
    target: SoftwareVersion,
    progress: Progress,
    began_at: Millis,
    joined: Joined,
    /// Credits of this seat that a former life of the node may have used; `None` until
    /// known.
    former_life_credits: Option<FormerLifeCredits>,
    own: Counts,
    own_stop: OwnStop,
    /// Epoch for which this node has confirmed that it sends established engines nothing
    /// more.
    left_established: Option<Epoch>,
}

/// Credits that were available to a former life of the node.
#[derive(Clone, Copy, Debug, Default)]
struct FormerLifeCredits {
    own: u64,
    cap: u64,
}

impl Gate {
    /// Creates the gate of a rollout whose progress this node has just learned.
    pub fn new(
        settings: RolloutSettings,
        target: SoftwareVersion,
        progress: Progress,
        joined: Joined,
        now: Millis,
    ) -> Self {
        let former_life_credits = match joined {
            Joined::BeforeOrder => Some(FormerLifeCredits::default()),
            Joined::AfterOrder => None,
        };
        Self {
            settings,
            target,
            progress,
            began_at: now,
            joined,
            former_life_credits,
            own: Counts::default(),
            own_stop: OwnStop::default(),
            left_established: None,
        }
    }

    /// Updates the progress of the same rollout; older epochs are ignored.
    pub fn update_progress(&mut self, progress: Progress) {
        if progress.rollout == self.progress.rollout && progress.epoch > self.progress.epoch {
            self.progress = progress;
        }
    }

    /// The progress that the gate enforces.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// The target version of the rollout.
    pub fn target(&self) -> &SoftwareVersion {
        &self.target
    }

    /// The counts of this node.
    pub fn own_counts(&self) -> &Counts {
        &self.own
    }

    /// Why this node stopped sending to the target because of its own answers alone, if
    /// it did.
    pub fn own_finding(&self) -> Option<&Finding> {
        self.own_stop.finding()
    }

    /// Updates what a restarted node assumes that its former life has used. Call it at
    /// each tick.
    pub fn advance(&mut self, view: &FleetView<'_>, now: Millis) {
        if self.former_life_credits.is_some() || now.since(self.began_at) < SETTLE_MS {
            return;
        }
        if view.stage_verified_at < self.began_at {
            return;
        }
        self.former_life_credits = Some(FormerLifeCredits {
            own: self.own_credits(view),
            cap: self.cap_credits(view),
        });
    }

    /// Decides which versions may serve a request. Changes no state: attempts that are
    /// then sent are counted by [`Self::note_request`] and
    /// [`Self::note_target_arrival`].
    pub fn decide(
        &self,
        request: &CanaryRequest,
        view: &FleetView<'_>,
        now: Millis,
    ) -> GateDecision {
        match self.progress.stage {
            Stage::Completed => self.completed(),
            Stage::RolledBack { .. } => self.without_target(GateReason::RolledBack),
            Stage::CuttingOver => self.decide_in_cut_over(view, now),
            Stage::Canary { share_ppm } => self.decide_in_canary(request, view, share_ppm, now),
        }
    }

    /// Counts a request that reached the service, when its first attempt is sent.
    pub fn note_request(&mut self, route: RouteTag, is_repeatable: bool) {
        self.own.note_request(route, is_repeatable);
    }

    /// Counts an attempt that is sent to an engine of the target.
    pub fn note_target_arrival(&mut self, route: RouteTag) {
        self.own.note_target_arrival(route);
    }

    /// Counts the outcome of an attempt.
    pub fn note_answer(&mut self, route: RouteTag, side: Side, answer: &Answer) {
        self.own.note_answer(route, side, answer);
        if side == Side::Target {
            let own = &self.own.routes[&route];
            self.own_stop.note(route, answer.has_failed, own);
        }
    }

    /// Creates the report for the fleet.
    pub fn report(&self, node: PeerId, life: u64) -> CountReport {
        CountReport {
            rollout: self.progress.rollout,
            node,
            life,
            counts: self.own.clone(),
        }
    }

    /// Creates the confirmation of the current stage for the decider. Once it confirms
    /// that established engines get no requests, the node keeps to that until a later
    /// epoch.
    pub fn confirm(&mut self, running_on_established: u32) -> Confirmation {
        let is_leaving = matches!(self.progress.stage, Stage::CuttingOver | Stage::Completed);
        let has_stopped = self.own_stop.finding().is_some();
        if is_leaving && !has_stopped {
            self.left_established = Some(self.progress.epoch);
        }
        Confirmation {
            rollout: self.progress.rollout,
            epoch: self.progress.epoch,
            has_left_established: self.has_left_established(),
            running_on_established,
            has_stopped,
        }
    }

    fn has_left_established(&self) -> bool {
        self.left_established == Some(self.progress.epoch)
    }

    fn decide_in_cut_over(&self, view: &FleetView<'_>, now: Millis) -> GateDecision {
        if !self.has_verified_stage(view) {
            return no_version(GateReason::StageNotConfirmed);
        }
        if now.since(view.stage_verified_at) > self.lost_touch_ms() {
            return no_version(GateReason::LostTouchInCutOver);
        }
        if !self.is_stopped(view) {
            return self.only_target(GateReason::CuttingOver);
        }
        match self.has_left_established() {
            true => no_version(GateReason::StoppedByEvidence),
            false => self.without_target(GateReason::StoppedByEvidence),
        }
    }

    /// Age of the last confirmation of a cut-over up to which the target keeps serving
    /// while there is no evidence against it, in milliseconds. The store may be
    /// unavailable for seconds, and stopping then would leave neither side; but a node
    /// that is cut off from a roll back must stop in time.
    fn lost_touch_ms(&self) -> u64 {
        let roll_back_ms = self.settings.roll_back_ms;
        let by_bound = roll_back_ms.saturating_sub(LOST_TOUCH_MARGIN_MS);
        by_bound.max(STAGE_LEASE_MS.min(roll_back_ms))
    }

    fn decide_in_canary(
        &self,
        request: &CanaryRequest,
        view: &FleetView<'_>,
        share_ppm: u32,
        now: Millis,
    ) -> GateDecision {
        if !self.has_verified_stage(view) {
            return no_version(GateReason::StageNotConfirmed);
        }
        let stage_age_ms = now.since(view.stage_verified_at);
        if stage_age_ms > self.settings.silence_bound_ms {
            return no_version(GateReason::SilentTooLong);
        }
        if stage_age_ms > STAGE_LEASE_MS {
            return self.without_target(GateReason::StageLeaseExpired);
        }
        if self.is_stopped(view) {
            return self.without_target(GateReason::StoppedByEvidence);
        }
        if request.is_retry || request.was_failed_by_target {
            return self.without_target(GateReason::SentBefore);
        }
        if self.is_at_exposure_bound(view) {
            return self.without_target(GateReason::ExposureBound);
        }
        let Some(urgency) = self.urgency(view, share_ppm) else {
            return self.without_target(GateReason::NoCredit);
        };
        let known = self.known_counts(view);
        match is_canary_request(request, &known, share_ppm, self.progress.rollout, urgency) {
            true => self.only_target(GateReason::Canary),
            false => self.without_target(GateReason::NotCanary),
        }
    }

    /// A restarted node must not rely on a confirmation from before its start: its
    /// former life may have confirmed a later stage.
    fn has_verified_stage(&self, view: &FleetView<'_>) -> bool {
        self.joined == Joined::BeforeOrder || view.stage_verified_at >= self.began_at
    }

    fn is_stopped(&self, view: &FleetView<'_>) -> bool {
        let is_cutting_over = self.progress.stage == Stage::CuttingOver;
        self.own_stop.finding().is_some() || many_bad_answers(view.sums, is_cutting_over).is_some()
    }

    /// Whether one more arrival could exceed the bound, by the counts known here.
    fn is_at_exposure_bound(&self, view: &FleetView<'_>) -> bool {
        let slack = self.settings.canary_slack;
        let usable = slack - slack / RESERVED_SLACK_DIVISOR;
        let share = self.settings.canary_share * self.requests(view) as f64;
        (self.target_arrivals(view) + 1) as f64 > share + usable as f64
    }

    /// Whether this node may send one more request to the target, and how urgently the
    /// fleet needs it.
    fn urgency(&self, view: &FleetView<'_>, share_ppm: u32) -> Option<Urgency> {
        let before = self.former_life_credits?;
        let used = self.own.target_arrivals();
        let fleet = self.fleet_credits(view, share_ppm);
        let unused = fleet.saturating_sub(self.target_arrivals(view));
        let are_many_unused = unused >= MIN_UNUSED_CREDITS.max(fleet / UNUSED_CREDITS_DIVISOR);
        if self.own_credits(view) > before.own + used {
            return Some(match are_many_unused {
                true => Urgency::AnyPrompt,
                false => Urgency::PreferredPrompts,
            });
        }
        let may_use_others = are_many_unused
            && self.cap_credits(view) > before.cap + used
            && self.unreported_arrivals(view) < self.turn_share_of_unused(unused, view);
        may_use_others.then_some(Urgency::AnyPrompt)
    }

    /// Number of the unused credits that this node may use, in rotation.
    fn turn_share_of_unused(&self, unused: u64, view: &FleetView<'_>) -> u64 {
        let turn = self.progress.rollout.0 + self.requests(view) / TURN_REQUESTS;
        owned_credits(unused, view.seat, turn)
    }

    fn own_credits(&self, view: &FleetView<'_>) -> u64 {
        let share_ppm = match self.progress.stage {
            Stage::Canary { share_ppm } => share_ppm,
            _ => 0,
        };
        let credits = self.fleet_credits(view, share_ppm);
        owned_credits(credits, view.seat, self.progress.rollout.0)
    }

    /// The fleet's credits since the order, accumulated over the shares of all stages.
    fn fleet_credits(&self, view: &FleetView<'_>, share_ppm: u32) -> u64 {
        let requests_since_stage = self.requests(view).saturating_sub(self.progress.requests);
        fleet_credits(
            requests_since_stage,
            u64::from(share_ppm),
            self.progress.credits,
        )
    }

    fn cap_credits(&self, view: &FleetView<'_>) -> u64 {
        let cap_ppm = schedule::node_cap_share(&self.settings) * MILLION as f64;
        let start = schedule::start_credits(&self.settings);
        let credits = fleet_credits(self.requests(view), cap_ppm as u64, start);
        owned_credits(credits, view.seat, self.progress.rollout.0)
    }

    /// The fleet's sums plus the counts that this node has not reported yet.
    fn known_counts(&self, view: &FleetView<'_>) -> Counts {
        let mut known = view.sums.clone();
        match view.own_in_sums {
            Some(reported) => known.add(&self.own.since(reported)),
            None => known.add(&self.own),
        }
        known
    }

    fn requests(&self, view: &FleetView<'_>) -> u64 {
        let reported = view.own_in_sums.map_or(0, Counts::requests);
        view.sums.requests() + self.own.requests().saturating_sub(reported)
    }

    fn target_arrivals(&self, view: &FleetView<'_>) -> u64 {
        view.sums.target_arrivals() + self.unreported_arrivals(view)
    }

    fn unreported_arrivals(&self, view: &FleetView<'_>) -> u64 {
        let reported = view.own_in_sums.map_or(0, Counts::target_arrivals);
        self.own.target_arrivals().saturating_sub(reported)
    }

    fn only_target(&self, reason: GateReason) -> GateDecision {
        GateDecision {
            rule: Some(SoftwareRule::Only(self.target.clone())),
            reason,
        }
    }

    /// Excludes the versions that the rollout replaced. Versions that appear later
    /// without an order are not affected by it.
    fn completed(&self) -> GateDecision {
        let avoided = self.progress.avoided.iter();
        let left = avoided.chain(&self.progress.established).cloned();
        GateDecision {
            rule: Some(SoftwareRule::ExceptAll(left.collect())),
            reason: GateReason::Completed,
        }
    }

    /// Allows established engines only: neither the target nor versions that earlier
    /// orders did not complete.
    fn without_target(&self, reason: GateReason) -> GateDecision {
        let avoided = &self.progress.avoided;
        let rule = match avoided.is_empty() {
            true => SoftwareRule::Except(self.target.clone()),
            false => {
                let target = std::iter::once(&self.target);
                SoftwareRule::ExceptAll(target.chain(avoided).cloned().collect())
            }
        };
        GateDecision {
            rule: Some(rule),
            reason,
        }
    }
}

fn no_version(reason: GateReason) -> GateDecision {
    GateDecision { rule: None, reason }
}
