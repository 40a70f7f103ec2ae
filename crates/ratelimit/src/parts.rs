//! Use reported by the parts of the fleet: merging the reports of several reporters into
//! one count, and detecting silent parts.

use crate::recent_rate::RecentRate;
use crate::reports::{TenantUse, UseReport};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::report_position::ReportPosition;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::{BTreeMap, HashMap};

/// Longest time between two use reports, in milliseconds: five reports a second cost a node
/// about 300 bytes a second.
pub const HEARTBEAT_MS: u64 = 200;
/// Time without a report after which a part counts as cut off, in milliseconds: three
/// reports.
pub const SILENT_MS: u64 = 3 * HEARTBEAT_MS;
/// Time without a report after which a relay's sum of its zone is superseded by another
/// relay's, in milliseconds: four report periods.
const SUM_SILENT_MS: u64 = 400;
/// Time within which a reporter includes each tenant at least once, in milliseconds. A
/// total that is first reported within this time may contain old use; a tenant that is
/// first reported later has only recent use.
const BASELINE_MS: u64 = 1_500;

/// The reports of one reporter of a part.
#[derive(Clone, Debug)]
struct Stream {
    position: ReportPosition,
    joined_at: Millis,
    /// Whether its whole total was admitted after the part became known.
    is_known_from_start: bool,
    counters: HashMap<TenantTag, Counter>,
}

/// The last reported total of a tenant, and its offset to the count of the part.
#[derive(Clone, Copy, Debug)]
struct Counter {
    admitted: i64,
    offset: i64,
    requested: u64,
}

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PartUse {
    pub(crate) counted: i64,
    pub(crate) requested: u64,
    pub(crate) rate: RecentRate,
    pub(crate) demand: RecentRate,
    pub(crate) held: f64,
    /// The share of the limit that the part may use while it is silent, by the use of all
    /// parts when it fell silent.
    pub(crate) share: Option<f64>,
}

#[derive(Clone, Debug)]
pub(crate) struct Part {
    pub(crate) nodes: u32,
    pub(crate) heard_at: Millis,
    /// Time up to which its share is held. It starts at `heard_at`.
    pub(crate) held_until: Millis,
    streams: BTreeMap<PeerId, Stream>,
    pub(crate) uses: HashMap<TenantTag, PartUse>,
}

impl Part {
    /// Creates a part at its first report.
    pub(crate) fn first_heard(now: Millis) -> Self {
        Self {
            nodes: 1,
            heard_at: now,
            held_until: now,
            streams: BTreeMap::new(),
            uses: HashMap::new(),
        }
    }

    /// The position of the last report of a reporter.
    pub(crate) fn last_position(&self, sender: PeerId) -> Option<ReportPosition> {
        let stream = self.streams.get(&sender);
        stream.map(|stream| stream.position)
    }

    /// Records that a reporter has restarted. It does not report what its previous run
    /// admitted without reporting it, so the tokens held for that stay charged.
    pub(crate) fn restart_reporter(&mut self, sender: PeerId) {
        self.streams.remove(&sender);
        for used in self.uses.values_mut() {
            used.held = 0.0;
            used.share = None;
        }
    }

    /// Records a report that is newer than the last one.
    pub(crate) fn note_report(
        &mut self,
        report: &UseReport,
        position: ReportPosition,
        is_known_from_start: bool,
    ) {
        self.nodes = report.nodes.max(1);
        let stream = self.streams.entry(report.sender).or_insert_with(|| Stream {
            position,
            joined_at: position.heard_at(),
            is_known_from_start,
            counters: HashMap::new(),
        });
        stream.position = position;
    }

    /// Whether the part has been silent for so long that it counts as cut off.
    pub(crate) fn is_silent(&self, now: Millis) -> bool {
        now.since(self.heard_at) >= SILENT_MS
    }

    /// The total of a tenant in the last report of a reporter.
    pub(crate) fn last_admitted(&self, sender: PeerId, tenant: TenantTag) -> u64 {
        let stream = self.streams.get(&sender);
        let counter = stream.and_then(|stream| stream.counters.get(&tenant));
        counter.map_or(0, |counter| counter.admitted.max(0) as u64)
    }

    /// Raises the offset of a reporter's total of a tenant.
    fn realign(&mut self, sender: PeerId, tenant: TenantTag, by: i64) {
        let stream = self.streams.get_mut(&sender);
        let counter = stream.and_then(|stream| stream.counters.get_mut(&tenant));
        if let Some(counter) = counter {
            counter.offset += by;
        }
    }

    /// Applies the reported use of a tenant. Returns how many more tokens the part has
    /// admitted than were charged to the bucket; negative if fewer.
    pub(crate) fn count(&mut self, sender: PeerId, reported: TenantUse, now: Millis) -> f64 {
        let streams = self.streams.values();
        let mut others = streams.filter(|stream| stream.counters.contains_key(&reported.tenant));
        let has_other_reporter = others.next().is_some();
        let used = self.uses.entry(reported.tenant).or_default();
        let Some(stream) = self.streams.get_mut(&sender) else {
            return 0.0;
        };
        let admitted = reported.admitted as i64;
        let has_baseline = stream.is_known_from_start || now.since(stream.joined_at) >= BASELINE_MS;
        let first_offset = match has_baseline && !has_other_reporter {
            true => used.counted,
            false => used.counted - admitted,
        };
        let counter = stream.counters.entry(reported.tenant).or_insert(Counter {
            admitted,
            offset: first_offset,
            requested: reported.asked,
        });
        let is_refund = admitted < counter.admitted;
        counter.admitted = admitted;
        let demand_increase = reported.asked.saturating_sub(counter.requested);
        counter.requested = reported.asked;
        // Several relays sum up the same zone: the highest count applies.
        let fresh = self.streams.values();
        let fresh = fresh.filter(|stream| now.since(stream.position.heard_at()) < SUM_SILENT_MS);
        let leader = fresh.clone().map(|stream| stream.joined_at).min();
        let is_leading = leader == self.streams.get(&sender).map(|stream| stream.joined_at);
        let counters = fresh.filter_map(|stream| stream.counters.get(&reported.tenant));
        let counted = counters.map(|counter| counter.admitted + counter.offset);
        let counted = counted.max().unwrap_or(used.counted);
        if counted < used.counted && !is_refund {
            // The relay with the higher count is silent: continue from its count.
            let behind = used.counted - counted;
            self.realign(sender, reported.tenant, behind);
            return 0.0;
        }
        let increase = (counted - used.counted) as f64;
        used.counted = counted;
        used.share = None;
        used.rate.add(increase, now);
        if demand_increase > 0 && is_leading {
            used.requested += demand_increase;
            used.demand.add(demand_increase as f64, now);
        }
        // The tokens held while the part was silent are already charged.
        increase - std::mem::take(&mut used.held)
    }

    /// Use a second of the part; for a silent part, its use when it fell silent.
    pub(crate) fn rate(&self, tenant: TenantTag, now: Millis) -> f64 {
        let known_at = match self.is_silent(now) {
            true => self.heard_at,
            false => now,
        };
        let used = self.uses.get(&tenant);
        used.map_or(0.0, |used| used.rate.per_second(known_at))
    }
}
