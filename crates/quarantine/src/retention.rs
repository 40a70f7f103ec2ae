//! Limits on the number of recorded subjects, and their eviction order. Requests and parts
//! have limits of their own, so that neither displaces the other.

use crate::exchange::CLEARING_RETENTION_MS;
use crate::quarantine::Quarantine;
use crate::subject::Subject;
use crate::suspect::Suspect;
use ploverlift_policy::ids::Millis;
use ploverlift_routing::rate_limit::TenantTag;
use std::collections::HashMap;

/// Most recorded requests of one tenant.
pub const MAX_PER_TENANT: usize = 64;
/// Most recorded requests, of 300 bytes each.
pub const MAX_REQUESTS: usize = 1_024;
/// Most recorded parts of one tenant. An engine runs a dozen requests with a few parts each.
pub const MAX_PARTS_PER_TENANT: usize = 256;
/// Most recorded parts, of 300 bytes each.
pub const MAX_PARTS: usize = 1_024;

impl Quarantine {
    pub(crate) fn suspect(
        &mut self,
        subject: Subject,
        tenant: TenantTag,
        now: Millis,
    ) -> &mut Suspect {
        if !self.suspects.contains_key(&subject) {
            self.evict_for(subject, tenant, now);
        }
        let suspect = self.suspects.entry(subject);
        suspect.or_insert_with(|| Suspect::new(subject, tenant, now))
    }

    /// Evicts one of the tenant's own subjects of the same kind, so that it does not displace
    /// those of other tenants. If the tenant has few and the total is reached, a subject of the
    /// largest tenant is evicted.
    fn evict_for(&mut self, subject: Subject, tenant: TenantTag, now: Millis) {
        let (of_tenant_limit, limit) = match subject.is_part() {
            true => (MAX_PARTS_PER_TENANT, MAX_PARTS),
            false => (MAX_PER_TENANT, MAX_REQUESTS),
        };
        let count = |quarantine: &Self| quarantine.of_kind(subject).count();
        if count(self) >= limit {
            self.expire(now);
        }
        let of_tenant = self.of_kind(subject);
        let of_tenant = of_tenant
            .filter(|(_, known)| known.tenant == tenant)
            .count();
        let evicted_tenant = match (of_tenant >= of_tenant_limit, count(self) >= limit) {
            (true, _) => Some(tenant),
            (false, true) => self.largest_tenant(subject),
            (false, false) => None,
        };
        let Some(evicted_tenant) = evicted_tenant else {
            return;
        };
        let of_tenant = self.of_kind(subject);
        let of_tenant = of_tenant.filter(|(_, known)| known.tenant == evicted_tenant);
        let least = of_tenant.min_by_key(|(known, suspect)| (suspect.retention_rank(), **known));
        if let Some(evicted) = least.map(|(evicted, _)| *evicted) {
            let forgotten = self.suspects.remove(&evicted);
            let refusal = forgotten.and_then(|suspect| suspect.refusal);
            if refusal.is_some_and(|refusal| refusal.stored_at.is_some()) {
                self.to_delete.push(evicted);
            }
        }
    }

    /// The recorded subjects of the same kind.
    fn of_kind(&self, subject: Subject) -> impl Iterator<Item = (&Subject, &Suspect)> {
        let suspects = self.suspects.iter();
        suspects.filter(move |(known, _)| known.is_part() == subject.is_part())
    }

    fn largest_tenant(&self, subject: Subject) -> Option<TenantTag> {
        let mut counts: HashMap<TenantTag, usize> = HashMap::new();
        for (_, suspect) in self.of_kind(subject) {
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
            .retain(|cleared| now.since(cleared.known_since) < CLEARING_RETENTION_MS);
    }
}
