//! What the other nodes have at the engines, as their reports tell.
//!
//! Each node knows its own requests only, and a prompt in front of a request
//! delays it whoever sent it. So nodes tell each other their loads. Reports are
//! advice: one that is lost, late or never sent costs a worse choice and nothing
//! else, so they go without answers and without retries; a full report every so
//! often repairs what was lost.
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

/// Time after which a node that was not heard of no longer counts, in
/// milliseconds.
const SILENCE_MS: u64 = 1_800;
/// Time between two full reports, in milliseconds.
pub const FULL_REPORT_PERIOD_MS: u64 = 600;
/// Engines in one report; those with the most load go first.
pub const MAX_LOADS: usize = 48;

/// One report on a node's loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoadReport {
    /// The node that reports.
    pub sender: PeerId,
    /// Its zone.
    pub zone: ZoneTag,
    /// Its life, by the time of day at its start: see [`ReportPosition`].
    pub life: u64,
    /// Rises with each report of a life.
    pub sequence: u64,
    /// Whether engines that are not named have no load.
    pub is_full: bool,
    /// Loads by engine.
    pub loads: Vec<(EngineTag, EngineLoad)>,
    /// Engines that load weights by the sender's order.
    pub loading: Vec<EngineTag>,
}

#[derive(Clone, Debug)]
struct Peer {
    zone: ZoneTag,
    position: ReportPosition,
    loads: HashMap<EngineTag, EngineLoad>,
    loading: Vec<EngineTag>,
}

/// The loads of all other nodes that were heard of lately.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    peers: BTreeMap<PeerId, Peer>,
    totals: HashMap<EngineTag, EngineLoad>,
    /// What relays tell, where there are any. It goes before what single nodes
    /// told: they are in its sums.
    pub relayed: RelayedLoads,
}

impl PeerLoads {
    /// Takes in a report; tells whether it was news. Reports overtake each
    /// other: one that is older than the last one taken in is left out.
    pub fn apply(&mut self, report: &LoadReport, now: Millis) -> bool {
        let known = self.peers.get(&report.sender);
        let known = known.map(|peer| peer.position);
        let follows = ReportPosition::follow(known, report.life, report.sequence, now);
        let Some(NewReport { position, life }) = follows else {
            return false;
        };
        if life != LifeChange::Same || report.is_full {
            self.take_off(report.sender);
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

    /// Forgets nodes and relays that were not heard of lately.
    pub fn expire(&mut self, now: Millis) {
        self.relayed.expire(now);
        let silent: Vec<PeerId> = self
            .peers
            .iter()
            .filter(|(_, peer)| now.since(peer.position.heard_at()) >= SILENCE_MS)
            .map(|(id, _)| *id)
            .collect();
        for id in silent {
            self.take_off(id);
            self.peers.remove(&id);
        }
    }

    /// The load of all other nodes at an engine.
    pub fn at(&self, engine: EngineTag) -> EngineLoad {
        let relayed = self.relayed.at(engine);
        relayed.unwrap_or_else(|| self.totals.get(&engine).copied().unwrap_or_default())
    }

    /// Age of the loads of other nodes, in milliseconds: as a relay told them, or of
    /// the report in the middle of all that were heard. Nothing where none was.
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

    /// The loads of all nodes that reported to this one, by engine.
    pub fn totals(&self) -> impl Iterator<Item = (EngineTag, EngineLoad)> + '_ {
        self.totals.iter().map(|(engine, load)| (*engine, *load))
    }

    /// The loads of the nodes of one zone that reported to this one, by engine.
    pub fn zone_totals(&self, zone: ZoneTag) -> HashMap<EngineTag, EngineLoad> {
        let mut totals: HashMap<EngineTag, EngineLoad> = HashMap::new();
        for peer in self.peers.values().filter(|peer| peer.zone == zone) {
            for (engine, load) in &peer.loads {
                totals.entry(*engine).or_default().add(*load);
            }
        }
        totals
    }

    /// Engines that load weights by the order of any node that reported to this
    /// one and that `counts`.
    pub fn loading_of(&self, counts: impl Fn(ZoneTag) -> bool) -> Vec<EngineTag> {
        let peers = self.peers.values().filter(|peer| counts(peer.zone));
        let mut loading: Vec<EngineTag> = peers.flat_map(|peer| peer.loading.clone()).collect();
        loading.sort();
        loading.dedup();
        loading
    }

    /// Whether another node has the engine load weights.
    pub fn is_loading(&self, engine: EngineTag) -> bool {
        let mut peers = self.peers.values();
        self.relayed.is_loading(engine) || peers.any(|peer| peer.loading.contains(&engine))
    }

    /// The place of a node in the order of all nodes that were heard of lately;
    /// nodes that hear of each other agree on it.
    pub fn rank(&self, own: PeerId) -> usize {
        self.peers.range(..own).count()
    }

    /// The nodes that were heard of lately, and their zones.
    pub fn peers(&self) -> impl Iterator<Item = (PeerId, ZoneTag)> + '_ {
        self.peers.iter().map(|(id, peer)| (*id, peer.zone))
    }

    /// Nodes that were heard of lately, by their own reports or a relay's.
    pub fn peer_count(&self) -> usize {
        self.peers.len().max(self.relayed.member_count())
    }

    fn take_off(&mut self, id: PeerId) {
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

/// Makes the reports of this node: what has changed, and everything every so
/// often.
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
    /// Reports of a node's life.
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

    /// The next report; nothing when there is no news. `has_other_news` says that
    /// the report is to carry something besides loads. `sequence` rises with all
    /// reports of this life, also of other builders.
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

/// This node's own requests by engine.
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
