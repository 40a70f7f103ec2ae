//! Counts a request as running on the software version of its engine.

use crate::beliefs::Beliefs;
use crate::state::Gateway;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::sync::Arc;

/// A request that was assigned to an engine, counted until this is dropped.
pub(super) struct RunningRequest {
    gateway: Arc<Gateway>,
    service: ServiceName,
    version: SoftwareVersion,
}

impl RunningRequest {
    /// Counts a request; `beliefs` is the locked state of `gateway`.
    pub(super) fn begin(
        gateway: &Arc<Gateway>,
        beliefs: &mut Beliefs,
        service: &ServiceName,
        version: &SoftwareVersion,
    ) -> Self {
        beliefs.rollouts.running.begin(service, version);
        Self {
            gateway: Arc::clone(gateway),
            service: service.clone(),
            version: version.clone(),
        }
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let mut beliefs = self.gateway.beliefs();
        let running = &mut beliefs.rollouts.running;
        running.end(&self.service, &self.version);
    }
}
