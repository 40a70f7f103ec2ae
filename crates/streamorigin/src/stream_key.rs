//! Identification of a stream over all attempts of its caller.

use ploverlift_routing::rate_limit::TenantTag;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hash of a stream's tenant and the id of the request that began it. Ids are the callers' own,
/// so those of another tenant name another stream. The service is no part of it: a route may lead
/// to another service when its stream is taken up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// The stream that a request with this id began.
    pub fn new(tenant: TenantTag, request_id: &str) -> Self {
        Self(xxh3_64_with_seed(request_id.as_bytes(), tenant.0))
    }
}
