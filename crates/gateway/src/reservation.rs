//! What a request counts against its tenant's limit, from admission to the end of its
//! last attempt.

use crate::state::Gateway;
use ploverlift_routing::rate_limit::TenantTag;
use std::sync::Arc;

/// Units of a tenant's limit that are taken for a request. What did not run by the end
/// is given back.
pub struct Reservation {
    gateway: Arc<Gateway>,
    tenant: TenantTag,
    units: u64,
    is_spent: bool,
}

impl Reservation {
    /// Units that the limiter has taken for a request that it admitted.
    pub fn new(gateway: &Arc<Gateway>, tenant: TenantTag, units: u64) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            tenant,
            units,
            is_spent: false,
        }
    }

    /// The request goes to an engine. Each engine that runs it counts.
    pub fn spend(&mut self) {
        if std::mem::replace(&mut self.is_spent, true) {
            let now = self.gateway.clock.now();
            let mut beliefs = self.gateway.beliefs();
            beliefs.limiter.charge(self.tenant, self.units, now);
        }
    }

    /// The engine did not run it: the next one may be sent the same units.
    pub fn not_run(&mut self) {
        self.is_spent = false;
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        if !self.is_spent {
            let now = self.gateway.clock.now();
            let mut beliefs = self.gateway.beliefs();
            beliefs.limiter.refund(self.tenant, self.units, now);
        }
    }
}
