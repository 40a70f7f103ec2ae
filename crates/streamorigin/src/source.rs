//! Where a stream began: the service and the software version that wrote its first event.

use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::software::SoftwareVersion;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of a service's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceHash(pub u64);

impl ServiceHash {
    /// The service of a stream that a node of an earlier release announced: it does not tell.
    pub const UNNAMED: Self = Self(0);

    /// The hash of a service.
    pub fn of(service: &ServiceName) -> Self {
        // 0 stands for no service.
        Self(xxh3_64(service.0.as_bytes()).max(1))
    }
}

/// The only engines that may continue a stream: those of this service that run this version.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamSource {
    /// Their service.
    pub service: ServiceHash,
    /// Their software version.
    pub software: SoftwareVersion,
}

impl StreamSource {
    /// The engines of a service that run a version.
    pub fn new(service: &ServiceName, software: SoftwareVersion) -> Self {
        Self {
            service: ServiceHash::of(service),
            software,
        }
    }

    /// Whether the service is known, without which no stream may be continued.
    pub fn is_named(&self) -> bool {
        self.service != ServiceHash::UNNAMED
    }
}
