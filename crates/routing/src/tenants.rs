//! Finding a tenant by the key that its caller sent.

use crate::configuration::Tenant;
use crate::rate_limit::RateLimit;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::sync::Arc;

type KeyHash = [u8; 32];

/// Tenants by the hashes of their keys. Keys themselves are not kept, and a
/// look-up by hash takes no longer for a key that is nearly right.
#[derive(Clone, Debug, Default)]
pub struct TenantDirectory {
    by_key: HashMap<KeyHash, Arc<TenantTerms>>,
}

/// What a tenant is granted.
#[derive(Clone, Debug, PartialEq)]
pub struct TenantTerms {
    /// Name, as engines learn it.
    pub name: String,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
    /// Whether its cache is shared with nobody.
    pub is_isolated: bool,
    /// What it may use; nothing where that is not limited.
    pub rate_limit: Option<RateLimit>,
}

impl TenantDirectory {
    /// A directory of these tenants.
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

    /// The tenant that holds a key.
    pub fn find(&self, key: &str) -> Option<&Arc<TenantTerms>> {
        self.by_key.get(&hash(key))
    }
}

fn hash(key: &str) -> KeyHash {
    Sha256::digest(key.as_bytes()).into()
}
