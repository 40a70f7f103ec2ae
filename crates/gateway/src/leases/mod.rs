//! Leases in the object store, for duties that one node at a time has.
//!
//! Each duty has a lease of its own. The holder tells the other nodes of each renewal
//! in its reports, so those that would succeed it need not read the store.

mod document;
mod holder;
pub mod succession;

pub use holder::LeaseHolder;

use ploverlift_policy::ids::Millis;

/// A duty that one node at a time has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseName {
    /// Giving engines orders to load weights.
    Weights,
    /// Deciding on rollouts of engines' software.
    Rollouts,
}

impl LeaseName {
    /// Its name in the store and in logs.
    pub fn stored_name(self) -> &'static str {
        match self {
            LeaseName::Weights => "weights",
            LeaseName::Rollouts => "rollouts",
        }
    }
}

/// A renewal of a lease of which its holder told this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardLease {
    /// The revision that the renewal was given.
    pub revision: u64,
    /// When this node first heard of it.
    pub heard_at: Millis,
}

/// What this node knows of one lease without reading the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseNews {
    /// Revision of the lease, while this node holds it.
    pub held: Option<u64>,
    /// The newest revision of which its holder told this node.
    pub heard: Option<HeardLease>,
}

impl LeaseNews {
    /// The holder told of its last renewal.
    pub fn hear(&mut self, revision: u64, now: Millis) {
        if self.heard.is_none_or(|known| known.revision < revision) {
            self.heard = Some(HeardLease {
                revision,
                heard_at: now,
            });
        }
    }

    /// The newest renewal that is known.
    pub fn newest(&self) -> Option<u64> {
        let heard = self.heard.map(|heard| heard.revision);
        self.held.max(heard)
    }
}

/// What this node knows of all leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseBeliefs {
    weights: LeaseNews,
    rollouts: LeaseNews,
}

impl LeaseBeliefs {
    /// One lease.
    pub fn of(&self, name: LeaseName) -> &LeaseNews {
        match name {
            LeaseName::Weights => &self.weights,
            LeaseName::Rollouts => &self.rollouts,
        }
    }

    /// One lease, to take in news of it.
    pub fn of_mut(&mut self, name: LeaseName) -> &mut LeaseNews {
        match name {
            LeaseName::Weights => &mut self.weights,
            LeaseName::Rollouts => &mut self.rollouts,
        }
    }
}
