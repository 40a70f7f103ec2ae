//! Detection of lost engines: engines that accept no connections any more.
//!
//! An engine whose machine has lost power does not reset its connections. Each new request
//! to it would run into its own time-out, and each request in flight would wait until its
//! deadline. Therefore the first failed connection attempt starts checks, which open
//! connections without sending a request. Nodes report lost engines to each other, and
//! each node checks for itself: a report only starts a check, because otherwise an engine
//! that a single node cannot reach would be lost for all nodes.
//!
//! ```text
//! failed connection, report or removed record ─▶ due ─▶ checks ─▶ lost, or reached again
//! ```

use crate::names::{EngineTag, InstanceId, PeerId};
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Number of consecutive connection time-outs after which an engine is lost.
const FAILURES_UNTIL_LOST: usize = 3;
/// Minimum time between the first and the last of these time-outs, in milliseconds: a sound
/// engine may be silent for a second and a half, and all nodes see that.
const FAILING_FOR_MS: u64 = 2_000;
/// Maximum number of failures that are remembered for a suspected engine. A burst of
/// requests fails within one connection time-out, and the checks continue after it at
/// their own interval.
const MAX_FAILURES: usize = 32;
/// Share of all engines above which losses are attributed to this node itself: it has run
/// out of ports, is starved of resources, or its link is cut. It then aborts no request
/// because of a loss.
const DISTRUST_SHARE: f64 = 0.5;
/// Time for which another node's report counts, in milliseconds: about ten report periods.
const REPORT_VALID_MS: u64 = 2_000;
/// Time after a successful connection during which reports of the engine's loss start no
/// check, in milliseconds: this node's own observations take precedence over reports.
const REACHED_MS: u64 = 5_000;
/// Share of all engines above which a node that cannot reach them attributes this to its
/// own links, and reports none of them.
const OWN_FAULT_SHARE: f64 = 0.34;
/// Minimum number of nodes that must report an engine as lost before other nodes check it;
/// [`NODES_UNTIL_CHECK_SHARE`] is the same as a share of all nodes. Each check costs a live
/// engine a connection, and a large fleet always contains several nodes with disturbed
/// links.
const NODES_UNTIL_CHECK: u32 = 2;
const NODES_UNTIL_CHECK_SHARE: f64 = 0.1;
/// Maximum number of lost engines in one report, the most recent ones first, so that the
/// report fits into one datagram.
pub const MAX_REPORTED: usize = 16;

/// An engine that is due to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// The engine.
    pub instance: InstanceId,
    /// The last known address of the engine.
    pub address: SocketAddr,
    /// The suspicion that caused the check. An engine that was reached and is suspected
    /// again gets a new suspicion and a new check.
    suspicion: u64,
}

/// A lost engine as nodes report it to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostEngine {
    /// The engine.
    pub engine: EngineTag,
    /// Number of nodes that cannot reach it, as far as the sender knows, including the
    /// sender.
    pub nodes: u32,
}

/// The kind of sender of a report on lost engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportSource {
    /// A node, reporting its own observations.
    Node,
    /// A relay of another zone, reporting what the nodes of that zone have observed.
    OtherZone,
    /// A relay, reporting what all nodes have observed, including the receiver.
    Relay,
}

/// A connection attempt that timed out.
#[derive(Clone, Copy, Debug)]
struct FailedConnection {
    began: Millis,
    ended: Millis,
}

#[derive(Clone, Debug)]
struct Suspect {
    suspicion: u64,
    failures: VecDeque<FailedConnection>,
    lost_at: Option<Millis>,
    /// Number of checks that failed.
    failed_checks: u32,
    is_checked: bool,
    record_is_gone: bool,
}

impl Suspect {
    /// Whether enough connection attempts have failed that all began at or after `last_seen`.
    fn is_lost_since(&self, last_seen: Millis) -> bool {
        let later = self
            .failures
            .iter()
            .filter(|failed| failed.began >= last_seen);
        let first = later.clone().map(|failed| failed.began).min();
        let last = later.clone().map(|failed| failed.ended).max();
        let has_failed_for = match (first, last) {
            (Some(first), Some(last)) => last.since(first),
            _ => 0,
        };
        later.count() >= FAILURES_UNTIL_LOST && has_failed_for >= FAILING_FOR_MS
    }
}

#[derive(Clone, Copy, Debug)]
struct LossReport {
    nodes: u32,
    received_at: Millis,
}

/// Engines that are lost or suspected to be lost.
#[derive(Clone, Debug, Default)]
pub struct EngineLosses {
    suspects: HashMap<InstanceId, Suspect>,
    suspicions: u64,
    due: Vec<DueCheck>,
    reports: HashMap<EngineTag, HashMap<(ReportSource, PeerId), LossReport>>,
    reached: HashMap<EngineTag, Millis>,
}

impl EngineLosses {
    /// A connection attempt to the engine that began at `began` has timed out. A refused
    /// connection shows that the machine is up; use [`Self::note_suspected`] for it.
    pub fn note_unreachable(
        &mut self,
        instance: &InstanceId,
        address: SocketAddr,
        began: Millis,
        now: Millis,
    ) {
        let suspect = self.suspect(instance, address);
        if suspect.failures.len() == MAX_FAILURES {
            suspect.failures.pop_front();
        }
        suspect
            .failures
            .push_back(FailedConnection { began, ended: now });
        if suspect.is_lost_since(Millis(0)) {
            suspect.lost_at.get_or_insert(now);
        }
    }

    /// Schedules a check of an engine that may be lost: another node cannot reach it, it
    /// refused a connection, or it did not answer a call.
    pub fn note_suspected(&mut self, instance: &InstanceId, address: SocketAddr) {
        self.suspect(instance, address);
    }

    /// The engine's record was removed while requests are in flight to it.
    pub fn note_record_gone(&mut self, instance: &InstanceId, address: SocketAddr) {
        self.suspect(instance, address).record_is_gone = true;
    }

    /// The engine's record has reappeared: records may expire while the store is down.
    pub fn note_record_back(&mut self, instance: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(instance) {
            suspect.record_is_gone = false;
        }
    }

    /// The engine accepted a connection or answered; returns whether it was suspected.
    pub fn note_reached(&mut self, instance: &InstanceId, now: Millis) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        let was_suspected = self.suspects.remove(instance).is_some();
        if was_suspected {
            self.reached.insert(EngineTag::of(instance), now);
        }
        was_suspected
    }

    /// Marks the engine as suspected and schedules a check if none is scheduled yet.
    fn suspect(&mut self, instance: &InstanceId, address: SocketAddr) -> &mut Suspect {
        let entry = self.suspects.entry(instance.clone());
        let suspicions = &mut self.suspicions;
        let suspect = entry.or_insert_with(|| Suspect {
            suspicion: {
                *suspicions += 1;
                *suspicions
            },
            failures: VecDeque::new(),
            lost_at: None,
            failed_checks: 0,
            is_checked: false,
            record_is_gone: false,
        });
        if !std::mem::replace(&mut suspect.is_checked, true) {
            self.due.push(DueCheck {
                instance: instance.clone(),
                address,
                suspicion: suspect.suspicion,
            });
        }
        suspect
    }

    /// Records that a check of a suspected engine failed.
    pub fn note_check_failed(&mut self, instance: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(instance) {
            suspect.failed_checks += 1;
        }
    }

    /// Whether a connection to the engine has failed and a check after it as well, so that the
    /// running check will show first that it can be reached again.
    pub fn is_unreachable(&self, instance: &InstanceId) -> bool {
        let suspect = self.suspects.get(instance);
        suspect.is_some_and(|suspect| suspect.failed_checks > 0)
    }

    /// Removes and returns the checks that are due.
    pub fn take_due(&mut self) -> Vec<DueCheck> {
        std::mem::take(&mut self.due)
    }

    /// Whether the engine is still suspected, so that checks continue.
    pub fn is_suspected(&self, instance: &InstanceId) -> bool {
        self.suspects.contains_key(instance)
    }

    /// Whether the suspicion that caused this check still exists.
    pub fn is_current(&self, check: &DueCheck) -> bool {
        let suspect = self.suspects.get(&check.instance);
        suspect.is_some_and(|suspect| suspect.suspicion == check.suspicion)
    }

    /// Whether this node considers any engine to be lost.
    pub fn has_lost(&self) -> bool {
        self.suspects
            .values()
            .any(|suspect| suspect.lost_at.is_some())
    }

    /// Whether the share of lost engines, among those in the catalogue and those removed
    /// from it, is so high that the fault lies with this node.
    fn is_own_fault(&self, engines: usize) -> bool {
        let is_lost = |suspect: &&Suspect| suspect.lost_at.is_some();
        let lost = self.suspects.values().filter(is_lost);
        let gone = lost.clone().filter(|suspect| suspect.record_is_gone);
        let all = engines + gone.count();
        lost.count() as f64 > (all as f64 * DISTRUST_SHARE).max(1.0)
    }

    /// Drops the state of an engine that is no longer needed.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.suspects.remove(instance);
    }

    /// Whether this node has found the engine to be lost, by connection attempts that all
    /// began at or after `last_seen`, the time of its last sign of life. `engines` is the number
    /// of engines in the catalogue.
    pub fn is_lost_since(&self, instance: &InstanceId, last_seen: Millis, engines: usize) -> bool {
        let suspect = self.suspects.get(instance);
        suspect.is_some_and(|suspect| suspect.is_lost_since(last_seen))
            && !self.is_own_fault(engines)
    }

    /// Like [`Self::is_lost_since`], and in addition the engine's record is gone or another
    /// node cannot reach the engine either, which rules out a fault of this node's link.
    pub fn is_dead_since(
        &self,
        instance: &InstanceId,
        last_seen: Millis,
        engines: usize,
        now: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get(instance) else {
            return false;
        };
        let is_confirmed =
            suspect.record_is_gone || self.other_nodes(EngineTag::of(instance), true, now) > 0;
        is_confirmed && self.is_lost_since(instance, last_seen, engines)
    }

    /// Number of other nodes that cannot reach the engine. A relay's count includes this
    /// node if it `has_reported` the relay of the loss itself.
    fn other_nodes(&self, engine: EngineTag, has_reported: bool, now: Millis) -> u32 {
        let direct: u32 = self.reported_by(engine, ReportSource::Node, now).sum();
        let zones: u32 = self.reported_by(engine, ReportSource::OtherZone, now).sum();
        let relayed = self.reported_by(engine, ReportSource::Relay, now).max();
        let relayed = relayed.unwrap_or(0).saturating_sub(u32::from(has_reported));
        relayed.max(direct + zones)
    }

    /// The node counts in the valid reports of each sender of the wanted kind.
    fn reported_by(
        &self,
        engine: EngineTag,
        wanted: ReportSource,
        now: Millis,
    ) -> impl Iterator<Item = u32> + '_ {
        let senders = self.reports.get(&engine).into_iter().flatten();
        let fresh = senders.filter(move |((source, _), report)| {
            *source == wanted && now.since(report.received_at) < REPORT_VALID_MS
        });
        fresh.map(|(_, report)| report.nodes)
    }

    /// Applies a report of another node; returns the engines that this node should check.
    /// `fleet` is the number of nodes.
    pub fn apply_reported(
        &mut self,
        source: ReportSource,
        sender: PeerId,
        lost: &[LostEngine],
        fleet: usize,
        now: Millis,
    ) -> Vec<EngineTag> {
        let needed = (fleet as f64 * NODES_UNTIL_CHECK_SHARE) as u32;
        let needed = needed.max(NODES_UNTIL_CHECK);
        let mut to_check = Vec::new();
        for reported in lost {
            let report = LossReport {
                nodes: reported.nodes,
                received_at: now,
            };
            let known = self.reports.entry(reported.engine).or_default();
            known.insert((source, sender), report);
            let reached = self.reached.get(&reported.engine);
            let was_reached = reached.is_some_and(|at| now.since(*at) < REACHED_MS);
            if !was_reached && self.other_nodes(reported.engine, false, now) >= needed {
                to_check.push(reported.engine);
            }
        }
        to_check
    }

    /// Removes expired reports.
    pub fn expire(&mut self, now: Millis) {
        self.reports.retain(|_, senders| {
            senders.retain(|_, report| now.since(report.received_at) < REPORT_VALID_MS);
            !senders.is_empty()
        });
        self.reached.retain(|_, at| now.since(*at) < REACHED_MS);
    }

    /// The losses that this node has found itself, the most recent first. `engines` is the
    /// number of engines that it knows.
    pub fn own(&self, engines: usize) -> Vec<LostEngine> {
        let lost = self.suspects.iter().filter_map(|(instance, suspect)| {
            let lost_at = suspect.lost_at?;
            Some((lost_at, EngineTag::of(instance)))
        });
        let mut lost: Vec<(Millis, EngineTag)> = lost.collect();
        if lost.len() as f64 > (engines as f64 * OWN_FAULT_SHARE).max(1.0) {
            return Vec::new();
        }
        lost.sort_by_key(|(lost_at, engine)| (std::cmp::Reverse(*lost_at), *engine));
        lost.truncate(MAX_REPORTED);
        let reported = lost
            .into_iter()
            .map(|(_, engine)| LostEngine { engine, nodes: 1 });
        reported.collect()
    }

    /// The losses that a relay reports to the nodes of its zone: its own findings and those
    /// that nodes and other zones have reported to it.
    pub fn of_all(&self, engines: usize, now: Millis) -> Vec<LostEngine> {
        self.summed(&[ReportSource::Node, ReportSource::OtherZone], engines, now)
    }

    /// The losses that a relay reports to other zones: the findings of its own zone's nodes.
    pub fn of_zone(&self, engines: usize, now: Millis) -> Vec<LostEngine> {
        self.summed(&[ReportSource::Node], engines, now)
    }

    fn summed(&self, sources: &[ReportSource], engines: usize, now: Millis) -> Vec<LostEngine> {
        let mut sums: BTreeMap<EngineTag, u32> = BTreeMap::new();
        for lost in self.own(engines) {
            *sums.entry(lost.engine).or_default() += lost.nodes;
        }
        for engine in self.reports.keys() {
            for source in sources {
                let nodes: u32 = self.reported_by(*engine, *source, now).sum();
                *sums.entry(*engine).or_default() += nodes;
            }
        }
        let sums = sums.into_iter().filter(|(_, nodes)| *nodes > 0);
        let mut reported: Vec<LostEngine> = sums
            .map(|(engine, nodes)| LostEngine { engine, nodes })
            .collect();
        reported.sort_by_key(|lost| (std::cmp::Reverse(lost.nodes), lost.engine));
        reported.truncate(MAX_REPORTED);
        reported
    }
}
