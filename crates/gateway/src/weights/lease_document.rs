//! The stored lease.

use ploverlift_policy::objects::LeaseSpec;
use serde::{Deserialize, Serialize};

/// Name of the lease.
pub const LEASE_NAME: &str = "weights";

/// The lease as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Holder, token and life.
    pub lease: LeaseSpec,
}
