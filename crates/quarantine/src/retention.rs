//! Limits on the number of recorded requests, and their eviction order.

use crate::exchange::CLEARING_RETENTION_MS;
use crate::fingerprint::RequestFingerprint;
use crate::quarantine::Quarantine;
use crate::suspect::Suspect;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::HashMap;

/// Most recorded requests of one tenant.
pub const MAX_PER_TENANT: usize = 64;
/// Most recorded requests, of 300 bytes each.
pub const MAX_REQUESTS: usize = 1_024;

impl Quarantine {
    pub(crate) fn suspect(
        &mut self,
        request: RequestFingerprint,
        tenant: TenantTag,
        now: Millis,
    ) -> &mut Suspect {
        if !self.suspects.contains_key(&request) {
            self.evict_for(tenant, now);
        }
        let suspect = self.suspects.entry(request);
        suspect.or_insert_with(|| Suspect::new(tenant, now))
    }

    /// Evicts one of the tenant's own requests, so that it does not displace those of other
    /// tenants. If the tenant has few and the total is reached, a request of the largest
    /// tenant is evicted.
    fn evict_for(&mut self, tenant: TenantTag, now: Millis) {
        if self.suspects.len() >= MAX_REQUESTS {
            self.expire(now);
        }
        let of_tenant = self.suspects.values();
        let of_tenant = of_tenant.filter(|known| known.tenant == tenant).count();
        let evicted_tenant = match (
            of_tenant >= MAX_PER_TENANT,
            self.suspects.len() >= MAX_REQUESTS,
        ) {
            (true, _) => Some(tenant),
            (false, true) => self.largest_tenant(),
            (false, false) => None,
        };
        let Some(evicted_tenant) = evicted_tenant else {
            return;
        };
        let suspects = self.suspects.iter();
        let of_tenant = suspects.filter(|(_, known)| known.tenant == evicted_tenant);
        let least = of_tenant.min_by_key(|(request, known)| (known.retention_rank(), **request));
        if let Some(request) = least.map(|(request, _)| *request) {
            let forgotten = self.suspects.remove(&request);
            let refusal = forgotten.and_then(|suspect| suspect.refusal);
            if refusal.is_some_and(|refusal| refusal.stored_at.is_some()) {
                self.to_delete.push(request);
            }
        }
    }

    fn largest_tenant(&self) -> Option<TenantTag> {
        let mut counts: HashMap<TenantTag, usize> = HashMap::new();
        for suspect in self.suspects.values() {
            *counts.entry(suspect.tenant).or_default() += 1;
        }
        let largest = counts
            .into_iter()
            .max_by_key(|(tenant, count)| (*count, *tenant));
        largest.map(|(tenant, _)| tenant)
    }

    pub(crate) fn expire(&mut self, now: Millis) {
        self.suspects.retain(|_, suspect| !suspect.is_expired(now));
        self.cleared
            .retain(|cleared| now.since(cleared.at) < CLEARING_RETENTION_MS);
    }
}
