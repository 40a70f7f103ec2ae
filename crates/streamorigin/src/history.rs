//! Which software versions the engines of a service have had recently, as this node knows.

use ploverlift_policy::ids::Millis;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::{BTreeMap, HashMap};

/// Time for which a version is remembered after its last engine is gone, in milliseconds.
const REMEMBERED_MS: u64 = 600_000;

/// The versions of a service within the lifetime of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecentVersions {
    /// Only this one, for the whole lifetime.
    Sole(SoftwareVersion),
    /// More than one.
    Several,
    /// Not known for the whole lifetime.
    Unproven,
}

/// Versions of the engines of all services.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, ServiceHistory>,
}

#[derive(Clone, Debug)]
struct ServiceHistory {
    /// Since when all versions of the service are known.
    known_since: Millis,
    /// The versions, and when the last engine of each was gone; `None` while there are any.
    versions: BTreeMap<SoftwareVersion, Option<Millis>>,
}

impl SoftwareHistory {
    /// Records that an engine of a service has this version; returns whether the version begins
    /// to serve beside or after another one.
    pub fn note_present(
        &mut self,
        service: &ServiceName,
        version: &SoftwareVersion,
        now: Millis,
    ) -> bool {
        if !self.services.contains_key(service) {
            let history = ServiceHistory {
                known_since: now,
                versions: BTreeMap::new(),
            };
            self.services.insert(service.clone(), history);
        }
        let Some(history) = self.services.get_mut(service) else {
            return false;
        };
        if history.versions.get(version) == Some(&None) {
            return false;
        }
        let versions = &mut history.versions;
        versions.retain(|_, gone| gone.is_none_or(|gone| now.since(gone) < REMEMBERED_MS));
        versions.insert(version.clone(), None);
        versions.len() > 1
    }

    /// Records that the last engine of a version is gone.
    pub fn note_gone(&mut self, service: &ServiceName, version: &SoftwareVersion, now: Millis) {
        let history = self.services.get_mut(service);
        if let Some(gone) = history.and_then(|history| history.versions.get_mut(version)) {
            *gone = Some(now);
        }
    }

    /// Records that changes may have been missed until now.
    pub fn note_gap(&mut self, now: Millis) {
        for history in self.services.values_mut() {
            history.known_since = now;
        }
    }

    /// The versions of a service in the last `lifetime_ms` milliseconds.
    pub fn recent(&self, service: &ServiceName, lifetime_ms: u64, now: Millis) -> RecentVersions {
        let Some(history) = self.services.get(service) else {
            return RecentVersions::Unproven;
        };
        let versions = history.versions.iter();
        let mut recent = versions
            .filter(|(_, gone)| gone.is_none_or(|gone| now.since(gone) <= lifetime_ms))
            .map(|(version, _)| version);
        match (recent.next(), recent.next()) {
            (Some(_), Some(_)) => RecentVersions::Several,
            (Some(only), None) if now.since(history.known_since) > lifetime_ms => {
                RecentVersions::Sole(only.clone())
            }
            _ => RecentVersions::Unproven,
        }
    }
}
