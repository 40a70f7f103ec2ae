//! Counting a request as running on a version of its engine's software.

use crate::beliefs::Beliefs;
use crate::state::Gateway;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::sync::Arc;

/// A request that was given to an engine, counted until this is dropped.
pub(super) struct RunningRequest {
    gateway: Arc<Gateway>,
    service: ServiceName,
    version: SoftwareVersion,
}

impl RunningRequest {
    /// Counts a request; `beliefs` are those of the gateway, locked.
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
