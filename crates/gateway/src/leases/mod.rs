//! Leases in the object store, for duties that one node at a time has.
//!
//! Each duty has a lease of its own. The holder tells the other nodes of each renewal
//! in its reports, so those that would succeed it need not read the store. What a node may
//! do about a lease is decided in `ploverlift-lease`; here are the calls and the reports.

mod document;
mod holder;
pub mod succession;

pub use holder::LeaseHolder;

use ploverlift_lease::FencingToken;
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

/// A renewal of a lease, as its holder tells it. Renewals are ordered by the token first:
/// revisions go back when the store comes back from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseRenewal {
    /// The holder's fencing token; 0 when the holder is of an earlier release.
    pub token: FencingToken,
    /// The revision that the renewal was given, within its era of the store.
    pub revision: u64,
}

/// A renewal of a lease of which its holder told this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedLease {
    /// The renewal.
    pub renewal: LeaseRenewal,
    /// When this node first heard of it.
    pub received_at: Millis,
}

/// What this node knows of one lease without reading the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseKnowledge {
    /// The last renewal, while this node holds the lease.
    pub held: Option<LeaseRenewal>,
    /// The newest renewal of which its holder told this node.
    pub announced: Option<AnnouncedLease>,
}

impl LeaseKnowledge {
    /// The holder told of its last renewal.
    pub fn note_announced(&mut self, renewal: LeaseRenewal, now: Millis) {
        if self.announced.is_none_or(|known| known.renewal < renewal) {
            self.announced = Some(AnnouncedLease {
                renewal,
                received_at: now,
            });
        }
    }

    /// The newest renewal that is known.
    pub fn newest(&self) -> Option<LeaseRenewal> {
        let announced = self.announced.map(|announced| announced.renewal);
        self.held.max(announced)
    }
}

/// What this node knows of all leases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseBeliefs {
    weights: LeaseKnowledge,
    rollouts: LeaseKnowledge,
}

impl LeaseBeliefs {
    /// One lease.
    pub fn of(&self, name: LeaseName) -> &LeaseKnowledge {
        match name {
            LeaseName::Weights => &self.weights,
            LeaseName::Rollouts => &self.rollouts,
        }
    }

    /// One lease, to take in news of it.
    pub fn of_mut(&mut self, name: LeaseName) -> &mut LeaseKnowledge {
        match name {
            LeaseName::Weights => &mut self.weights,
            LeaseName::Rollouts => &mut self.rollouts,
        }
    }
}
