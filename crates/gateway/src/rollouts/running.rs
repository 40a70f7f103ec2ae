//! Requests of this node at engines, by the version of their software. An engine that
//! leaves the catalogue may still work on some, so the catalogue does not tell.

use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::BTreeMap;

/// Requests under way at engines.
#[derive(Clone, Debug, Default)]
pub struct RunningRequests {
    counts: BTreeMap<ServiceName, BTreeMap<SoftwareVersion, u32>>,
}

impl RunningRequests {
    /// A request is sent.
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

    /// It is over.
    pub(crate) fn end(&mut self, service: &ServiceName, version: &SoftwareVersion) {
        let versions = self.counts.get_mut(service);
        let count = versions.and_then(|versions| versions.get_mut(version));
        if let Some(count) = count {
            *count = count.saturating_sub(1);
        }
    }

    /// Requests at engines of any version but one.
    pub fn except(&self, service: &ServiceName, version: &SoftwareVersion) -> u32 {
        let versions = self.counts.get(service).into_iter().flatten();
        let others = versions.filter(|(running, _)| *running != version);
        others.map(|(_, count)| count).sum()
    }
}
