//! Finds a tenant by the API key in a request.

use crate::configuration::Tenant;
use crate::rate_limit::RateLimit;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::sync::Arc;

type KeyHash = [u8; 32];

/// Tenants by the hashes of their API keys. The keys themselves are not stored. A lookup by
/// hash does not reveal by its duration how much of a key is right.
#[derive(Clone, Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyHash, Arc<TenantTerms>>,
}

/// The settings of a tenant that apply to its requests.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantTerms {
    /// Name, as passed to engines.
    pub name: String,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Whether its cached prompts are not shared with other tenants.
    pub is_isolated: bool,
    /// Rate limit; `None` if its use is not limited.
    pub rate_limit: Option<RateLimit>,
}

impl TenantDirectory {
    /// Creates a directory of the given tenants.
    pub fn new(tenants: &[Tenant]) -> Self {
        let mut by_key = HashMap::new();
        for tenant in tenants {
            let terms = Arc::new(TenantTerms {
                name: tenant.name.0.clone(),
                priority: tenant.priority,
                is_isolated: tenant.is_isolated,
                rate_limit: tenant.rate_limit,
            });
            for key in &tenant.keys {
                by_key.insert(hash(key), Arc::clone(&terms));
            }
        }
        Self { by_key }
    }

    /// The tenant that owns an API key.
    pub fn find(&self, key: &str) -> Option<&Arc<TenantTerms>> {
        self.by_key.get(&hash(key))
    }
}

fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
