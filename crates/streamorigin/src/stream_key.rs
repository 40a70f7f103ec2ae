//! Identification of a stream over all attempts of its caller.

use ploverlift_routing::configuration::ServiceName;
use ploverlift_routing::rate_limit::TenantTag;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Hash of a stream's tenant, its service and the id of the request that began it. Ids are the
/// callers' own, so those of another tenant or service name another stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The stream that a request with this id began.
    pub fn new(tenant: TenantTag, service: &ServiceName, request_id: &str) -> Self {
        let of_service = xxh3_64_with_seed(service.0.as_bytes(), tenant.0);
        let of_request = xxh3_64(request_id.as_bytes());
        let both = [of_service.to_be_bytes(), of_request.to_be_bytes()];
        Self(xxh3_64(&both.concat()))
    }
}
