//! The use that this node has admitted.

use crate::parts::HEARTBEAT_MS;
use crate::recent_rate::RecentRate;
use crate::reports::{is_refresh_due, TenantUse};
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, Default)]
struct TenantTotals {
    admitted: u64,
    asked: u64,
    rate: RecentRate,
    demand: RecentRate,
}

/// The tokens requested from and admitted by this node since its start.
#[derive(Clone, Debug, Default)]
pub struct OwnUse {
    tenants: HashMap<TenantTag, TenantTotals>,
}

impl OwnUse {
    /// Records requested tokens.
    pub fn record_demand(&mut self, tenant: TenantTag, tokens: u64, now: Millis) {
        let totals = self.tenants.entry(tenant).or_default();
        totals.asked += tokens;
        totals.demand.add(tokens as f64, now);
    }

    /// Records admitted tokens.
    pub fn charge(&mut self, tenant: TenantTag, tokens: u64, now: Millis) {
        let totals = self.tenants.entry(tenant).or_default();
        totals.admitted += tokens;
        totals.rate.add(tokens as f64, now);
    }

    /// Returns admitted tokens of a request that did not run.
    pub fn refund(&mut self, tenant: TenantTag, tokens: u64, now: Millis) {
        if let Some(totals) = self.tenants.get_mut(&tenant) {
            totals.admitted = totals.admitted.saturating_sub(tokens);
            totals.rate.add(-(tokens as f64), now);
        }
    }

    /// The admitted tokens of a tenant.
    pub fn admitted(&self, tenant: TenantTag) -> u64 {
        let totals = self.tenants.get(&tenant);
        totals.map_or(0, |totals| totals.admitted)
    }

    /// The recent use of a tenant at this node.
    pub fn rate(&self, tenant: TenantTag) -> RecentRate {
        let totals = self.tenants.get(&tenant);
        totals.map_or_else(RecentRate::default, |totals| totals.rate)
    }

    /// The recent demand of a tenant at this node.
    pub fn demand(&self, tenant: TenantTag) -> RecentRate {
        let totals = self.tenants.get(&tenant);
        totals.map_or_else(RecentRate::default, |totals| totals.demand)
    }

    /// The totals of all tenants.
    pub fn iter(&self) -> impl Iterator<Item = TenantUse> + '_ {
        let tenants = self.tenants.iter();
        tenants.map(|(tenant, totals)| TenantUse {
            tenant: *tenant,
            admitted: totals.admitted,
            asked: totals.asked,
        })
    }
}

/// The use that was already sent in a stream of reports.
#[derive(Clone, Debug, Default)]
pub struct ReportedUse {
    reported: HashMap<TenantTag, (u64, u64)>,
    reports: u64,
    reported_at: Option<Millis>,
}

impl ReportedUse {
    /// The uses for the next report: those that changed, and some others in rotation.
    /// `None` if nothing changed and the last report is recent.
    pub fn next(
        &mut self,
        uses: impl Iterator<Item = TenantUse>,
        now: Millis,
    ) -> Option<Vec<TenantUse>> {
        self.reports += 1;
        let is_due = |used: &TenantUse| {
            is_refresh_due(used.tenant, self.reports)
                || self.reported.get(&used.tenant) != Some(&(used.admitted, used.asked))
        };
        let due: Vec<TenantUse> = uses.filter(is_due).collect();
        for used in &due {
            self.reported
                .insert(used.tenant, (used.admitted, used.asked));
        }
        let rested = |at| now.since(at) >= HEARTBEAT_MS;
        if due.is_empty() && !self.reported_at.is_none_or(rested) {
            return None;
        }
        self.reported_at = Some(now);
        Some(due)
    }
}
