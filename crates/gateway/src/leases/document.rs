//! The stored form of a lease.

use ploverlift_lease::StoredLease;
use ploverlift_policy::objects::LeaseSpec;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};

/// The lease as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Holder, fencing token and incarnation of the holder.
    pub lease: LeaseSpec,
    /// The store era in which the holder wrote the lease; 0 if the store reports no era or
    /// the holder runs an earlier release.
    #[serde(default)]
    pub store_era: u64,
}

impl LeaseDocument {
    /// The document for a lease.
    pub fn of(lease: &StoredLease) -> Self {
        Self {
            lease: lease.spec.clone(),
            store_era: lease.era.0,
        }
    }

    /// The document as the content of a store object.
    pub fn to_json(&self) -> Value {
        json!(self)
    }
}
