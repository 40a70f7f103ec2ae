//! The load that other nodes put on the engines, according to their reports.
//!
//! Each node knows its own requests only, but a request is delayed by every prompt that
//! is queued before it, whichever node sent that. Nodes therefore report their loads to
//! each other. Reports are advisory: a report that is lost, late or never sent leads to a
//! worse choice and nothing else. They are sent without acknowledgements and retries, and
//! periodic full reports make up for lost ones.
//!
//! ```text
//! catalogue ─▶ ReportBuilder ─▶ LoadReport ── datagram ──▶ PeerLoads ─▶ selection
//! ```

use crate::catalogue::EngineCatalogue;
use crate::names::InstanceId;
use crate::relayed_loads::RelayedLoads;
use crate::report_position::{LifeChange, NewReport, ReportPosition};
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeMap, HashMap};

pub use crate::catalogue::LoadedWeights;
pub use crate::engine_load::EngineLoad;
pub use crate::names::{EngineTag, ModelTag, PeerId, ZoneTag};

/// Time without a report after which a node no longer counts, in milliseconds.
const SILENCE_MS: u64 = 1_800;
/// Time between two full reports, in milliseconds.
pub const FULL_REPORT_PERIOD_MS: u64 = 600;
/// Maximum number of engines in one report, those with the highest load first.
pub const MAX_LOADS: usize = 48;

/// A report on one node's loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The reporting node.
    pub sender: PeerId,
    /// Its zone.
    pub zone: ZoneTag,
    /// The sender's life, identified by the time of day at its start; see
    /// [`ReportPosition`].
    pub life: u64,
    /// Sequence number, which rises with each report of a life.
    pub sequence: u64,
    /// Whether engines that the report does not contain have no load.
    pub is_full: bool,
    /// Loads by engine.
    pub loads: Vec<(EngineTag, EngineLoad)>,
    /// Engines that load weights on the sender's request.
    pub loading: Vec<EngineTag>,
}

#[derive(Clone, Debug)]
struct Peer {
    zone: ZoneTag,
    position: ReportPosition,
    loads: HashMap<EngineTag, EngineLoad>,
    loading: Vec<EngineTag>,
}

/// The loads of all other nodes with recent reports.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    peers: BTreeMap<PeerId, Peer>,
    totals: HashMap<EngineTag, EngineLoad>,
    /// Loads reported by relays, if there are any. They take precedence over the reports
    /// of single nodes, since their sums include those nodes.
    pub relayed: RelayedLoads,
}

impl PeerLoads {
    /// Applies a report; returns whether it was applied. Reports may arrive out of order: one
    /// that is older than the last one applied is ignored.
    pub fn apply(&mut self, report: &LoadReport, now: Millis) -> bool {
        let known = self.peers.get(&report.sender);
        let known = known.map(|peer| peer.position);
        let follows = ReportPosition::follow(known, report.life, report.sequence, now);
        let Some(NewReport { position, life }) = follows else {
            return false;
        };
        if life != LifeChange::Same || report.is_full {
            self.subtract_peer(report.sender);
        }
        let peer = self.peers.entry(report.sender).or_insert_with(|| Peer {
            zone: report.zone,
            position,
            loads: HashMap::new(),
            loading: Vec::new(),
        });
        peer.zone = report.zone;
        peer.position = position;
        peer.loading.clone_from(&report.loading);
        for (engine, load) in &report.loads {
            let before = peer.loads.insert(*engine, *load).unwrap_or_default();
            let total = self.totals.entry(*engine).or_default();
            total.subtract(before);
            total.add(*load);
        }
        peer.loads.retain(|_, load| !load.is_zero());
        self.totals.retain(|_, load| !load.is_zero());
        true
    }

    /// Removes nodes and relays without recent reports.
    pub fn expire(&mut self, now: Millis) {
        self.relayed.expire(now);
        let silent: Vec<PeerId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.position.heard_at()) >= SILENCE_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.subtract_peer(id);
            self.peers.remove(&id);
        }
    }

    /// The total load of all other nodes at an engine.
    pub fn at(&self, engine: EngineTag) -> EngineLoad {
        let relayed = self.relayed.at(engine);
        relayed.unwrap_or_else(|| self.totals.get(&engine).copied().unwrap_or_default())
    }

    /// Age of the loads of other nodes, in milliseconds: the age of the relayed loads, or
    /// without a relay the median age of the nodes' reports. `None` without reports.
    pub fn age_ms(&self, now: Millis) -> Option<u64> {
        if self.relayed.has_relay() {
            return self.relayed.age_ms(now);
        }
        let ages = self
            .peers
            .values()
            .map(|peer| now.since(peer.position.heard_at()));
        let mut ages: Vec<u64> = ages.collect();
        ages.sort_unstable();
        ages.get(ages.len() / 2).copied()
    }

    /// The summed loads of all nodes that reported to this one, by engine.
    pub fn totals(&self) -> impl Iterator<Item = (EngineTag, EngineLoad)> + '_ {
        self.totals.iter().map(|(engine, load)| (*engine, *load))
    }

    /// The summed loads of one zone's nodes that reported to this one, by engine.
    pub fn zone_totals(&self, zone: ZoneTag) -> HashMap<EngineTag, EngineLoad> {
        let mut totals: HashMap<EngineTag, EngineLoad> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.zone == zone) {
            for (engine, load) in &peer.loads {
                totals.entry(*engine).or_default().add(*load);
            }
        }
        totals
    }

    /// Engines that load weights on request of any node that reported to this one and whose
    /// zone `counts`.
    pub fn loading_of(&self, counts: impl Fn(ZoneTag) -> bool) -> Vec<EngineTag> {
        let peers = self.peers.values().filter(|peer| counts(peer.zone));
        let mut loading: Vec<EngineTag> = peers.flat_map(|peer| peer.loading.clone()).collect();
        loading.sort();
        loading.dedup();
        loading
    }

    /// Whether the engine loads weights on another node's request.
    pub fn is_loading(&self, engine: EngineTag) -> bool {
        let mut peers = self.peers.values();
        self.relayed.is_loading(engine) || peers.any(|peer| peer.loading.contains(&engine))
    }

    /// The rank of a node among all nodes with recent reports, by their IDs. Nodes that
    /// receive each other's reports agree on it.
    pub fn rank(&self, own: PeerId) -> usize {
        self.peers.range(..own).count()
    }

    /// The nodes with recent reports, and their zones.
    pub fn peers(&self) -> impl Iterator<Item = (PeerId, ZoneTag)> + '_ {
        self.peers.iter().map(|(id, peer)| (*id, peer.zone))
    }

    /// Number of nodes with recent reports of their own, or as reported by relays; the higher
    /// of both.
    pub fn peer_count(&self) -> usize {
        self.peers.len().max(self.relayed.member_count())
    }

    fn subtract_peer(&mut self, id: PeerId) {
        let Some(peer) = self.peers.get_mut(&id) else {
            return;
        };
        for (engine, load) in std::mem::take(&mut peer.loads) {
            if let Some(total) = self.totals.get_mut(&engine) {
                total.subtract(load);
            }
        }
    }
}

/// Builds the reports of this node: changed loads each time, and all loads periodically.
#[derive(Clone, Debug)]
pub struct ReportBuilder {
    sender: PeerId,
    zone: ZoneTag,
    life: u64,
    reported: HashMap<EngineTag, EngineLoad>,
    loading: Vec<EngineTag>,
    full_at: Option<Millis>,
}

impl ReportBuilder {
    /// Creates a builder for the reports of one life of a node.
    pub fn new(sender: PeerId, zone: ZoneTag, life: u64) -> Self {
        Self {
            sender,
            zone,
            life,
            reported: HashMap::new(),
            loading: Vec::new(),
            full_at: None,
        }
    }

    /// The next report; `None` when there is nothing to report. `has_other_news` is true when
    /// the report has to carry data besides loads. `sequence` must rise with all reports of
    /// this life, including those of other builders.
    pub fn next(
        &mut self,
        sequence: u64,
        catalogue: &EngineCatalogue,
        loading: &[InstanceId],
        has_other_news: bool,
        now: Millis,
    ) -> Option<LoadReport> {
        let loading: Vec<EngineTag> = loading.iter().map(EngineTag::of).collect();
        let present = present_loads(catalogue);
        let is_due = |at| now.since(at) >= FULL_REPORT_PERIOD_MS;
        let is_full = self.full_at.is_none_or(is_due);
        let mut loads = match is_full {
            true => present.iter().map(|(tag, load)| (*tag, *load)).collect(),
            false => changes(&self.reported, &present),
        };
        let has_news = has_other_news || !loads.is_empty() || loading != self.loading;
        if !is_full && !has_news {
            return None;
        }
        loads.sort_by_key(|(tag, load)| (std::cmp::Reverse(load.waiting_tokens), *tag));
        loads.truncate(MAX_LOADS);
        if is_full {
            self.full_at = Some(now);
        }
        self.reported = present;
        self.loading.clone_from(&loading);
        Some(LoadReport {
            sender: self.sender,
            zone: self.zone,
            life: self.life,
            sequence,
            is_full,
            loads,
            loading,
        })
    }
}

/// This node's own load by engine.
pub fn present_loads(catalogue: &EngineCatalogue) -> HashMap<EngineTag, EngineLoad> {
    let engines = catalogue.iter().filter(|engine| engine.in_flight > 0);
    let loads = engines.map(|engine| {
        let load = EngineLoad {
            requests: engine.in_flight,
            waiting_tokens: engine.waiting_tokens,
        };
        (engine.tag, load)
    });
    loads.collect()
}

fn changes(
    before: &HashMap<EngineTag, EngineLoad>,
    present: &HashMap<EngineTag, EngineLoad>,
) -> Vec<(EngineTag, EngineLoad)> {
    let ended = before.keys().filter(|tag| !present.contains_key(*tag));
    let ended = ended.map(|tag| (*tag, EngineLoad::default()));
    let changed = present
        .iter()
        .filter(|(tag, load)| before.get(*tag) != Some(*load));
    let changed = changed.map(|(tag, load)| (*tag, *load));
    ended.chain(changed).collect()
}
