//! One service's rollout at this node: its gate, what the fleet has counted, and what
//! the nodes have confirmed.

use super::seat::OwnSeat;
use crate::peers::rollout_messages::ServiceTag;
use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_rollout::counts::{CountReport, Counts, FleetCounts};
use ploverlift_rollout::evidence::Finding;
use ploverlift_rollout::first_byte::{bucket_end_ms, FirstByteHistogram, BUCKETS};
use ploverlift_rollout::order::RolloutOrder;
use ploverlift_rollout::settings::RolloutSettings;
use ploverlift_rollout::share::{Confirmation, FleetView, Gate, Joined};
use ploverlift_rollout::stage::{Progress, ProgressError, Recorded, RolloutNumber, Stage};
use ploverlift_routing::software::SoftwareVersion;
use std::collections::{BTreeMap, BTreeSet};

/// Age of a relay's sums after which this node's own knowledge goes before them, in
/// milliseconds: as long as a relay counts that is silent.
const MAX_SUMS_AGE_MS: u64 = 800;

/// Part of the requests that may take longer than the time in which nearly all end: one
/// of so many.
const SLOWEST_ONE_IN: u64 = 100;

/// Sums over the fleet as a relay told them.
#[derive(Clone, Debug)]
struct ReportedSums {
    counts: Counts,
    own: Option<Counts>,
    reported_at: Millis,
}

/// Sums over the fleet, and what of them is this node's.
pub struct KnownSums<'a> {
    /// The sums.
    pub sums: &'a Counts,
    /// This node's own counts in them.
    pub own: Option<&'a Counts>,
}

/// What is known of another node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// When it was heard last.
    pub last_report_at: Millis,
    /// What it reported last of the present rollout.
    pub confirmation: Option<Confirmation>,
    /// Whether it reports to this node itself.
    pub is_in_own_zone: bool,
}

impl MemberState {
    /// Takes in what the node reported, by itself or through relays: the later epoch
    /// stands, and of one epoch the last word.
    pub fn update_confirmation(&mut self, announced: Confirmation) {
        let known = self.confirmation.map(|known| (known.rollout, known.epoch));
        if known <= Some((announced.rollout, announced.epoch)) {
            self.confirmation = Some(announced);
        }
    }
}

/// A stage that this node has just taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// The stage before, of the same rollout.
    pub before: Option<Stage>,
    /// What is in force now.
    pub progress: Progress,
}

/// One service's rollout.
#[derive(Debug)]
pub struct ServiceRollout {
    tag: ServiceTag,
    order: RolloutOrder,
    /// When this node first knew this order, whatever its status.
    order_seen_at: Millis,
    /// When this node first knew its present status.
    status_seen_at: Millis,
    pub(super) gate: Option<Gate>,
    /// The version that the gate's rollout moves to.
    pub(super) gate_target: SoftwareVersion,
    /// The order's target, while no stage of the order is recorded.
    pub(super) pending_target: Option<SoftwareVersion>,
    /// Revision at which the gate's rollout was seen to be complete.
    pub(super) completed_at: Option<u64>,
    /// Engines that served before it was complete, each by its life: they are stopped.
    pub(super) retired: BTreeSet<InstanceId>,
    /// Whether the operator has taken the order away before its end.
    pub(super) is_withdrawn: bool,
    /// Whether it was told that this node stops by what it saw alone.
    has_reported_stop: bool,
    /// Counts of all nodes; other zones' relays are one node each.
    fleet: FleetCounts,
    /// Counts of this zone's nodes.
    zone: FleetCounts,
    reported: Option<ReportedSums>,
    /// Times of requests at established engines, whole.
    established_ms: FirstByteHistogram,
    /// Other nodes.
    pub members: BTreeMap<PeerId, MemberState>,
}

impl ServiceRollout {
    /// A rollout whose order is known and nothing else.
    pub fn new(order: RolloutOrder, now: Millis) -> Self {
        Self {
            tag: ServiceTag::of(&order.service),
            pending_target: Some(order.target.clone()),
            gate_target: order.target.clone(),
            order,
            order_seen_at: now,
            status_seen_at: now,
            gate: None,
            completed_at: None,
            retired: BTreeSet::new(),
            is_withdrawn: false,
            has_reported_stop: false,
            fleet: FleetCounts::default(),
            zone: FleetCounts::default(),
            reported: None,
            established_ms: FirstByteHistogram::default(),
            members: BTreeMap::new(),
        }
    }

    /// Takes in the order with its status; tells of a stage that is new here.
    ///
    /// # Errors
    /// When the status can't be read: the target then gets nothing.
    pub fn apply_order(
        &mut self,
        order: RolloutOrder,
        settings: RolloutSettings,
        first_known: Option<u64>,
        now: Millis,
    ) -> Result<Option<StageChange>, ProgressError> {
        let is_same = self.order.target == order.target
            && self.order.duration_ms == order.duration_ms
            && !self.is_withdrawn;
        if !is_same {
            self.order_seen_at = now;
        }
        if self.order.status != order.status {
            self.status_seen_at = now;
        }
        self.is_withdrawn = false;
        self.order = order;
        let recorded = Recorded::of(&self.order);
        self.pending_target = match &recorded {
            Ok(Recorded::Present(_)) => None,
            _ => Some(self.order.target.clone()),
        };
        let recorded = recorded?;
        let is_present = recorded.present().is_some();
        let progress = match recorded {
            Recorded::Nothing => return Ok(None),
            Recorded::OfOlderOrder(progress) | Recorded::Present(progress) => progress,
        };
        let target = self.order.status.as_ref();
        let target = target.map_or_else(|| self.order.target.clone(), |known| known.target.clone());
        let is_complete = is_present && progress.stage == Stage::Completed;
        let change = self.take_progress(progress, target, settings, first_known, now);
        if is_complete && self.completed_at.is_none() {
            self.completed_at = Some(self.order.revision);
        }
        Ok(change)
    }

    fn take_progress(
        &mut self,
        progress: Progress,
        target: SoftwareVersion,
        settings: RolloutSettings,
        first_known: Option<u64>,
        now: Millis,
    ) -> Option<StageChange> {
        let present = self.gate.as_mut();
        if let Some(gate) = present.filter(|gate| gate.progress().rollout == progress.rollout) {
            let before = gate.progress().clone();
            gate.update_progress(progress.clone());
            let is_new_epoch = before.epoch != gate.progress().epoch;
            return is_new_epoch.then_some(StageChange {
                before: Some(before.stage),
                progress,
            });
        }
        let joined = match first_known.is_some_and(|known| known < progress.rollout.0) {
            true => Joined::BeforeOrder,
            false => Joined::AfterOrder,
        };
        self.supersede();
        self.gate_target = target.clone();
        self.fleet = FleetCounts::of(progress.rollout);
        self.zone = FleetCounts::of(progress.rollout);
        self.gate = Some(Gate::new(settings, target, progress.clone(), joined, now));
        Some(StageChange {
            before: None,
            progress,
        })
    }

    /// Another rollout takes the place of the gate's.
    fn supersede(&mut self) {
        self.completed_at = None;
        self.reported = None;
        self.has_reported_stop = false;
        self.members.values_mut().for_each(|member| {
            member.confirmation = None;
        });
    }

    /// The operator has taken the order away.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Short name of the service.
    pub fn tag(&self) -> ServiceTag {
        self.tag
    }

    /// When this node first knew the order.
    pub fn order_seen_at(&self) -> Millis {
        self.order_seen_at
    }

    /// When this node first knew its status.
    pub fn status_seen_at(&self) -> Millis {
        self.status_seen_at
    }

    /// Whether the stage has been proven since this node knew of the rollout, where a
    /// former life of it may have acted on a later one.
    pub fn is_stage_proven(&self, proven_at: Option<Millis>) -> bool {
        !self.is_open() || proven_at >= Some(self.status_seen_at)
    }

    /// The gate, once a stage is known.
    pub fn gate(&self) -> Option<&Gate> {
        self.gate.as_ref()
    }

    /// The gate, to count.
    pub fn gate_mut(&mut self) -> Option<&mut Gate> {
        self.gate.as_mut()
    }

    /// The version that the gate's rollout moves to.
    pub fn gate_target(&self) -> &SoftwareVersion {
        &self.gate_target
    }

    /// Whether something is left to decide.
    pub fn is_open(&self) -> bool {
        let is_running = || {
            let stage = self.gate.as_ref().map(|gate| gate.progress().stage);
            stage.is_none_or(|stage| !stage.is_terminal())
        };
        !self.is_withdrawn && (self.pending_target.is_some() || is_running())
    }

    /// The gate's stage, unless its rollout was withdrawn.
    pub fn stage(&self) -> Option<Stage> {
        let gate = self.gate.as_ref().filter(|_| !self.is_withdrawn);
        gate.map(|gate| gate.progress().stage)
    }

    /// What this node has counted.
    pub fn own_report(&self, own: PeerId, life: u64) -> Option<CountReport> {
        let gate = self.gate.as_ref().filter(|_| self.is_open())?;
        Some(gate.report(own, life))
    }

    /// Takes in what a node of this zone, or this one, has counted.
    pub fn merge_counts(&mut self, report: &CountReport) {
        self.zone.merge_report(report);
        self.fleet.merge_report(report);
    }

    /// Takes in what another zone has counted.
    pub fn merge_zone_counts(&mut self, report: &CountReport) {
        self.fleet.merge_report(report);
    }

    /// Takes in what a relay says that the fleet has counted; `own` is what this node
    /// had told it.
    pub fn apply_sums(
        &mut self,
        rollout: RolloutNumber,
        counts: &Counts,
        own: Option<Counts>,
        now: Millis,
    ) {
        let present = self.gate.as_ref().map(|gate| gate.progress().rollout);
        if present == Some(rollout) {
            self.reported = Some(ReportedSums {
                counts: counts.clone(),
                own,
                reported_at: now,
            });
        }
    }

    /// A request at an established engine has ended after so many milliseconds.
    pub fn note_established_ms(&mut self, duration_ms: u64) {
        self.established_ms.note(duration_ms);
    }

    /// Time in which nearly all requests at established engines end, in milliseconds, by
    /// what this node has seen.
    pub fn longest_request_ms(&self) -> u64 {
        let longer = self.established_ms.total() / SLOWEST_ONE_IN;
        let buckets = 0..BUCKETS;
        let slowest = buckets
            .rev()
            .find(|bucket| self.established_ms.count_from_bucket(*bucket) > longer);
        slowest.map_or(0, bucket_end_ms)
    }

    /// Counts of all nodes.
    pub fn fleet(&self) -> &FleetCounts {
        &self.fleet
    }

    /// Sums over the nodes of this zone.
    pub fn zone_sums(&self) -> &Counts {
        self.zone.sums()
    }

    /// Tells the gate of the passing time; tells what it has stopped for, once.
    pub fn advance(
        &mut self,
        own: &OwnSeat,
        stage_verified_at: Millis,
        now: Millis,
    ) -> Option<Finding> {
        let mut gate = self.gate.take()?;
        let known = self.known_sums(own.node, own.life, now);
        let view = FleetView {
            sums: known.sums,
            own_in_sums: known.own,
            stage_verified_at,
            seat: own.seat,
        };
        gate.advance(&view, now);
        let finding = gate.own_finding().copied();
        self.gate = Some(gate);
        let finding = finding.filter(|_| !self.has_reported_stop);
        self.has_reported_stop |= finding.is_some();
        finding
    }

    /// The fleet's sums as this node knows them best.
    pub fn known_sums(&self, own: PeerId, life: u64, now: Millis) -> KnownSums<'_> {
        let reported = self.reported.as_ref();
        if let Some(reported) =
            reported.filter(|reported| now.since(reported.reported_at) < MAX_SUMS_AGE_MS)
        {
            return KnownSums {
                sums: &reported.counts,
                own: reported.own.as_ref(),
            };
        }
        KnownSums {
            sums: self.fleet.sums(),
            own: self.fleet.of_life(own, life),
        }
    }
}
