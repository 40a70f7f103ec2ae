//! The fleet's register of stream sources: to which services the routes with streams
//! have led, and which software versions of these services may have begun streams.
//!
//! It is a write-ahead register: a node begins a stream at a source only once the store has
//! acknowledged a register that contains the source. So a register that was read after a
//! stream was taken up contains the source that began it, unless that stream is older than the
//! time for which links stay registered after they are gone ([`crate::known_sources`]).

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
        let sources = services.into_iter().flat_map(|service| {
            let versions = self.versions(service);
            versions.map(move |software| StreamSource::new(service, software.clone()))
        });
        Some(sources.collect())
    }

    /// The services of all routes that have a prefix of the path.
    fn services(&self, host: &str, path: &str) -> BTreeSet<&ServiceName> {
        let host = host_hash(host);
        let mut services = BTreeSet::new();
        let mut least = Some(0);
        while let Some(prefix_bytes) = least.and_then(|least| self.next_prefix_length(least)) {
            let Some(prefix) = path.as_bytes().get(..prefix_bytes as usize) else {
                break;
            };
            let hash = xxh3_64_with_seed(prefix, host);
            services.extend(self.targets(RouteKey { prefix_bytes, hash }));
            least = prefix_bytes.checked_add(1);
        }
        services
    }

    /// The shortest length of path prefixes that is not below `least`.
    fn next_prefix_length(&self, least: u32) -> Option<u32> {
        let first = RouteKey {
            prefix_bytes: least,
            hash: 0,
        };
        let first = SourceLink::Target(first, ServiceName::default());
        match self.links.range(first..).next() {
            Some((SourceLink::Target(route, _), _)) => Some(route.prefix_bytes),
            _ => None,
        }
    }

    fn targets(&self, route: RouteKey) -> impl Iterator<Item = &ServiceName> {
        let first = SourceLink::Target(route, ServiceName::default());
        let links = self.links.range(first..);
        links.map_while(move |(link, _)| match link {
            SourceLink::Target(of_route, service) if *of_route == route => Some(service),
            _ => None,
        })
    }

    fn versions<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a SoftwareVersion> {
        let first = SourceLink::Software(service.clone(), SoftwareVersion::default());
        let links = self.links.range(first..);
        links.map_while(move |(link, _)| match link {
            SourceLink::Software(of_service, software) if of_service == service => Some(software),
            _ => None,
        })
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
