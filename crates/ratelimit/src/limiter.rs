//! Admission of a tenant's requests at one node.

use crate::accounts::{Accounts, FleetSize, UNREPORTED_MS};
use crate::own_use::OwnUse;
use crate::reports::{is_refresh_due, LevelReport, PartId, TenantLevel, TenantUse, UseReport};
use crate::standing::{Basis, Standing, PROPAGATION_MS};
use crate::tenant_levels::{Allowance, RelayLevels};
use ploverlift_balancing::peer_loads::PeerId;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::{RateLimit, TenantTag};
use std::collections::HashMap;

/// Share of the burst below which a relay includes a tenant's level in each report; the
/// levels of other tenants are included in rotation.
const NEAR_LIMIT_SHARE: f64 = 0.75;

/// A class of requests whose costs differ by less than a factor of four.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct SizeClass(u32);

impl SizeClass {
    fn of(cost: u64) -> Self {
        Self(cost.checked_ilog(4).unwrap_or(0))
    }
}

/// The limits of all tenants at one node.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    limits: HashMap<TenantTag, RateLimit>,
    own: OwnUse,
    accounts: Option<Accounts>,
    relay_levels: RelayLevels,
    level_reports: u64,
    /// Unused admission credit of each tenant and size class, in tokens.
    share_credits: HashMap<(TenantTag, SizeClass), f64>,
}

/// The use of a zone, as summed up by one of its relays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneSum {
    /// Use by tenant.
    pub uses: Vec<TenantUse>,
    /// Number of nodes in the sum.
    pub nodes: u32,
    /// When this process began to count. Sums with different start times are not
    /// comparable.
    pub begun_at: Millis,
}

/// The role of a node in its fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Membership {
    /// Whether the node receives the reports of all parts of the fleet and keeps accounts
    /// itself.
    pub keeps_accounts: bool,
    /// Whether the fleet itself has just started, so that nothing ran before.
    pub is_first_start: bool,
    /// The size of the fleet.
    pub size: FleetSize,
}

impl RateLimiter {
    /// Replaces the limits of all tenants.
    pub fn set_limits(&mut self, limits: HashMap<TenantTag, RateLimit>) {
        self.limits = limits;
    }

    /// Whether any tenant has a limit.
    pub fn has_limits(&self) -> bool {
        !self.limits.is_empty()
    }

    /// The limit of a tenant.
    pub fn limit(&self, tenant: TenantTag) -> Option<RateLimit> {
        self.limits.get(&tenant).copied()
    }

    /// Decides on a request of a tenant with this limit that costs `cost`.
    ///
    /// While a fleet is whole, a request may overdraw the bucket; otherwise large requests
    /// would never be admitted beside small ones. A node that is isolated from its fleet
    /// needs the full cost in its bucket.
    pub fn decide(
        &mut self,
        tenant: TenantTag,
        cost: u64,
        limit: &RateLimit,
        membership: &Membership,
        now: Millis,
    ) -> Standing {
        self.own.record_demand(tenant, cost, now);
        let mut standing = self.standing(tenant, cost, limit, membership, now);
        if standing.basis != Basis::OwnShare {
            standing.is_admitted = self.is_admitted_by_share(tenant, cost, standing.admitted_share);
        }
        if standing.is_admitted {
            self.charge(tenant, cost, now);
        }
        standing
    }

    /// The state of a tenant before a request that costs `cost`. Nothing is charged.
    pub fn standing(
        &mut self,
        tenant: TenantTag,
        cost: u64,
        limit: &RateLimit,
        membership: &Membership,
        now: Millis,
    ) -> Standing {
        let (basis, allowance) = self.allowance(tenant, limit, membership, now);
        let own_demand = self.own.demand(tenant).per_second(now);
        let others_demand = (allowance.fleet_demand - own_demand).max(0.0);
        let unreported_demand = others_demand * PROPAGATION_MS / 1_000.0;
        let admitted_share = match basis {
            Basis::OwnShare if allowance.available >= cost as f64 => 1.0,
            Basis::OwnShare => 0.0,
            _ if allowance.available <= 0.0 => 0.0,
            _ => (allowance.available / unreported_demand.max(1.0)).min(1.0),
        };
        Standing {
            basis,
            limit: *limit,
            allowance,
            cost,
            admitted_share,
            is_admitted: admitted_share >= 1.0,
        }
    }

    /// Whether a request is in the admitted share of its tenant's requests. Each request
    /// adds its share of its cost to a credit, and an admitted one deducts its cost. Each
    /// size class has its own credit: otherwise a large request would leave a debt that
    /// many small ones had to wait for.
    fn is_admitted_by_share(&mut self, tenant: TenantTag, cost: u64, share: f64) -> bool {
        let key = (tenant, SizeClass::of(cost));
        if share >= 1.0 {
            self.share_credits.remove(&key);
            return true;
        }
        let cost = cost as f64;
        let credit = self.share_credits.entry(key).or_insert(0.0);
        *credit = (*credit + cost * share).min(cost);
        let is_in_share = *credit > 0.0 && share > 0.0;
        if is_in_share {
            *credit -= cost;
        }
        is_in_share
    }

    fn allowance(
        &mut self,
        tenant: TenantTag,
        limit: &RateLimit,
        membership: &Membership,
        now: Millis,
    ) -> (Basis, Allowance) {
        self.update_accounts(membership, now);
        if let Some(accounts) = &mut self.accounts {
            accounts.resume_after_pause(now);
            let standing = accounts.standing(tenant, limit, now);
            let unreported = standing.others_per_second * UNREPORTED_MS as f64 / 1_000.0;
            let own_demand = self.own.demand(tenant).per_second(now);
            let allowance = Allowance {
                available: standing.level - unreported,
                refill_per_second: limit.per_second,
                others_per_second: standing.others_per_second,
                fleet_demand: standing.others_demand + own_demand,
                age_ms: accounts.reports_age_ms(now),
            };
            return (Basis::Accounts, allowance);
        }
        if let Some(allowance) = self.relay_levels.allowance(tenant, limit, &self.own, now) {
            return (Basis::Relays, allowance);
        }
        let started_at = membership.size.started_at;
        let relay_levels = &mut self.relay_levels;
        let allowance = relay_levels.own_share(tenant, limit, started_at, now);
        (Basis::OwnShare, allowance)
    }

    /// Starts or stops keeping accounts according to the role of this node.
    fn update_accounts(&mut self, membership: &Membership, now: Millis) {
        match (membership.keeps_accounts, &self.accounts) {
            (true, None) => self.accounts = Some(self.new_accounts(membership, now)),
            (false, Some(_)) => self.accounts = None,
            _ => {}
        }
    }

    fn new_accounts(&self, membership: &Membership, now: Millis) -> Accounts {
        if let Some((levels, age_ms)) = self.relay_levels.handover(now) {
            let mut accounts = Accounts::beginning_at(now);
            accounts.take_over(levels.into_iter(), age_ms, now);
            return accounts;
        }
        match membership.is_first_start {
            true => Accounts::default(),
            false => Accounts::beginning_at(now),
        }
    }

    /// Counts tokens as admitted by this node.
    pub fn charge(&mut self, tenant: TenantTag, tokens: u64, now: Millis) {
        self.own.charge(tenant, tokens, now);
        self.charge_bucket(tenant, tokens as f64, now);
    }

    /// Returns tokens of a request that was admitted but did not run.
    pub fn refund(&mut self, tenant: TenantTag, tokens: u64, now: Millis) {
        self.own.refund(tenant, tokens, now);
        self.charge_bucket(tenant, -(tokens as f64), now);
    }

    fn charge_bucket(&mut self, tenant: TenantTag, tokens: f64, now: Millis) {
        let Some(limit) = self.limit(tenant) else {
            return;
        };
        match &mut self.accounts {
            Some(accounts) => accounts.charge(tenant, &limit, tokens, now),
            None => self.relay_levels.charge_share(tenant, tokens),
        }
    }

    /// Applies a report of the use of a part of the fleet. A node without accounts ignores
    /// it.
    pub fn apply_use_report(&mut self, part: PartId, report: &UseReport, now: Millis) {
        if let Some(accounts) = &mut self.accounts {
            accounts.apply(part, report, &self.limits, now);
        }
    }

    /// Applies the levels that a relay reports. A node that has kept accounts itself for a
    /// shorter time than the relay continues from these levels.
    pub fn apply_level_report(&mut self, report: &LevelReport, now: Millis) {
        self.relay_levels.apply(report, &self.own, now);
        let Some(accounts) = &mut self.accounts else {
            return;
        };
        let ignores_reports = accounts.ignores_reports(now);
        if !ignores_reports && accounts.is_younger_than(report.accounts_age_ms, now) {
            let levels = report.levels.iter();
            let levels = levels.map(|reported| (reported.tenant, reported.level as f64));
            accounts.take_over(levels, report.accounts_age_ms, now);
        }
    }

    /// The use that this node has admitted, by tenant.
    pub fn own_uses(&self) -> impl Iterator<Item = TenantUse> + '_ {
        self.own.iter()
    }

    /// The use of this node's zone; `None` if this node keeps no accounts.
    pub fn zone_sum(&self) -> Option<ZoneSum> {
        let accounts = self.accounts.as_ref()?;
        Some(ZoneSum {
            uses: accounts.zone_uses(self.own.iter()),
            nodes: accounts.zone_nodes(),
            begun_at: accounts.begun_at(),
        })
    }

    /// Brings the accounts up to date. A node that keeps accounts calls it in each period.
    pub fn advance(&mut self, membership: &Membership, now: Millis) {
        self.update_accounts(membership, now);
        let own = &self.own;
        if let Some(accounts) = &mut self.accounts {
            let own_rate = |tenant| own.rate(tenant).per_second(now);
            accounts.advance(&self.limits, own_rate, membership.size, now);
        }
    }

    /// The levels for a relay's next report. `counted` is 0; the caller sets it for each
    /// receiver.
    pub fn next_levels(&mut self, now: Millis) -> Vec<TenantLevel> {
        self.level_reports += 1;
        let Some(accounts) = &mut self.accounts else {
            return Vec::new();
        };
        let mut levels = Vec::new();
        let tenants: Vec<TenantTag> = accounts.tenants().collect();
        for tenant in tenants {
            let Some(limit) = self.limits.get(&tenant) else {
                continue;
            };
            let standing = accounts.standing(tenant, limit, now);
            let is_near = standing.level < limit.burst * NEAR_LIMIT_SHARE;
            if is_near || is_refresh_due(tenant, self.level_reports) {
                let own_rate = self.own.rate(tenant).per_second(now);
                let own_demand = self.own.demand(tenant).per_second(now);
                levels.push(TenantLevel {
                    tenant,
                    level: standing.level as i64,
                    fleet_rate: (standing.others_per_second + own_rate) as u64,
                    fleet_demand: (standing.others_demand + own_demand) as u64,
                    counted: 0,
                });
            }
        }
        levels
    }

    /// The admitted total of each tenant in the last counted report of a reporter.
    pub fn counted_use(&self, sender: PeerId, tenants: &[TenantTag]) -> Vec<u64> {
        let accounts = self.accounts.as_ref();
        let counted = |tenant: &TenantTag| {
            accounts.map_or(0, |accounts| accounts.counted_use(sender, *tenant))
        };
        tenants.iter().map(counted).collect()
    }

    /// Age of this node's accounts, in milliseconds; 0 if it keeps none.
    pub fn accounts_age_ms(&self, now: Millis) -> u64 {
        let accounts = self.accounts.as_ref();
        accounts.map_or(0, |accounts| accounts.age_ms(now))
    }
}
