//! The stored lease.

use ploverlift_policy::objects::LeaseSpec;
use serde::{Deserialize, Serialize};

/// The lease as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Holder, token and life.
    pub lease: LeaseSpec,
}
