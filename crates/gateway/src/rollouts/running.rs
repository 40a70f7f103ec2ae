//! Running requests of this node, counted by the software version of their engines. They
//! are counted apart from the catalogue, as an engine may still run requests after it was
//! removed from the catalogue.

use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeMap;

/// Running requests by service and engine version.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    counts: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, u32>>,
}

impl RunningRequests {
    /// Counts a request that is sent to an engine.
    pub(crate) fn begin(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        if !self.counts.contains_key(service) {
            self.counts.insert(service.clone(), BTreeMap::new());
        }
        let versions = self.counts.get_mut(service);
        let Some(versions) = versions else { return };
        match versions.get_mut(version) {
            Some(count) => *count += 1,
            None => {
                versions.insert(version.clone(), 1);
            }
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn end(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        let versions = self.counts.get_mut(service);
        let count = versions.and_then(|versions| versions.get_mut(version));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
        }
    }

    /// Number of requests at engines of all versions except `version`.
    pub fn except(&self, service: &ServiceName, version: &SoftwareVersion) -> u32 {
        let versions = self.counts.get(service).into_iter().flatten();
        let others = versions.filter(|(running, _)| *running != version);
        others.map(|(_, count)| count).sum()
    }
}
