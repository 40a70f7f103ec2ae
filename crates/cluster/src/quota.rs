//! Rate limits that hold over the whole fleet.
//!
//! Each tenant has a home node, selected by rendezvous hashing over the live
//! nodes. Nodes report their demand to it; it leases out the tenant's rate in
//! proportion. A node without a valid lease uses its even share of the rate, so
//! a network partition or a dead home node refuses no caller for long. While
//! leases from before a partition still run, nodes that lost their home node
//! add their even shares: the sum may then exceed the limit, by an amount
//! without a known upper bound.

use crate::membership::Membership;
use crate::node_key::{rendezvous_first, NodeKey};
use crate::output::Outbox;
use ploverlift_policy::ids::Millis;
use ploverlift_policy::snapshot::TenantKey;
use ploverlift_wire::messages::envelope::Body;
use ploverlift_wire::messages::{QuotaDemand, QuotaGrant, TenantDemand, TenantGrant};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

/// Interval between demand reports, in milliseconds.
pub const DEMAND_PERIOD_MS: u64 = 1_000;
/// Validity of a lease, in milliseconds.
pub const LEASE_MS: u64 = 3_000;
/// Fraction of a tenant's rate that the home node leases by demand; the rest is
/// shared evenly.
const BY_DEMAND_SHARE: f64 = 0.9;

#[derive(Clone, Copy, Debug)]
struct Lease {
    rate: f64,
    until: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    rate: f64,
    until: Millis,
}

/// One node's part in quotas: as a user of leases and as the home node of
/// tenants.
#[derive(Debug, Default)]
pub struct Quota {
    request_counts: HashMap<TenantKey, u64>,
    leases: HashMap<TenantKey, Lease>,
    home_demands: HashMap<TenantKey, BTreeMap<NodeKey, Demand>>,
    next_report: Millis,
}

impl Quota {
    /// Counts a request of a tenant with a limit.
    pub fn count_request(&mut self, tenant: TenantKey) {
        *self.request_counts.entry(tenant).or_default() += 1;
    }

    /// The rate that this node may use of a tenant's `limit`, in requests per
    /// second.
    pub fn rate(&self, tenant: TenantKey, limit: f64, members: &Membership, now: Millis) -> f64 {
        match self.leases.get(&tenant) {
            Some(lease) if lease.until > now => lease.rate.min(limit),
            _ => limit / (members.live_count() as f64 + 1.0),
        }
    }

    /// Reports demand to the home nodes once per period.
    pub fn tick(&mut self, now: Millis, members: &Membership, outbox: &mut Outbox) {
        if now < self.next_report {
            return;
        }
        self.next_report = now.plus(DEMAND_PERIOD_MS);
        self.leases.retain(|_, lease| lease.until > now);
        let mut by_home: BTreeMap<SocketAddr, QuotaDemand> = BTreeMap::new();
        for (tenant, requests) in std::mem::take(&mut self.request_counts) {
            let demand = TenantDemand {
                tenant: tenant.0,
                demand_milli: requests * 1_000 * 1_000 / DEMAND_PERIOD_MS,
            };
            let home = home_address(tenant, members);
            by_home.entry(home).or_default().demands.push(demand);
        }
        for (home, mut demand) in by_home {
            demand.demands.sort_by_key(|demand| demand.tenant);
            outbox.send(home, Body::QuotaDemand(demand));
        }
    }

    /// As the home node: records demand and leases out rates. `limit_of`
    /// returns a tenant's limit in requests per second. The rate that is not
    /// leased by demand is shared evenly by `nodes` nodes. Returns the answer
    /// to the reporting node.
    pub fn on_demand(
        &mut self,
        sender: NodeKey,
        demand: &QuotaDemand,
        nodes: usize,
        limit_of: impl Fn(TenantKey) -> Option<f64>,
        now: Millis,
    ) -> QuotaGrant {
        let mut grant = QuotaGrant {
            grants: Vec::new(),
            valid_ms: LEASE_MS,
        };
        for tenant_demand in &demand.demands {
            let tenant = TenantKey(tenant_demand.tenant);
            let Some(limit) = limit_of(tenant) else {
                continue;
            };
            let demands = self.home_demands.entry(tenant).or_default();
            demands.retain(|_, known| known.until > now);
            let own = Demand {
                rate: tenant_demand.demand_milli as f64 / 1_000.0,
                until: now.plus(LEASE_MS),
            };
            demands.insert(sender, own);
            let total: f64 = demands.values().map(|known| known.rate).sum();
            let rate = leased_rate(limit, own.rate, total, nodes);
            grant.grants.push(TenantGrant {
                tenant: tenant_demand.tenant,
                rate_milli: (rate * 1_000.0) as u64,
            });
        }
        self.home_demands
            .retain(|_, demands| demands.values().any(|known| known.until > now));
        grant
    }

    /// Stores granted leases.
    pub fn on_grant(&mut self, grant: &QuotaGrant, now: Millis) {
        for granted in &grant.grants {
            let lease = Lease {
                rate: granted.rate_milli as f64 / 1_000.0,
                until: now.plus(grant.valid_ms.min(LEASE_MS)),
            };
            self.leases.insert(TenantKey(granted.tenant), lease);
        }
    }

    /// Number of tenants with a lease on this node, plus those with demand
    /// recorded on this node as their home.
    pub fn len(&self) -> usize {
        self.leases.len() + self.home_demands.len()
    }

    /// Whether neither leases nor demands are recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

fn leased_rate(limit: f64, demand: f64, total_demand: f64, nodes: usize) -> f64 {
    let by_demand = if total_demand > 0.0 {
        limit * BY_DEMAND_SHARE * demand / total_demand
    } else {
        0.0
    };
    by_demand + limit * (1.0 - BY_DEMAND_SHARE) / nodes.max(1) as f64
}

fn home_address(tenant: TenantKey, members: &Membership) -> SocketAddr {
    let live = members.live().map(|(key, _)| key);
    let home = rendezvous_first(tenant.0, live.chain([members.own_key()]));
    let address = home.and_then(|home| members.address(home));
    address.unwrap_or(members.own().address)
}
