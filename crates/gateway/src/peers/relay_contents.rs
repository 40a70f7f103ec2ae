//! Contents of the reports of a relay: for the nodes of its zone the sums of the whole
//! fleet, what it reads from the store and where prompts are cached; for relays of other
//! zones the sums of its zone.

use super::messages::{placement_capacity, PeerReport, MAX_PLACEMENTS};
use super::relay_messages::{
    RelayReport, MAX_RELAYED_CHANGES, MAX_RELAYED_LOADS, MAX_RELAYED_PLACEMENTS,
};
use super::rollout_messages::RolloutReport;
use super::weights_messages::MAX_REPORTED_VERSIONS;
use crate::beliefs::Beliefs;
use crate::leases::LeaseName;
use crate::rollouts::exchange::Reporter;
use crate::state::Gateway;
use ploverlift_balancing::engine_losses::LostEngine;
use ploverlift_balancing::peer_loads::{
    present_loads, EngineLoad, EngineTag, LoadReport, PeerId, ZoneTag, MAX_LOADS,
};
use ploverlift_balancing::prefix_holders::Placement;
use ploverlift_balancing::relayed_loads::RelayedReport;
use ploverlift_balancing::weights::WeightsNews;
use ploverlift_policy::ids::Millis;
use std::collections::{BTreeSet, HashMap};
use std::sync::atomic::Ordering;
use std::sync::Arc;

/// Number of engines up to which a relay includes all changed loads in each report: they
/// fit two datagrams. With more engines, loads of other zones are included only every
/// [`PERIODS_PER_REMOTE_LOADS`] reports, which bounds the bytes sent to each node.
const MAX_ENGINES_REPORTED_AT_ONCE: usize = 2 * MAX_RELAYED_LOADS;
/// Number of reports in which changed loads on engines of other zones are sent once in a
/// large fleet, as measured with 153 and 240 engines.
const PERIODS_PER_REMOTE_LOADS: u64 = 4;
/// Number of reports in which the load of each engine is sent at least once, which repairs
/// lost datagrams.
const PERIODS_PER_REFRESH: u64 = 16;
/// Periods in which a relay lists all nodes of its zone once, in a zone of up to 480 nodes.
const PERIODS_PER_MEMBERS: u64 = 10;
/// Nodes listed in one report: with the other fields they fit the receive buffer of 2 KB,
/// which the list of a zone of 200 nodes would exceed.
pub const MAX_LISTED_MEMBERS: usize = 48;
/// Time after a node became a relay before it lists the nodes of its zone, in milliseconds:
/// nodes that lost their relays report to it after 0.7 s, and at least every 0.3 s. A node
/// that received a list with few of the others would take over the work of the missing
/// ones.
const MEMBER_LIST_DELAY_MS: u64 = 1_500;
/// Time for which a change of an engine is repeated in each report, in milliseconds: three
/// reports, so that two may be lost.
const CHANGE_REPEAT_MS: u64 = 320;

/// State of the reports of a relay: which loads were reported already.
pub(super) struct RelayContents {
    gateway: Arc<Gateway>,
    own: PeerId,
    zone: ZoneTag,
    reported: HashMap<EngineTag, EngineLoad>,
    period: u64,
    /// When this node became a relay.
    relays_since: Option<Millis>,
}

/// The loads and placements of one datagram.
struct Portion {
    loads: Vec<(EngineTag, EngineLoad)>,
    placements: Vec<Placement>,
}

impl RelayContents {
    /// Contents for a relay that has not reported yet.
    pub(super) fn new(gateway: Arc<Gateway>) -> Self {
        let own = PeerId::of(&gateway.settings().node.name);
        let zone = ZoneTag::of(&gateway.zone);
        Self {
            gateway,
            own,
            zone,
            reported: HashMap::new(),
            period: 0,
            relays_since: None,
        }
    }

    /// The zone of this node.
    pub(super) fn zone(&self) -> ZoneTag {
        self.zone
    }

    /// Number of the current period, from 1.
    pub(super) fn period(&self) -> u64 {
        self.period
    }

    /// Starts the next reporting period.
    pub(super) fn begin_period(&mut self, now: Millis) {
        self.period += 1;
        self.relays_since.get_or_insert(now);
    }

    /// Resets the reported state, as this node does not relay.
    pub(super) fn reset_reported(&mut self) {
        self.reported.clear();
        self.relays_since = None;
    }

    /// The reports of this period, one for each datagram.
    pub(super) fn next_reports(&mut self, now: Millis) -> Vec<RelayReport> {
        let gateway = Arc::clone(&self.gateway);
        let mut beliefs = gateway.beliefs();
        beliefs.peer_loads.expire(now);
        beliefs.relaying.expire(now);
        let peers = beliefs.peer_loads.peer_count();
        gateway.metrics.peers.set(peers as i64);
        let changes = beliefs.catalogue_log.latest(CHANGE_REPEAT_MS, now);
        let mut changes = changes.pieces(MAX_RELAYED_CHANGES).into_iter();
        let mut header = self.header(&beliefs, now);
        let mut portions = self.portions(&mut beliefs, &header.lost).into_iter();
        let mut reports = Vec::new();
        let is_repeat_due = self.period % PERIODS_PER_MEMBERS == 0;
        let rollouts = &mut beliefs.rollouts;
        let mut rollout_news = rollouts.relay_broadcast(self.reporter(), is_repeat_due, now);
        if rollouts.is_any_open() {
            // The counts of rollouts need a datagram of their own.
            let mut report = header.clone();
            report.loads.sequence = self.next_sequence();
            report.changes_after = beliefs.catalogue_log.through();
            report.changes_through = report.changes_after;
            report.rollouts = rollout_news.take();
            header.loads.members.clear();
            reports.push(report);
        }
        let Beliefs {
            relaying,
            cache_stores,
            ..
        } = &mut *beliefs;
        let stores = relaying.store_changes.next(cache_stores, self.period);
        let mut stores = stores.into_iter();
        loop {
            let (part, portion) = (changes.next(), portions.next());
            let reported = match (&part, &portion) {
                (None, None) => stores.next(),
                _ => None,
            };
            if part.is_none() && portion.is_none() && reported.is_none() {
                let weights = beliefs
                    .weights
                    .current_report(&gateway.weights_bounds(0), now);
                header.changes_through = beliefs.catalogue_log.through();
                header.changes_after = header.changes_through;
                self.add_weights(&mut reports, &header, weights);
                return reports;
            }
            let mut report = header.clone();
            if reported.is_some() {
                // Together with the nodes of a large zone it would not fit one datagram.
                report.loads.members.clear();
            }
            report.stores.extend(reported);
            report.loads.sequence = self.next_sequence();
            if !reports.is_empty() {
                report.loads.members.clear();
            }
            report.rollouts = rollout_news.take();
            if let Some(portion) = portion {
                report.loads.loads = portion.loads;
                report.placements = portion.placements;
            }
            if let Some(part) = part {
                if part.through < beliefs.catalogue_log.through() {
                    // A node with only these changes still lacks those of the following
                    // reports, so this report must not prove that the engines are complete.
                    report.engines_age_ms = None;
                }
                report.changes_after = part.after;
                report.changes_through = part.through;
                report.changes = part.changes;
            } else {
                // The changes are in the previous reports.
                report.changes_after = beliefs.catalogue_log.through();
                report.changes_through = report.changes_after;
            }
            reports.push(report);
        }
    }

    /// Adds the known newest weights to a report with enough space, or to reports of their
    /// own.
    fn add_weights(
        &self,
        reports: &mut Vec<RelayReport>,
        header: &RelayReport,
        weights: WeightsNews,
    ) {
        let mut parts = weights.parts(MAX_REPORTED_VERSIONS);
        if let Some(report) = reports
            .iter_mut()
            .find(|report| report.has_space_for_weights())
        {
            report.weights = parts.pop().unwrap_or_default();
        }
        for weights in parts {
            let mut report = header.clone();
            report.loads.members.clear();
            report.loads.sequence = self.next_sequence();
            report.weights = weights;
            reports.push(report);
        }
    }

    fn next_sequence(&self) -> u64 {
        let sequence = &self.gateway.report_sequence;
        sequence.fetch_add(1, Ordering::Relaxed)
    }

    /// Changed loads and queued placements, split into portions of one datagram.
    fn portions(&mut self, beliefs: &mut Beliefs, lost: &[LostEngine]) -> Vec<Portion> {
        let loads = self.loads_to_report(beliefs);
        let mut loads = loads.chunks(MAX_RELAYED_LOADS);
        let capacity = placement_capacity(MAX_RELAYED_PLACEMENTS, lost);
        let mut portions = Vec::new();
        loop {
            let next = loads.next().unwrap_or_default();
            let placements = beliefs.relaying.next_for_zone(capacity);
            if next.is_empty() && placements.is_empty() {
                return portions;
            }
            portions.push(Portion {
                loads: next.to_vec(),
                placements,
            });
        }
    }

    fn loads_to_report(&mut self, beliefs: &Beliefs) -> Vec<(EngineTag, EngineLoad)> {
        let mut totals = present_loads(&beliefs.engines);
        for (engine, load) in beliefs.peer_loads.totals() {
            totals.entry(engine).or_default().add(load);
        }
        let refreshed = self.period % PERIODS_PER_REFRESH;
        let reports_all = beliefs.engines.len() <= MAX_ENGINES_REPORTED_AT_ONCE
            || self.period % PERIODS_PER_REMOTE_LOADS == 0;
        let zone = &self.gateway.zone;
        let in_zone = beliefs.engines.iter();
        let in_zone = in_zone.filter(|engine| engine.record.zone == *zone);
        let near: BTreeSet<EngineTag> = in_zone.map(|engine| engine.tag).collect();
        let engines: BTreeSet<EngineTag> =
            totals.keys().chain(self.reported.keys()).copied().collect();
        let mut loads = Vec::new();
        for engine in engines {
            let load = totals.get(&engine).copied().unwrap_or_default();
            let is_refreshed = u64::from(engine.0) % PERIODS_PER_REFRESH == refreshed;
            let has_changed = self.reported.get(&engine).copied().unwrap_or_default() != load;
            let is_due = has_changed && (reports_all || near.contains(&engine));
            if is_due || is_refreshed {
                loads.push((engine, load));
            }
        }
        for (engine, load) in &loads {
            let is_refreshed = u64::from(engine.0) % PERIODS_PER_REFRESH == refreshed;
            if is_refreshed && *load == EngineLoad::default() {
                self.reported.remove(engine);
            } else {
                self.reported.insert(*engine, *load);
            }
        }
        loads
    }

    /// Fields common to all reports of a period.
    fn header(&self, beliefs: &Beliefs, now: Millis) -> RelayReport {
        let peers = || beliefs.peer_loads.peers();
        let mut zones: Vec<ZoneTag> = peers().map(|(_, zone)| zone).chain([self.zone]).collect();
        zones.sort_by_key(|zone| zone.0);
        zones.dedup();
        RelayReport {
            loads: RelayedReport {
                sender: self.own,
                life: self.gateway.life,
                sequence: 0,
                loads: Vec::new(),
                loading: loading(beliefs, |_| true),
                members: match self.has_complete_members(now) {
                    true => self.listed_members(beliefs),
                    false => Vec::new(),
                },
                zones,
            },
            placements: Vec::new(),
            loaded: beliefs.recently_loaded(now),
            lease: beliefs.leases.of(LeaseName::Weights).newest(),
            store_era: self.gateway.store_era.get(),
            configuration: beliefs.configuration_version(),
            proof_age_ms: beliefs.freshness.age_ms(now),
            engines_age_ms: beliefs.engines_proof.reported_age_ms(now),
            weights: WeightsNews::default(),
            changes_after: 0,
            changes_through: 0,
            changes: Vec::new(),
            included: None,
            rollouts: None,
            stores: Vec::new(),
            lost: beliefs.losses.of_all(beliefs.engines.len(), now),
            refused_requests: refused_requests(beliefs),
        }
    }

    /// The part of the nodes of the zone that the reports of this period list.
    fn listed_members(&self, beliefs: &Beliefs) -> Vec<PeerId> {
        let peers = beliefs.peer_loads.peers();
        let near = peers.filter(|(_, zone)| *zone == self.zone);
        let members: Vec<PeerId> = near.map(|(id, _)| id).chain([self.own]).collect();
        members_of_period(&members, self.period).to_vec()
    }

    /// Whether all nodes of the zone have had enough time to report to this relay.
    fn has_complete_members(&self, now: Millis) -> bool {
        let since = self.relays_since;
        since.is_some_and(|since| now.since(since) >= MEMBER_LIST_DELAY_MS)
    }

    fn reporter(&self) -> Reporter {
        Reporter {
            node: self.own,
            life: self.gateway.life,
        }
    }

    /// Reports to the relays of other zones: the sums of this zone, and where prompts were
    /// cached first. The data on open rollouts needs datagrams of its own.
    pub(super) fn zone_reports(&self, now: Millis) -> Vec<PeerReport> {
        let mut beliefs = self.gateway.beliefs();
        let lost = beliefs.losses.of_zone(beliefs.engines.len(), now);
        let lease = beliefs.leases.of(LeaseName::Rollouts).newest();
        let header = self.zone_header(&beliefs, &lost, now);
        let capacity = placement_capacity(MAX_PLACEMENTS, &lost);
        let mut reports = Vec::new();
        loop {
            let placements = beliefs.relaying.next_for_other_zones(capacity);
            if placements.is_empty() && !reports.is_empty() {
                break;
            }
            let mut report = header.clone();
            if reports.is_empty() {
                report.loads.is_full = true;
                report.loads.loads = self.zone_loads(&beliefs);
                report.rollouts.lease = lease;
            }
            report.placements = placements;
            reports.push(report);
        }
        let reported = beliefs.rollouts.zone_report(self.reporter(), now);
        reports.extend(reported.pieces().into_iter().map(|rollouts| PeerReport {
            rollouts,
            ..header.clone()
        }));
        for report in &mut reports {
            report.loads.sequence = self.next_sequence();
        }
        reports
    }

    /// Fields common to all reports of a period to other zones.
    fn zone_header(&self, beliefs: &Beliefs, lost: &[LostEngine], now: Millis) -> PeerReport {
        PeerReport {
            loads: LoadReport {
                sender: self.own,
                zone: self.zone,
                life: self.gateway.life,
                sequence: 0,
                is_full: false,
                loads: Vec::new(),
                loading: loading(beliefs, |zone| zone == self.zone),
            },
            placements: Vec::new(),
            loaded: beliefs.recently_loaded(now),
            lease: beliefs.leases.of(LeaseName::Weights).newest(),
            store_era: self.gateway.store_era.get(),
            wants_relay_reports: false,
            rollouts: RolloutReport::default(),
            lost: lost.to_vec(),
        }
    }

    fn zone_loads(&self, beliefs: &Beliefs) -> Vec<(EngineTag, EngineLoad)> {
        let mut totals = beliefs.peer_loads.zone_totals(self.zone);
        for (engine, load) in present_loads(&beliefs.engines) {
            totals.entry(engine).or_default().add(load);
        }
        let mut loads: Vec<(EngineTag, EngineLoad)> = totals.into_iter().collect();
        loads.sort_by_key(|(tag, load)| (std::cmp::Reverse(load.waiting_tokens), *tag));
        loads.truncate(MAX_LOADS);
        loads
    }
}

/// Number of requests that are refused on all nodes; `None` until the refusals in the store
/// are known.
fn refused_requests(beliefs: &Beliefs) -> Option<u32> {
    let quarantine = &beliefs.quarantine;
    quarantine
        .is_stored_list_known()
        .then(|| quarantine.refused() as u32)
}

/// Engines that load weights on the order of this node or of nodes in the zones that
/// `counts` selects.
fn loading(beliefs: &Beliefs, counts: impl Fn(ZoneTag) -> bool) -> Vec<EngineTag> {
    let mut loading = beliefs.peer_loads.loading_of(counts);
    loading.extend(beliefs.loading.iter().map(EngineTag::of));
    loading.sort();
    loading.dedup();
    loading
}

/// The part of a zone's nodes that the reports of a period list. All nodes are listed
/// within ten periods, and in zones of more than 480 nodes within one more period for each
/// further 48.
pub fn members_of_period(members: &[PeerId], period: u64) -> &[PeerId] {
    let parts = members.len().div_ceil(MAX_LISTED_MEMBERS) as u64;
    let part = period % parts.max(PERIODS_PER_MEMBERS);
    let mut chunks = members.chunks(MAX_LISTED_MEMBERS);
    chunks.nth(part as usize).unwrap_or(&[])
}
