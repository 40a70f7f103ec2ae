//! Units of a tenant's rate limit that a request holds, from admission to the end of its
//! last attempt.

use crate::state::Gateway;
use ploverlift_routing::rate_limit::TenantTag;
use std::sync::Arc;

/// Units of a tenant's rate limit that a request holds. They are refunded on drop if the
/// request did not run.
pub struct Reservation {
    gateway: Arc<Gateway>,
    tenant: TenantTag,
    units: u64,
    is_spent: bool,
}

impl Reservation {
    /// Wraps the units that the limiter has charged for a request that it admitted.
    pub fn new(gateway: &Arc<Gateway>, tenant: TenantTag, units: u64) -> Self {
        Self {
            gateway: Arc::clone(gateway),
            tenant,
            units,
            is_spent: false,
        }
    }

    /// Records that the request is sent to an engine. Each engine that runs it is charged:
    /// from the second one on, the units are charged again.
    pub fn spend(&mut self) {
        if std::mem::replace(&mut self.is_spent, true) {
            let now = self.gateway.clock.now();
            let mut beliefs = self.gateway.beliefs();
            beliefs.limiter.charge(self.tenant, self.units, now);
        }
    }

    /// Records that the engine did not run the request: the next attempt uses the same
    /// units.
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
