//! Loads of the whole fleet, as relays report them to the nodes of their zone.
//!
//! A full mesh of reports costs the square of the number of nodes. In large fleets each
//! node therefore reports to the relays of its zone, which report sums. A sum includes the
//! receiver's own requests as of one of its reports; the receiver remembers its reports
//! and subtracts exactly the loads of that one.

use crate::engine_load::EngineLoad;
use crate::named_nodes::NamedNodes;
use crate::names::{EngineTag, PeerId, ZoneTag};
use crate::report_position::{LifeChange, NewReport, ReportPosition};
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Time without a report after which a relay no longer counts, in milliseconds: eight of
/// its report periods.
pub const RELAY_SILENCE_MS: u64 = 800;
/// Maximum number of own reports that are remembered: those of about two seconds.
const MAX_OWN_REPORTS: usize = 32;

/// A relay's report on the loads of all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedReport {
    /// The relay.
    pub sender: PeerId,
    /// The relay's life, identified by the time of day at its start; see
    /// [`ReportPosition`].
    pub life: u64,
    /// Sequence number, which rises with each report of a life.
    pub sequence: u64,
    /// Loads of all nodes together at some of the engines.
    pub loads: Vec<(EngineTag, EngineLoad)>,
    /// Engines that load weights on any node's request.
    pub loading: Vec<EngineTag>,
    /// Some nodes of the zone; empty when the report does not list any.
    pub members: Vec<PeerId>,
    /// Zones that have any node; empty when the report does not list them.
    pub zones: Vec<ZoneTag>,
}

/// One of this node's reports to its relays.
#[derive(Clone, Debug)]
struct OwnReport {
    sequence: u64,
    sent_at: Millis,
    loads: HashMap<EngineTag, EngineLoad>,
}

#[derive(Clone, Debug)]
struct Relay {
    position: ReportPosition,
    totals: HashMap<EngineTag, EngineLoad>,
    included_own_loads: HashMap<EngineTag, EngineLoad>,
    /// The time at which this node sent the report that the sums include.
    included_sent_at: Option<Millis>,
    loading: Vec<EngineTag>,
}

/// The loads reported by all relays with recent reports.
#[derive(Clone, Debug, Default)]
pub struct RelayedLoads {
    relays: BTreeMap<PeerId, Relay>,
    own_reports: VecDeque<OwnReport>,
    /// The nodes that relays listed recently, including relays that are silent by now.
    pub named_nodes: NamedNodes,
}

impl RelayedLoads {
    /// Remembers a report of this node's own loads that is about to be sent to relays.
    pub fn note_own_report(
        &mut self,
        sequence: u64,
        loads: HashMap<EngineTag, EngineLoad>,
        now: Millis,
    ) {
        if self.own_reports.len() >= MAX_OWN_REPORTS {
            self.own_reports.pop_front();
        }
        self.own_reports.push_back(OwnReport {
            sequence,
            sent_at: now,
            loads,
        });
    }

    /// The time at which this node sent the report with this sequence number; `None` when
    /// the report is no longer remembered.
    pub fn own_report_sent_at(&self, sequence: u64) -> Option<Millis> {
        self.own_report(sequence).map(|report| report.sent_at)
    }

    fn own_report(&self, sequence: u64) -> Option<&OwnReport> {
        let mut reports = self.own_reports.iter();
        reports.find(|report| report.sequence == sequence)
    }

    /// Applies a report whose sums include this node's report with the sequence number
    /// `included`; returns false when a newer report has overtaken it.
    pub fn apply(&mut self, report: &RelayedReport, included: Option<u64>, now: Millis) -> bool {
        let own = included.and_then(|sequence| self.own_report(sequence));
        let included_sent_at = own.map(|report| report.sent_at);
        let own = own.map(|report| report.loads.clone()).unwrap_or_default();
        let known = self.relays.get(&report.sender);
        let known = known.map(|relay| relay.position);
        let follows = ReportPosition::follow(known, report.life, report.sequence, now);
        let Some(NewReport { position, life }) = follows else {
            return false;
        };
        if life != LifeChange::Same {
            self.relays.remove(&report.sender);
        }
        let relay = self.relays.entry(report.sender).or_insert_with(|| Relay {
            position,
            totals: HashMap::new(),
            included_own_loads: HashMap::new(),
            included_sent_at: None,
            loading: Vec::new(),
        });
        relay.position = position;
        relay.included_own_loads = own;
        relay.included_sent_at = included_sent_at.max(relay.included_sent_at);
        relay.loading.clone_from(&report.loading);
        if !report.members.is_empty() {
            self.named_nodes
                .note_named(&report.members, &report.zones, now);
        }
        for (engine, load) in &report.loads {
            if load.is_zero() {
                relay.totals.remove(engine);
            } else {
                relay.totals.insert(*engine, *load);
            }
        }
        true
    }

    /// Removes relays without recent reports.
    pub fn expire(&mut self, now: Millis) {
        self.relays
            .retain(|_, relay| now.since(relay.position.heard_at()) < RELAY_SILENCE_MS);
        self.named_nodes.expire(now);
    }

    /// Whether there is a relay with a recent report.
    pub fn has_relay(&self) -> bool {
        !self.relays.is_empty()
    }

    /// The load of all other nodes at an engine, according to the relay with the most recent
    /// report; `None` when there is no such relay.
    pub fn at(&self, engine: EngineTag) -> Option<EngineLoad> {
        let relay = self.newest()?;
        let mut load = relay.totals.get(&engine).copied().unwrap_or_default();
        if let Some(own) = relay.included_own_loads.get(&engine) {
            load.subtract(*own);
        }
        Some(load)
    }

    /// Age of the loads that [`RelayedLoads::at`] returns, in milliseconds: the sums include
    /// the nodes' reports up to about the time of this node's own report in them. `None`
    /// without a relay, or when its sums include no known report of this node.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        let sent_at = self.newest()?.included_sent_at?;
        Some(now.since(sent_at))
    }

    /// Whether any relay reports that the engine loads weights.
    pub fn is_loading(&self, engine: EngineTag) -> bool {
        let mut relays = self.relays.values();
        relays.any(|relay| relay.loading.contains(&engine))
    }

    /// Number of nodes of the own zone that relays have listed; 0 without a recent report of
    /// any relay.
    pub fn member_count(&self) -> usize {
        match self.has_relay() {
            true => self.named_nodes.member_count(),
            false => 0,
        }
    }

    fn newest(&self) -> Option<&Relay> {
        self.relays
            .values()
            .max_by_key(|relay| relay.position.heard_at())
    }
}
