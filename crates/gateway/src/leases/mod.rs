//! Leases in the object store, for duties that only one node at a time may perform.
//!
//! Each duty has its own lease. The holder announces each renewal to the other nodes
//! in its reports, so that its possible successors need not read the store. The rules for
//! acquiring and renewing a lease are in `ploverlift-lease`; this module makes the store
//! calls and processes the reports.

mod document;
mod holder;
pub mod succession;

pub use holder::LeaseHolder;

use ploverlift_lease::FencingToken;
use ploverlift_policy::ids::Millis;

/// A duty that only one node at a time may perform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseName {
    /// Ordering engines to load weights.
    Weights,
    /// Deciding on rollouts of engine software.
    Rollouts,
}

impl LeaseName {
    /// The name used in the store and in logs.
    pub fn stored_name(self) -> &'static str {
        match self {
            LeaseName::Weights => "weights",
            LeaseName::Rollouts => "rollouts",
        }
    }
}

/// A renewal of a lease, as announced by its holder. Renewals are ordered by the token
/// first, because revisions go back when the store is restored from a copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct LeaseRenewal {
    /// The holder's fencing token; 0 when the holder runs an earlier release.
    pub token: FencingToken,
    /// The store revision of the renewal, within its store era.
    pub revision: u64,
}

/// A renewal of a lease that its holder announced to this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnnouncedLease {
    /// The renewal.
    pub renewal: LeaseRenewal,
    /// When this node first received the announcement.
    pub received_at: Millis,
}

/// What this node knows of one lease without reading the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseKnowledge {
    /// The last renewal, while this node holds the lease.
    pub held: Option<LeaseRenewal>,
    /// The newest renewal that the holder announced to this node.
    pub announced: Option<AnnouncedLease>,
}

impl LeaseKnowledge {
    /// Records a renewal announced by the holder, if it is newer than the known one.
    pub fn note_announced(&mut self, renewal: LeaseRenewal, now: Millis) {
        if self.announced.is_none_or(|known| known.renewal < renewal) {
            self.announced = Some(AnnouncedLease {
                renewal,
                received_at: now,
            });
        }
    }

    /// The newest known renewal.
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
    /// Knowledge of one lease.
    pub fn of(&self, name: LeaseName) -> &LeaseKnowledge {
        match name {
            LeaseName::Weights => &self.weights,
            LeaseName::Rollouts => &self.rollouts,
        }
    }

    /// Mutable knowledge of one lease.
    pub fn of_mut(&mut self, name: LeaseName) -> &mut LeaseKnowledge {
        match name {
            LeaseName::Weights => &mut self.weights,
            LeaseName::Rollouts => &mut self.rollouts,
        }
    }
}
