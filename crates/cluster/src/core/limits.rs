//! Rate limits over the fleet.

use super::*;

impl NodeCore {
    /// Takes one request from a tenant's rate limit.
    ///
    /// # Errors
    /// When the tenant's rate is used up: the time after which to retry.
    pub fn take_rate(&mut self, tenant: &Tenant, now: Millis) -> Result<(), RetryAfter> {
        let limit = f64::from(tenant.spec.requests_per_second);
        if limit == 0.0 {
            return Ok(());
        }
        let key = TenantKey::of(&tenant.name);
        self.quota.count_request(key);
        let rate = self.quota.rate(key, limit, &self.members, now);
        self.router.take_rate(tenant, rate, now)
    }

    pub(super) fn on_quota_demand(
        &mut self,
        from: SocketAddr,
        sender: NodeKey,
        demand: &ploverlift_wire::messages::QuotaDemand,
        now: Millis,
    ) {
        let snapshot = &self.router.snapshot;
        let limit_of = |key: TenantKey| {
            let tenant = snapshot.tenants.get_by_key(key)?;
            Some(f64::from(tenant.spec.requests_per_second))
        };
        let nodes = self.members.live_count() + 1;
        let grant = self.quota.on_demand(sender, demand, nodes, limit_of, now);
        if !grant.grants.is_empty() {
            self.outbox.send(from, Body::QuotaGrant(grant));
        }
    }
}
