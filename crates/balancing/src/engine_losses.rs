//! Which engines are lost: they take no connection any more.
//!
//! An engine whose machine lost its power resets nothing. Each request that is sent
//! there finds out by its own time-out, and each request that waits there waits to its
//! end. So the first connection that does not come about starts checks by connections
//! alone, which carry no request. Other nodes hear which engines are lost and check by
//! themselves: news starts a check and nothing else, or an engine that one node alone
//! cannot reach would be lost to all.
//!
//! ```text
//! no connection, or report, or record gone ─▶ due ─▶ checks ─▶ lost, or reached again
//! ```

use crate::names::{EngineTag, InstanceId, PeerId};
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;

/// Connections in a row that must time out before an engine is lost.
const FAILURES_UNTIL_LOST: usize = 3;
/// Time that must pass between the first and the last of them, in milliseconds: a link
/// that is disturbed for a moment fails several at once.
const FAILING_FOR_MS: u64 = 500;
/// Failures that are remembered of a suspect. A burst of requests fails within one
/// connection time-out, and checks go on at their own pace after it.
const MAX_FAILURES: usize = 32;
/// Part of all engines beyond which losses are this node's own fault: it is out of
/// ports, starved, or its link is cut. It gives up no request for any of them then.
const DISTRUST_SHARE: f64 = 0.5;
/// Time for which what other nodes told counts, in milliseconds: some ten reports.
const REPORT_VALID_MS: u64 = 2_000;
/// Time after an engine was reached in which news of its loss starts no check, in
/// milliseconds. What this node sees itself goes before what it is told.
const REACHED_MS: u64 = 5_000;
/// Part of all engines from which on a node that cannot reach them takes its own links
/// to be at fault, and tells of none.
const OWN_FAULT_SHARE: f64 = 0.34;
/// Nodes that must have lost an engine before their word starts a check elsewhere, at
/// least, and as a part of all nodes. Each check of an engine that lives is a connection
/// that it has to take, and nodes with disturbed links are never few in a large fleet.
const NODES_UNTIL_CHECK: u32 = 2;
const NODES_UNTIL_CHECK_SHARE: f64 = 0.1;
/// Lost engines in one report; the latest ones go first. With them a report stays
/// within one datagram.
pub const MAX_REPORTED: usize = 16;

/// An engine to be checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueCheck {
    /// The engine.
    pub instance: InstanceId,
    /// Where it listens, or listened.
    pub address: SocketAddr,
    /// The suspicion that it belongs to: one that was dispelled and comes up again is
    /// checked anew.
    suspicion: u64,
}

/// What a node tells of an engine that is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LostEngine {
    /// The engine.
    pub engine: EngineTag,
    /// Nodes that cannot reach it, as far as the sender knows; the sender counts.
    pub nodes: u32,
}

/// Whose reports tell of lost engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ReportSource {
    /// A node, of what it has found itself.
    Node,
    /// A relay of another zone, of what the nodes there have found.
    OtherZone,
    /// A relay, of what all nodes have found, the receiver among them.
    Relay,
}

/// A connection that timed out.
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
    is_checked: bool,
    record_is_gone: bool,
}

impl Suspect {
    /// Whether enough connections failed that all were begun at or after `heard`.
    fn is_lost_since(&self, heard: Millis) -> bool {
        let later = self.failures.iter().filter(|failed| failed.began >= heard);
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
    heard_at: Millis,
}

/// Engines that are lost or may be.
#[derive(Clone, Debug, Default)]
pub struct EngineLosses {
    suspects: HashMap<InstanceId, Suspect>,
    suspicions: u64,
    due: Vec<DueCheck>,
    reports: HashMap<EngineTag, HashMap<(ReportSource, PeerId), LossReport>>,
    reached: HashMap<EngineTag, Millis>,
}

impl EngineLosses {
    /// A connection to the engine that was begun at `began` has timed out. One that was
    /// refused shows that its machine is there, and is [`Self::note_suspected`].
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

    /// Something speaks against the engine: another node cannot reach it, it refused a
    /// connection, or it left a call without an answer. It is to be checked.
    pub fn note_suspected(&mut self, instance: &InstanceId, address: SocketAddr) {
        self.suspect(instance, address);
    }

    /// The engine's record is gone while requests are there.
    pub fn note_record_gone(&mut self, instance: &InstanceId, address: SocketAddr) {
        self.suspect(instance, address).record_is_gone = true;
    }

    /// The engine's record has come back: entries go at times while the store is down.
    pub fn note_record_back(&mut self, instance: &InstanceId) {
        if let Some(suspect) = self.suspects.get_mut(instance) {
            suspect.record_is_gone = false;
        }
    }

    /// The engine took a connection or answered; tells whether it was suspected.
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

    /// The engine is a suspect, and is due to be checked if it was not.
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

    /// Checks to be begun now.
    pub fn take_due(&mut self) -> Vec<DueCheck> {
        std::mem::take(&mut self.due)
    }

    /// Whether the engine is to be checked further.
    pub fn is_suspected(&self, instance: &InstanceId) -> bool {
        self.suspects.contains_key(instance)
    }

    /// Whether the suspicion that this check belongs to still stands.
    pub fn is_current(&self, check: &DueCheck) -> bool {
        let suspect = self.suspects.get(&check.instance);
        suspect.is_some_and(|suspect| suspect.suspicion == check.suspicion)
    }

    /// Whether any engine is lost to this node.
    pub fn has_lost(&self) -> bool {
        self.suspects
            .values()
            .any(|suspect| suspect.lost_at.is_some())
    }

    /// Whether so many engines are lost, of those in the catalogue and those that have
    /// gone from it, that this node is at fault itself.
    fn is_own_fault(&self, engines: usize) -> bool {
        let is_lost = |suspect: &&Suspect| suspect.lost_at.is_some();
        let lost = self.suspects.values().filter(is_lost);
        let gone = lost.clone().filter(|suspect| suspect.record_is_gone);
        let all = engines + gone.count();
        lost.count() as f64 > (all as f64 * DISTRUST_SHARE).max(1.0)
    }

    /// Nobody needs to know about the engine any more.
    pub fn forget(&mut self, instance: &InstanceId) {
        self.suspects.remove(instance);
    }

    /// Whether this node has found that the engine is lost, by connections that were
    /// all begun at or after `heard`, when it gave its last sign of life. `engines` is
    /// how many are in the catalogue.
    pub fn is_lost_since(&self, instance: &InstanceId, heard: Millis, engines: usize) -> bool {
        let suspect = self.suspects.get(instance);
        suspect.is_some_and(|suspect| suspect.is_lost_since(heard)) && !self.is_own_fault(engines)
    }

    /// Whether, besides, its record is gone or another node cannot reach it either:
    /// then it is not this node's link that is at fault.
    pub fn is_dead_since(
        &self,
        instance: &InstanceId,
        heard: Millis,
        engines: usize,
        now: Millis,
    ) -> bool {
        let Some(suspect) = self.suspects.get(instance) else {
            return false;
        };
        let is_confirmed =
            suspect.record_is_gone || self.others(EngineTag::of(instance), true, now) > 0;
        is_confirmed && self.is_lost_since(instance, heard, engines)
    }

    /// Nodes besides this one that cannot reach the engine. What a relay tells includes
    /// this node where it `has_told`.
    fn others(&self, engine: EngineTag, has_told: bool, now: Millis) -> u32 {
        let direct: u32 = self.reported_by(engine, ReportSource::Node, now).sum();
        let zones: u32 = self.reported_by(engine, ReportSource::OtherZone, now).sum();
        let relayed = self.reported_by(engine, ReportSource::Relay, now).max();
        let relayed = relayed.unwrap_or(0).saturating_sub(u32::from(has_told));
        relayed.max(direct + zones)
    }

    /// What each sender of a kind told lately.
    fn reported_by(
        &self,
        engine: EngineTag,
        wanted: ReportSource,
        now: Millis,
    ) -> impl Iterator<Item = u32> + '_ {
        let senders = self.reports.get(&engine).into_iter().flatten();
        let fresh = senders.filter(move |((source, _), report)| {
            *source == wanted && now.since(report.heard_at) < REPORT_VALID_MS
        });
        fresh.map(|(_, report)| report.nodes)
    }

    /// Takes in what another node of a fleet of so many told; gives the engines that
    /// this node should check.
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
        for told in lost {
            let report = LossReport {
                nodes: told.nodes,
                heard_at: now,
            };
            let known = self.reports.entry(told.engine).or_default();
            known.insert((source, sender), report);
            let reached = self.reached.get(&told.engine);
            let was_reached = reached.is_some_and(|at| now.since(*at) < REACHED_MS);
            if !was_reached && self.others(told.engine, false, now) >= needed {
                to_check.push(told.engine);
            }
        }
        to_check
    }

    /// Forgets news that no longer counts.
    pub fn expire(&mut self, now: Millis) {
        self.reports.retain(|_, senders| {
            senders.retain(|_, report| now.since(report.heard_at) < REPORT_VALID_MS);
            !senders.is_empty()
        });
        self.reached.retain(|_, at| now.since(*at) < REACHED_MS);
    }

    /// What this node has found itself, the latest first, of so many engines that it
    /// knows.
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
        let told = lost
            .into_iter()
            .map(|(_, engine)| LostEngine { engine, nodes: 1 });
        told.collect()
    }

    /// What a relay tells the nodes of its zone: what it has found itself, and what
    /// nodes and other zones have told it.
    pub fn of_all(&self, engines: usize, now: Millis) -> Vec<LostEngine> {
        self.summed(&[ReportSource::Node, ReportSource::OtherZone], engines, now)
    }

    /// What a relay tells other zones: what the nodes of its own have found.
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
        let mut told: Vec<LostEngine> = sums
            .map(|(engine, nodes)| LostEngine { engine, nodes })
            .collect();
        told.sort_by_key(|lost| (std::cmp::Reverse(lost.nodes), lost.engine));
        told.truncate(MAX_REPORTED);
        told
    }
}
