//! The fleet's register of stream sources: to which services the routes of resumable streams
//! have led, and which software versions of these services may have begun streams.
//!
//! It is a write-ahead register: a node begins a stream at a source only once the store has
//! acknowledged a register that contains the source. So a register that was read after a
//! stream was taken up contains the source that began it.

use crate::source::StreamSource;
use ploverlift_policy::ids::StoreEra;
use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Identifies a route by its host and path prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RouteKey {
    /// Length of the path prefix, in bytes.
    pub prefix_bytes: u32,
    /// Hash of host and path prefix.
    pub hash: u64,
}

impl RouteKey {
    /// The route of a host with this path prefix. A port in `host` is ignored.
    pub fn new(host: &str, path_prefix: &str) -> Self {
        Self {
            prefix_bytes: u32::try_from(path_prefix.len()).unwrap_or(u32::MAX),
            hash: xxh3_64_with_seed(path_prefix.as_bytes(), host_hash(host)),
        }
    }

    fn matches(&self, host_hash: u64, path: &str) -> bool {
        let prefix = path.as_bytes().get(..self.prefix_bytes as usize);
        prefix.is_some_and(|prefix| xxh3_64_with_seed(prefix, host_hash) == self.hash)
    }
}

fn host_hash(host: &str) -> u64 {
    let name = host.split(':').next().unwrap_or_default();
    xxh3_64(name.to_ascii_lowercase().as_bytes())
}

/// One link of the way from a route to the engines that began a stream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceLink {
    /// The route has led to the service.
    Target(RouteKey, ServiceName),
    /// Engines of the service have had the software version.
    Software(ServiceName, SoftwareVersion),
}

/// A write of the register, by its number in an era of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Generation(pub u64);

/// The register, as it is stored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SourceRegister {
    /// The store era in which it was written.
    pub era: StoreEra,
    /// The last write.
    pub generation: Generation,
    /// The write since which the register is known to lack links of an earlier era.
    pub incomplete_since: Option<Generation>,
    /// The links, and for those that are to be removed the write that marked them.
    pub links: BTreeMap<SourceLink, Option<Generation>>,
}

impl SourceRegister {
    /// What is known of a register that can't be read: that it may lack links.
    pub fn unreadable() -> Self {
        Self {
            incomplete_since: Some(Generation::default()),
            ..Self::default()
        }
    }

    /// All sources that may have begun a stream of a path; `None` while the register is
    /// incomplete.
    pub fn sources(&self, host: &str, path: &str) -> Option<BTreeSet<StreamSource>> {
        if self.incomplete_since.is_some() {
            return None;
        }
        let services = self.services(host, path);
        let versions = self.links.keys().filter_map(|link| match link {
            SourceLink::Software(service, software) if services.contains(service) => {
                Some(StreamSource::new(service, software.clone()))
            }
            _ => None,
        });
        Some(versions.collect())
    }

    fn services(&self, host: &str, path: &str) -> BTreeSet<&ServiceName> {
        let host = host_hash(host);
        let targets = self.links.keys().filter_map(|link| match link {
            SourceLink::Target(route, service) if route.matches(host, path) => Some(service),
            _ => None,
        });
        targets.collect()
    }

    /// The services of routes that have led to more than one source.
    pub fn confusable_services(&self) -> BTreeSet<ServiceName> {
        let mut versions: BTreeMap<&ServiceName, usize> = BTreeMap::new();
        let mut targets: BTreeMap<RouteKey, BTreeSet<&ServiceName>> = BTreeMap::new();
        for link in self.links.keys() {
            match link {
                SourceLink::Software(service, _) => *versions.entry(service).or_default() += 1,
                SourceLink::Target(route, service) => {
                    targets.entry(*route).or_default().insert(service);
                }
            }
        }
        let count = |service: &ServiceName| versions.get(service).copied().unwrap_or(0);
        let has_several = |services: &&BTreeSet<&ServiceName>| {
            let counts = services.iter().map(|service| count(service));
            self.incomplete_since.is_some() || counts.sum::<usize>() > 1
        };
        let confusable = targets.values().filter(has_several).flatten();
        confusable.map(|service| (*service).clone()).collect()
    }

    /// Whether streams may begin by way of a link: it is registered and not to be removed.
    pub fn allows(&self, link: &SourceLink) -> bool {
        self.links.get(link) == Some(&None)
    }

    /// Adds the links of another register, which may have been lost from this one.
    pub(crate) fn add_links_of(&mut self, other: &Self) {
        for link in other.links.keys() {
            self.links.entry(link.clone()).or_insert(None);
        }
    }
}
