//! The token buckets of all tenants, on nodes that receive the reports of all parts of the
//! fleet: each node of a small fleet, and relays.
//!
//! A part that falls silent (cut off, paused, dead) may still admit its share of each
//! limit. That share is held, which means that it is charged to the bucket, for as long as
//! the part may go on. Once the part reports again, the hold is replaced by what it has
//! actually admitted. After a pause of this process itself, the accounts start over.

use crate::bucket::{granted_in, Bucket};
use crate::parts::{Part, SILENT_MS};
use crate::reports::{PartId, TenantUse, UseReport};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_balancing::report_position::{LifeChange, NewReport, ReportPosition};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::{RateLimit, TenantTag};
use std::collections::{BTreeMap, HashMap};

/// Time for which a silent part may admit its share, in milliseconds. Within the same time,
/// a node that receives no reports either is denied its keys or falls back to an even
/// share.
pub const HOLD_MS: u64 = 6_000;
/// Silence after which a part is removed, in milliseconds. What was held for it by then
/// stays charged.
const PART_RETENTION_MS: u64 = 60_000;
/// Age from which accounts are not replaced by older ones, in milliseconds: buckets with
/// the usual burst have refilled by then.
pub const SETTLED_MS: u64 = 10_000;
/// Smallest difference in age that makes accounts preferable to others, in milliseconds.
pub const MIN_AGE_ADVANTAGE_MS: u64 = 1_000;
/// Share of a limit that is divided evenly over the nodes of a partitioned fleet. The rest
/// is divided by the last known use.
const EVEN_SHARE: f64 = 0.1;
/// Time without an update of the accounts after which this process counts as paused, in
/// milliseconds: six periods of a relay, or twelve of a node in a small fleet.
const PAUSE_THRESHOLD_MS: u64 = 600;
/// Time after a pause within which queued reports have been read, in milliseconds.
const QUEUED_REPORTS_MS: u64 = 100;
/// Delay of a report in transit and in queues, in milliseconds: half of a node's and of a
/// relay's report period, twice between zones.
pub const UNREPORTED_MS: u64 = 150;

/// The state of a tenant's account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountStanding {
    /// Tokens in the bucket. A negative level is a debt.
    pub level: f64,
    /// Tokens a second that other parts admit.
    pub others_per_second: f64,
    /// Tokens a second that are requested from other parts, admitted or not.
    pub others_demand: f64,
}

/// The size of the fleet, and the start time of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of listed nodes, including this one.
    pub nodes: u32,
    /// When this node started.
    pub started_at: Millis,
}

/// The accounts of all tenants.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
    parts: BTreeMap<PartId, Part>,
    buckets: HashMap<TenantTag, Bucket>,
    /// Start time of the accounts; `None` if the fleet itself has just started.
    since: Option<Millis>,
    /// When this process began to keep them, even if it continued from another node's
    /// levels.
    begun_at: Millis,
    advanced_to: Millis,
    /// Reports are ignored until this time, as they may have been queued during a pause.
    ignores_reports_until: Millis,
}

impl Accounts {
    /// Creates accounts with empty buckets, because earlier admissions are unknown.
    pub fn beginning_at(now: Millis) -> Self {
        Self {
            since: Some(now),
            begun_at: now,
            advanced_to: now,
            ..Self::default()
        }
    }

    /// When this process began to count.
    pub fn begun_at(&self) -> Millis {
        self.begun_at
    }

    /// Age of the accounts, in milliseconds.
    pub fn age_ms(&self, now: Millis) -> u64 {
        self.since
            .map_or(u64::from(u32::MAX), |since| now.since(since))
    }

    /// Whether accounts of the given age are preferable to these, which are new.
    pub fn is_younger_than(&self, age_ms: u64, now: Millis) -> bool {
        let own_ms = self.age_ms(now);
        own_ms < SETTLED_MS && age_ms > own_ms + MIN_AGE_ADVANTAGE_MS
    }

    /// Continues from the levels of accounts of the given age.
    pub fn take_over(
        &mut self,
        levels: impl Iterator<Item = (TenantTag, f64)>,
        age_ms: u64,
        now: Millis,
    ) {
        self.since = Some(now.before(age_ms));
        for (tenant, level) in levels {
            self.buckets.insert(tenant, Bucket::with_level(level, now));
        }
    }

    /// Records that a part reported. Its holds are settled tenant by tenant, as it reports
    /// what it has actually admitted.
    fn note_heard(&mut self, part: PartId, now: Millis) {
        let part = self.part(part, now);
        part.heard_at = now;
        part.held_until = now;
    }

    fn part(&mut self, part: PartId, now: Millis) -> &mut Part {
        self.parts
            .entry(part)
            .or_insert_with(|| Part::first_heard(now))
    }

    /// Applies a use report of a part. A report that arrives out of order is ignored.
    pub fn apply(
        &mut self,
        part_id: PartId,
        report: &UseReport,
        limits: &HashMap<TenantTag, RateLimit>,
        now: Millis,
    ) {
        self.resume_after_pause(now);
        if self.ignores_reports(now) {
            return;
        }
        let known = self.parts.get(&part_id);
        let known = known.and_then(|part| part.last_position(report.sender));
        let follows = ReportPosition::follow(known, report.life, report.sequence, now);
        let Some(NewReport { position, life }) = follows else {
            return;
        };
        // A lower life may be a delayed report of an earlier life after all: what it had
        // admitted before its first report is not counted.
        let is_later_life = life == LifeChange::Later;
        if life != LifeChange::Same {
            self.part(part_id, now).restart_reporter(report.sender);
        }
        self.note_heard(part_id, now);
        let is_node = matches!(part_id, PartId::Node(_));
        let is_known_from_start = is_node && (is_later_life || self.since.is_none());
        let part = self.part(part_id, now);
        part.note_report(report, position, is_known_from_start);
        for used in &report.uses {
            let part = self.part(part_id, now);
            let increase = part.count(report.sender, *used, now);
            if let Some(limit) = limits.get(&used.tenant) {
                self.charge(used.tenant, limit, increase, now);
            }
        }
    }

    /// The admitted total of a tenant in the last counted report of a reporter.
    pub fn counted_use(&self, sender: PeerId, tenant: TenantTag) -> u64 {
        let part = self.parts.get(&PartId::Node(sender));
        part.map_or(0, |part| part.last_admitted(sender, tenant))
    }

    /// Brings all accounts up to date: refills the buckets and charges the holds of silent
    /// parts.
    pub fn advance(
        &mut self,
        limits: &HashMap<TenantTag, RateLimit>,
        own_rate: impl Fn(TenantTag) -> f64,
        size: FleetSize,
        now: Millis,
    ) {
        self.resume_after_pause(now);
        let tenants: Vec<TenantTag> = self.limited_tenants(limits);
        for tenant in tenants {
            if let Some(limit) = limits.get(&tenant) {
                self.open_bucket(tenant, limit, now).refill(limit, now);
            }
        }
        let is_minority = self.is_minority(size, now);
        let silent = self.parts.iter();
        let silent = silent.filter(|(_, part)| part.is_silent(now));
        let held = silent.filter(|(_, part)| is_minority || now.since(part.heard_at) < HOLD_MS);
        let held: Vec<PartId> = held.map(|(id, _)| *id).collect();
        for id in held {
            self.hold_share(id, limits, &own_rate, size, now);
        }
        self.hold_for_unheard_nodes(limits, size, now);
        self.parts
            .retain(|_, part| is_minority || now.since(part.heard_at) < PART_RETENTION_MS);
        self.advanced_to = now;
    }

    /// Whether this node receives reports from less than half of the fleet. The others may
    /// then be alive and connected to each other, so their holds continue without a time
    /// limit.
    fn is_minority(&self, size: FleetSize, now: Millis) -> bool {
        let reporting = self.parts.values().filter(|part| !part.is_silent(now));
        let reporting: u32 = reporting.map(|part| part.nodes).sum();
        (reporting + 1) * 2 < size.nodes
    }

    /// Starts the accounts over after a pause of this process: the others report what they
    /// admitted meanwhile in one sum, and the times of the refills are lost. A node that
    /// receives no reports misses nothing during a pause.
    pub fn resume_after_pause(&mut self, now: Millis) {
        let was_paused = now.since(self.advanced_to) >= PAUSE_THRESHOLD_MS;
        if was_paused && self.advanced_to > Millis(0) && !self.parts.is_empty() {
            *self = Self::beginning_at(now);
            self.ignores_reports_until = now.plus(QUEUED_REPORTS_MS);
        }
    }

    /// Whether reports may have been queued during a pause of this process.
    pub fn ignores_reports(&self, now: Millis) -> bool {
        now < self.ignores_reports_until
    }

    /// Tenants that have a limit and any recorded use.
    fn limited_tenants(&self, limits: &HashMap<TenantTag, RateLimit>) -> Vec<TenantTag> {
        let used = self.parts.values().flat_map(|part| part.uses.keys());
        let mut tenants: Vec<TenantTag> = used.chain(self.buckets.keys()).copied().collect();
        tenants.retain(|tenant| limits.contains_key(tenant));
        tenants.sort_unstable();
        tenants.dedup();
        tenants
    }

    fn hold_share(
        &mut self,
        id: PartId,
        limits: &HashMap<TenantTag, RateLimit>,
        own_rate: &impl Fn(TenantTag) -> f64,
        size: FleetSize,
        now: Millis,
    ) {
        let Some(part) = self.parts.get_mut(&id) else {
            return;
        };
        let elapsed_ms = now.since(part.held_until);
        let is_newly_silent = part.held_until == part.heard_at;
        part.held_until = now;
        let tenants: Vec<TenantTag> = self.buckets.keys().copied().collect();
        for tenant in tenants {
            let Some(limit) = limits.get(&tenant) else {
                continue;
            };
            let known = self.parts.get(&id).and_then(|part| part.uses.get(&tenant));
            let known = known.and_then(|used| used.share);
            let share =
                known.unwrap_or_else(|| self.share(id, tenant, limit, own_rate(tenant), size, now));
            let mut held = granted_in(limit, elapsed_ms) * share;
            if let Some(bucket) = self.buckets.get_mut(&tenant) {
                if is_newly_silent {
                    // The part may also use its share of the level at its last report.
                    held += bucket.level().max(0.0) * share;
                }
                bucket.take(held);
            }
            if let Some(part) = self.parts.get_mut(&id) {
                let used = part.uses.entry(tenant).or_default();
                used.held += held;
                used.share = Some(share);
            }
        }
    }

    /// The share of a limit that a silent part may use.
    fn share(
        &self,
        id: PartId,
        tenant: TenantTag,
        limit: &RateLimit,
        own_rate: f64,
        size: FleetSize,
        now: Millis,
    ) -> f64 {
        let Some(part) = self.parts.get(&id) else {
            return 0.0;
        };
        let rates = self.parts.values().map(|part| part.rate(tenant, now));
        let fleet_rate = own_rate + rates.sum::<f64>();
        let nodes = f64::from(part.nodes);
        share_of(limit, part.rate(tenant, now), nodes, fleet_rate, size.nodes)
    }

    /// Holds an even share for each node that has not reported since the accounts began, as
    /// it may be alive behind a network partition.
    fn hold_for_unheard_nodes(
        &mut self,
        limits: &HashMap<TenantTag, RateLimit>,
        size: FleetSize,
        now: Millis,
    ) {
        let elapsed_ms = now.since(self.advanced_to);
        let is_settled = |since| now.since(since) >= HOLD_MS;
        if self.since.is_none_or(is_settled) {
            return;
        }
        let known_nodes: u32 = self.parts.values().map(|part| part.nodes).sum();
        let never_reported = size.nodes.saturating_sub(known_nodes + 1);
        let share = f64::from(never_reported) / f64::from(size.nodes.max(1));
        for (tenant, bucket) in &mut self.buckets {
            if let Some(limit) = limits.get(tenant) {
                bucket.take(granted_in(limit, elapsed_ms) * share);
            }
        }
    }

    /// The bucket of a tenant. A new bucket starts with the refill since the accounts
    /// began.
    fn open_bucket(&mut self, tenant: TenantTag, limit: &RateLimit, now: Millis) -> &mut Bucket {
        let refilled = match self.since {
            None => limit.burst,
            Some(since) => granted_in(limit, now.since(since)).min(limit.burst),
        };
        let bucket = self.buckets.entry(tenant);
        bucket.or_insert_with(|| Bucket::with_level(refilled, now))
    }

    /// Charges admitted tokens to a tenant's bucket; a negative number is a refund.
    pub fn charge(&mut self, tenant: TenantTag, limit: &RateLimit, tokens: f64, now: Millis) {
        let bucket = self.open_bucket(tenant, limit, now);
        bucket.refill(limit, now);
        bucket.take(tokens);
    }

    /// The level of a tenant's bucket, and the use and demand of the parts that report.
    pub fn standing(
        &mut self,
        tenant: TenantTag,
        limit: &RateLimit,
        now: Millis,
    ) -> AccountStanding {
        let bucket = self.open_bucket(tenant, limit, now);
        bucket.refill(limit, now);
        let level = bucket.level();
        let reporting = self.parts.values().filter(|part| !part.is_silent(now));
        let uses = reporting.filter_map(|part| part.uses.get(&tenant));
        let mut standing = AccountStanding {
            level,
            others_per_second: 0.0,
            others_demand: 0.0,
        };
        for used in uses {
            standing.others_per_second += used.rate.per_second(now);
            standing.others_demand += used.demand.per_second(now);
        }
        standing
    }

    /// Age of the oldest last report among the parts that are not silent, in milliseconds.
    pub fn reports_age_ms(&self, now: Millis) -> Option<u64> {
        let ages = self.parts.values().map(|part| now.since(part.heard_at));
        ages.filter(|age_ms| *age_ms < SILENT_MS).max()
    }

    /// Tenants that have a bucket.
    pub fn tenants(&self) -> impl Iterator<Item = TenantTag> + '_ {
        self.buckets.keys().copied()
    }

    /// The use of this node's zone. Holds of silent nodes count as use.
    pub fn zone_uses(&self, own: impl Iterator<Item = TenantUse>) -> Vec<TenantUse> {
        let mut sums: BTreeMap<TenantTag, (i64, u64)> = BTreeMap::new();
        for used in own {
            let sum = sums.entry(used.tenant).or_default();
            sum.0 += used.admitted as i64;
            sum.1 += used.asked;
        }
        for (id, part) in &self.parts {
            if matches!(id, PartId::Node(_)) {
                for (tenant, used) in &part.uses {
                    let sum = sums.entry(*tenant).or_default();
                    sum.0 += used.counted + used.held as i64;
                    sum.1 += used.requested;
                }
            }
        }
        let sums = sums.into_iter();
        sums.map(|(tenant, (admitted, asked))| TenantUse {
            tenant,
            admitted: admitted.max(0) as u64,
            asked,
        })
        .collect()
    }

    /// Number of known nodes in this node's zone, including itself.
    pub fn zone_nodes(&self) -> u32 {
        let nodes = self.parts.keys();
        let nodes = nodes.filter(|id| matches!(id, PartId::Node(_)));
        nodes.count() as u32 + 1
    }
}

/// The share of a limit that one part of a partitioned fleet may use: mostly by its last
/// known use and a little evenly, so that every part gets some.
pub fn share_of(
    limit: &RateLimit,
    part_rate: f64,
    part_nodes: f64,
    fleet_rate: f64,
    fleet_nodes: u32,
) -> f64 {
    let even = limit.per_second * EVEN_SHARE;
    let part_even = even * part_nodes / f64::from(fleet_nodes.max(1));
    let share = (part_rate + part_even) / (fleet_rate + even);
    share.min(1.0)
}
