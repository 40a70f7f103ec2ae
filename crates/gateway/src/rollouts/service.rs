//! The rollout of one service at this node: its gate, the counts of the fleet, and the
//! confirmations of the nodes.

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

/// Maximum age of a relay's sums, in milliseconds; older ones are replaced by this node's
/// own sums. Equals the time for which a silent relay is relied on.
const MAX_SUMS_AGE_MS: u64 = 800;

/// One request in this many may take longer than [`ServiceRollout::longest_request_ms`].
const SLOWEST_ONE_IN: u64 = 100;

/// Sums over the fleet as reported by a relay.
#[derive(Clone, Debug)]
struct ReportedSums {
    counts: Counts,
    own: Option<Counts>,
    reported_at: Millis,
}

/// Sums over the fleet, with the part that this node counted.
pub struct KnownSums<'a> {
    /// The sums.
    pub sums: &'a Counts,
    /// This node's own counts within the sums.
    pub own: Option<&'a Counts>,
}

/// State of another node as last reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemberState {
    /// Time of its last report.
    pub last_report_at: Millis,
    /// Its last confirmation of the present rollout.
    pub confirmation: Option<Confirmation>,
    /// Whether it reports directly to this node.
    pub is_in_own_zone: bool,
}

impl MemberState {
    /// Replaces the confirmation by one received directly or through relays, unless its epoch
    /// is older than that of the known one.
    pub fn update_confirmation(&mut self, announced: Confirmation) {
        let known = self.confirmation.map(|known| (known.rollout, known.epoch));
        if known <= Some((announced.rollout, announced.epoch)) {
            self.confirmation = Some(announced);
        }
    }
}

/// Change of the stage of a rollout at this node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Previous stage of the same rollout.
    pub before: Option<Stage>,
    /// Progress that is now in force.
    pub progress: Progress,
}

/// The rollout of one service.
#[derive(Debug)]
pub struct ServiceRollout {
    tag: ServiceTag,
    order: RolloutOrder,
    /// When this node first knew this order, whatever its status.
    order_seen_at: Millis,
    /// When this node first knew its present status.
    status_seen_at: Millis,
    pub(super) gate: Option<Gate>,
    /// Target version of the gate's rollout.
    pub(super) gate_target: SoftwareVersion,
    /// Target of the order while no stage of this order is recorded.
    pub(super) pending_target: Option<SoftwareVersion>,
    /// Store revision at which the gate's rollout was observed to be complete.
    pub(super) completed_at: Option<u64>,
    /// Engine incarnations that were stopped because the rollout completed.
    pub(super) retired: BTreeSet<InstanceId>,
    /// Whether the operator removed the order.
    pub(super) is_withdrawn: bool,
    /// Whether `advance` has already returned the finding for which this node stopped.
    has_reported_stop: bool,
    /// Counts of all nodes; the sums of each other zone count as one node.
    fleet: FleetCounts,
    /// Counts of the nodes of this zone.
    zone: FleetCounts,
    reported: Option<ReportedSums>,
    /// Total durations of requests at established engines.
    established_ms: FirstByteHistogram,
    /// State of the other nodes.
    pub members: BTreeMap<PeerId, MemberState>,
}

impl ServiceRollout {
    /// A rollout with a known order and no known stage.
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

    /// Applies the order with its status. Returns the change if the stage is new to this node.
    ///
    /// # Errors
    /// When the status can't be read; the target then receives no requests.
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

    /// Resets the state that belongs to the gate's rollout, as another one replaces it.
    fn supersede(&mut self) {
        self.completed_at = None;
        self.reported = None;
        self.has_reported_stop = false;
        self.members.values_mut().for_each(|member| {
            member.confirmation = None;
        });
    }

    /// Marks the order as removed by the operator.
    pub fn withdraw(&mut self) {
        self.is_withdrawn = true;
    }

    /// The order.
    pub fn order(&self) -> &RolloutOrder {
        &self.order
    }

    /// Hash of the service's name, as used in reports.
    pub fn tag(&self) -> ServiceTag {
        self.tag
    }

    /// When this node first knew this order, whatever its status.
    pub fn order_seen_at(&self) -> Millis {
        self.order_seen_at
    }

    /// When this node first knew the order's present status.
    pub fn status_seen_at(&self) -> Millis {
        self.status_seen_at
    }

    /// Whether the stage was proven after this node learned the status, or the rollout is not
    /// open. A former incarnation of the node may have acted on a later stage.
    pub fn is_stage_proven(&self, proven_at: Option<Millis>) -> bool {
        !self.is_open() || proven_at >= Some(self.status_seen_at)
    }

    /// The gate; `None` until a stage is known.
    pub fn gate(&self) -> Option<&Gate> {
        self.gate.as_ref()
    }

    /// The gate, for recording counts.
    pub fn gate_mut(&mut self) -> Option<&mut Gate> {
        self.gate.as_mut()
    }

    /// Target version of the gate's rollout.
    pub fn gate_target(&self) -> &SoftwareVersion {
        &self.gate_target
    }

    /// Whether the rollout still needs decisions.
    pub fn is_open(&self) -> bool {
        let is_running = || {
            let stage = self.gate.as_ref().map(|gate| gate.progress().stage);
            stage.is_none_or(|stage| !stage.is_terminal())
        };
        !self.is_withdrawn && (self.pending_target.is_some() || is_running())
    }

    /// Stage of the gate; `None` if the rollout was withdrawn.
    pub fn stage(&self) -> Option<Stage> {
        let gate = self.gate.as_ref().filter(|_| !self.is_withdrawn);
        gate.map(|gate| gate.progress().stage)
    }

    /// The counts of this node; `None` unless the rollout is open with a known stage.
    pub fn own_report(&self, own: PeerId, life: u64) -> Option<CountReport> {
        let gate = self.gate.as_ref().filter(|_| self.is_open())?;
        Some(gate.report(own, life))
    }

    /// Merges the counts of this node or of another node of its zone.
    pub fn merge_counts(&mut self, report: &CountReport) {
        self.zone.merge_report(report);
        self.fleet.merge_report(report);
    }

    /// Merges the counts of another zone.
    pub fn merge_zone_counts(&mut self, report: &CountReport) {
        self.fleet.merge_report(report);
    }

    /// Stores the sums of the fleet as reported by a relay; `own` are the counts of this node
    /// that the sums include.
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

    /// Records the total duration of a request at an established engine, in milliseconds.
    pub fn note_established_ms(&mut self, duration_ms: u64) {
        self.established_ms.note(duration_ms);
    }

    /// Duration within which nearly all requests at established engines end, in milliseconds,
    /// as observed by this node: all but one in `SLOWEST_ONE_IN`.
    pub fn longest_request_ms(&self) -> u64 {
        let longer = self.established_ms.total() / SLOWEST_ONE_IN;
        let buckets = 0..BUCKETS;
        let slowest = buckets
            .rev()
            .find(|bucket| self.established_ms.count_from_bucket(*bucket) > longer);
        slowest.map_or(0, bucket_end_ms)
    }

    /// Counts of all nodes; the sums of each other zone count as one node.
    pub fn fleet(&self) -> &FleetCounts {
        &self.fleet
    }

    /// Sums over the nodes of this zone.
    pub fn zone_sums(&self) -> &Counts {
        self.zone.sums()
    }

    /// Advances the gate to the present time. Returns the finding for which it stopped, once.
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

    /// The most recent known sums of the fleet: a relay's, or this node's own when those are
    /// too old.
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
