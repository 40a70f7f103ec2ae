//! The stored lease, with what other nodes should know of the holder's work.

use ploverlift_balancing::catalogue::InstanceId;
use ploverlift_policy::objects::LeaseSpec;
use serde::{Deserialize, Serialize};

/// Name of the lease.
pub const LEASE_NAME: &str = "weights";

/// The lease as it is stored.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseDocument {
    /// Holder, token and life.
    pub lease: LeaseSpec,
    /// Engines that load now or are about to: other nodes send them nothing new.
    #[serde(default)]
    pub loading: Vec<String>,
}

impl LeaseDocument {
    /// Engines that load now or are about to.
    pub fn loading(&self) -> Vec<InstanceId> {
        self.loading.iter().cloned().map(InstanceId).collect()
    }
}
