//! Loads of the whole fleet as relays report them to the nodes of their zone.
//!
//! A mesh of reports costs the square of the number of nodes, so in large fleets
//! each node reports to the relays of its zone, and those report sums. A sum
//! contains the receiver's own requests as of one of its reports; the receiver
//! remembers what it reported and takes just that off.

use crate::engine_load::EngineLoad;
use crate::named_nodes::NamedNodes;
use crate::names::{EngineTag, PeerId, ZoneTag};
use crate::report_position::{LifeChange, NewReport, ReportPosition};
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Time after which a relay that was not heard of no longer counts, in
/// milliseconds: eight of its report periods.
pub const RELAY_SILENCE_MS: u64 = 800;
/// Own reports that are remembered: those of about two seconds.
const MAX_OWN_REPORTS: usize = 32;

/// One report of a relay on the loads of all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayedReport {
    /// The relay.
    pub sender: PeerId,
    /// Its life, by the time of day at its start: see [`ReportPosition`].
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// Requests of all nodes at some engines.
    pub loads: Vec<(EngineTag, EngineLoad)>,
    /// Engines that load weights by anybody's order.
    pub loading: Vec<EngineTag>,
    /// Some nodes of the zone; nothing when this report does not tell.
    pub members: Vec<PeerId>,
    /// Zones that have any node; nothing when this report does not tell.
    pub zones: Vec<ZoneTag>,
}

/// What this node told relays in one report.
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
    own_included: HashMap<EngineTag, EngineLoad>,
    /// When this node sent the report that the sums contain.
    included_sent_at: Option<Millis>,
    loading: Vec<EngineTag>,
}

/// The tables of all relays that were heard of lately.
#[derive(Clone, Debug, Default)]
pub struct RelayedLoads {
    relays: BTreeMap<PeerId, Relay>,
    own_reports: VecDeque<OwnReport>,
    /// The nodes that relays named lately, silent relays too.
    pub named_nodes: NamedNodes,
}

impl RelayedLoads {
    /// This node is about to report these loads of its own to relays.
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

    /// When this node sent the report with this number; nothing when that is
    /// longer ago than is remembered.
    pub fn own_report_sent_at(&self, sequence: u64) -> Option<Millis> {
        self.own_report(sequence).map(|report| report.sent_at)
    }

    fn own_report(&self, sequence: u64) -> Option<&OwnReport> {
        let mut reports = self.own_reports.iter();
        reports.find(|report| report.sequence == sequence)
    }

    /// Takes in a report whose sums contain this node's report with the number
    /// `included`; tells whether it was not overtaken by a newer one.
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
            own_included: HashMap::new(),
            included_sent_at: None,
            loading: Vec::new(),
        });
        relay.position = position;
        relay.own_included = own;
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

    /// Forgets relays that were not heard of lately.
    pub fn expire(&mut self, now: Millis) {
        self.relays
            .retain(|_, relay| now.since(relay.position.heard_at()) < RELAY_SILENCE_MS);
        self.named_nodes.expire(now);
    }

    /// Whether any relay was heard of lately.
    pub fn has_relay(&self) -> bool {
        !self.relays.is_empty()
    }

    /// The load of all other nodes at an engine, as the relay tells that was heard
    /// of last; nothing when none is heard.
    pub fn at(&self, engine: EngineTag) -> Option<EngineLoad> {
        let relay = self.newest()?;
        let mut load = relay.totals.get(&engine).copied().unwrap_or_default();
        if let Some(own) = relay.own_included.get(&engine) {
            load.subtract(*own);
        }
        Some(load)
    }

    /// Age of the loads that [`RelayedLoads::at`] tells, in milliseconds: the sums
    /// contain what nodes reported up to about the time of this node's own report in
    /// them. Nothing where no relay answers.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        let sent_at = self.newest()?.included_sent_at?;
        Some(now.since(sent_at))
    }

    /// Whether any relay tells that the engine loads weights.
    pub fn is_loading(&self, engine: EngineTag) -> bool {
        let mut relays = self.relays.values();
        relays.any(|relay| relay.loading.contains(&engine))
    }

    /// Nodes of the own zone that relays have named, while one is heard.
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
