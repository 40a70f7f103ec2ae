//! A node's gate: which versions may serve this request.
//!
//! Two bounds hold at once. A node uses the credits of its own seat only (see
//! [`crate::credits`]), which needs nobody's word; and where the fleet's counts show
//! that others leave theirs unused, it may use some of those, up to a second, higher
//! number of its own. Which of its requests go is decided by their prompts' shared
//! parts, so that the same prompts warm the target's caches at each node.

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

/// Age of the news of a rollout's stage after which a node sends the target nothing, in
/// milliseconds. Must be below `roll_back_ms` by what an order to stop takes.
pub const STAGE_LEASE_MS: u64 = 2_000;
/// Part of `roll_back_ms` that is left, in milliseconds, when a node that has lost touch
/// in a cut-over stops: news of a stage travel for less.
pub const LOST_TOUCH_MARGIN_MS: u64 = 1_000;
/// Time after which a node of a later life knows what its former life has used, in
/// milliseconds: five reports of its peers.
pub const SETTLE_MS: u64 = 1_000;
/// Credits that the fleet leaves unused before a node uses more than its own, and the
/// part of all credits that they must be too.
const MIN_UNUSED_CREDITS: u64 = 4;
/// See [`MIN_UNUSED_CREDITS`]: one of so many.
const UNUSED_CREDITS_DIVISOR: u64 = 8;
/// Requests of the fleet after which it is another node's turn to use more.
const TURN_REQUESTS: u64 = 16;
/// Part of the slack that the canary leaves to what nodes have not reported yet: one of
/// so many.
const RESERVED_SLACK_DIVISOR: u64 = 4;

/// A node's gate for one rollout. Kept from the first sight of its progress until
/// another rollout of the service supersedes it.
#[derive(Clone, Debug)]
pub struct Gate {
    settings: RolloutSettings,
    target: SoftwareVersion,
    progress: Progress,
    began_at: Millis,
    joined: Joined,
    /// Credits of this seat that a former life may have used.
    former_life_credits: Option<FormerLifeCredits>,
    own: Counts,
    own_stop: OwnStop,
    /// The stage of which this node said that it has left established engines.
    left_established: Option<Epoch>,
}

/// Credits that were there for a former life.
#[derive(Clone, Copy, Debug, Default)]
struct FormerLifeCredits {
    own: u64,
    cap: u64,
}

impl Gate {
    /// The gate of a rollout whose progress this node has just learned.
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

    /// Takes in a stage of the same rollout; older epochs change nothing.
    pub fn update_progress(&mut self, progress: Progress) {
        if progress.rollout == self.progress.rollout && progress.epoch > self.progress.epoch {
            self.progress = progress;
        }
    }

    /// The stage that it keeps to.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// The version that the rollout is about.
    pub fn target(&self) -> &SoftwareVersion {
        &self.target
    }

    /// What this node has counted.
    pub fn own_counts(&self) -> &Counts {
        &self.own
    }

    /// Why this node stopped sending to the target by what it saw alone, if it did.
    pub fn own_finding(&self) -> Option<&Finding> {
        self.own_stop.finding()
    }

    /// To be called at each tick: a node of a later life learns by and by what its
    /// former life may have used.
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

    /// Which versions may serve a request. Changes nothing; what is then sent is told
    /// by [`Self::note_request`] and [`Self::note_target_arrival`].
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

    /// A request reached the service: its first attempt is sent.
    pub fn note_request(&mut self, route: RouteTag, is_repeatable: bool) {
        self.own.note_request(route, is_repeatable);
    }

    /// An attempt is sent to an engine of the target.
    pub fn note_target_arrival(&mut self, route: RouteTag) {
        self.own.note_target_arrival(route);
    }

    /// An attempt ended.
    pub fn note_answer(&mut self, route: RouteTag, side: Side, answer: &Answer) {
        self.own.note_answer(route, side, answer);
        if side == Side::Target {
            let own = &self.own.routes[&route];
            self.own_stop.note(route, answer.has_failed, own);
        }
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

    /// Age of the news of a cut-over up to which the target serves on while nothing
    /// speaks against it, in milliseconds. The store may be away for seconds, and neither
    /// side would be left; whoever is cut off from a roll back must stop in time.
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

    /// A later life must not rely on news from before it began: a former life may have
    /// confirmed a later stage.
    fn has_verified_stage(&self, view: &FleetView<'_>) -> bool {
        self.joined == Joined::BeforeOrder || view.stage_verified_at >= self.began_at
    }

    fn is_stopped(&self, view: &FleetView<'_>) -> bool {
        let is_cutting_over = self.progress.stage == Stage::CuttingOver;
        self.own_stop.finding().is_some() || many_bad_answers(view.sums, is_cutting_over).is_some()
    }

    /// Whether one more arrival may be too many by the bound, by what is known.
    fn is_at_exposure_bound(&self, view: &FleetView<'_>) -> bool {
        let slack = self.settings.canary_slack;
        let usable = slack - slack / RESERVED_SLACK_DIVISOR;
        let share = self.settings.canary_share * self.requests(view) as f64;
        (self.target_arrivals(view) + 1) as f64 > share + usable as f64
    }

    /// Whether this node may send one more, and how much the fleet wants it.
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

    /// How many of the unused credits are this node's to use, in turn.
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

    /// The fleet's credits since the order, by the shares of all stages.
    fn fleet_credits(&self, view: &FleetView<'_>, share_ppm: u32) -> u64 {
        let since = self.requests(view).saturating_sub(self.progress.requests);
        fleet_credits(since, u64::from(share_ppm), self.progress.credits)
    }

    fn cap_credits(&self, view: &FleetView<'_>) -> u64 {
        let cap_ppm = schedule::node_cap_share(&self.settings) * MILLION as f64;
        let start = schedule::start_credits(&self.settings);
        let credits = fleet_credits(self.requests(view), cap_ppm as u64, start);
        owned_credits(credits, view.seat, self.progress.rollout.0)
    }

    /// The fleet's sums with what this node has not reported yet.
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

    /// None of the versions that were left; those that come later without an order are
    /// no concern of the rollout.
    fn completed(&self) -> GateDecision {
        let avoided = self.progress.avoided.iter();
        let left = avoided.chain(&self.progress.established).cloned();
        GateDecision {
            rule: Some(SoftwareRule::ExceptAll(left.collect())),
            reason: GateReason::Completed,
        }
    }

    /// Established engines alone: neither the target nor what older orders left
    /// without proof.
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
