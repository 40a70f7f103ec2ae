//! Finds a tenant by the API key in a request.

use crate::configuration::Tenant;
use crate::rate_limit::RateLimit;
use sha2::{Digest, Sha256};
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

type KeyHash = [u8; 32];

/// Number of bytes of the hash in a common scope.
const COMMON_SCOPE_BYTES: usize = 16;

/// Tenants by the hashes of their API keys. The keys themselves are not stored. A lookup by
/// hash does not reveal by its duration how much of a key is right.
#[derive(Clone, Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyHash, Arc<TenantTerms>>,
    common_scope: String,
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
        let common_scope = common_scope(tenants);
        Self {
            by_key,
            common_scope,
        }
    }

    /// The tenant that owns an API key.
    pub fn find(&self, key: &str) -> Option<&Arc<TenantTerms>> {
        self.by_key.get(&hash(key))
    }

    /// The scope within which the cache of a tenant's requests may be shared: an isolated tenant's
    /// own, else the common scope. A request without a tenant has `None`.
    pub fn cache_scope<'a>(&'a self, tenant: Option<&'a TenantTerms>) -> &'a str {
        match tenant {
            Some(terms) if terms.is_isolated => &terms.name,
            _ => &self.common_scope,
        }
    }
}

/// The scope of all tenants that are not isolated. It changes with the set of isolated tenants:
/// what a tenant has cached in the common scope before it was isolated is not found there any more.
fn common_scope(tenants: &[Tenant]) -> String {
    let isolated = tenants.iter().filter(|tenant| tenant.is_isolated);
    let names: BTreeSet<&str> = isolated.map(|tenant| tenant.name.as_str()).collect();
    if names.is_empty() {
        return String::new();
    }
    let mut hasher = Sha256::new();
    for name in names {
        hasher.update((name.len() as u64).to_le_bytes());
        hasher.update(name);
    }
    let hash = hasher.finalize();
    let digits = hash.iter().take(COMMON_SCOPE_BYTES);
    let digits: String = digits.map(|byte| format!("{byte:02x}")).collect();
    format!("common-{digits}")
}

fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
