//! The stored lease.

use ploverlift_lease::StoredLease;
use ploverlift_policy::objects::LeaseSpec;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The lease as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Holder, token and life.
    pub lease: LeaseSpec,
    /// The era of the store in which the holder wrote it; 0 where the store has none, and
    /// from a holder of an earlier release.
    #[serde(default)]
    pub store_era: u64,
}

impl LeaseDocument {
    /// What is stored of a lease.
    pub fn of(lease: &StoredLease) -> Self {
        Self {
            lease: lease.spec.clone(),
            store_era: lease.era.0,
        }
    }

    /// The same as the content of an object.
    pub fn to_json(&self) -> Value {
        json!(self)
    }
}
