//! What a node should do about a lease, and why.

use crate::view::StoredLease;
use ploverlift_policy::ids::{Millis, ResourceVersion};

/// Why a node writes a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReason {
    /// It holds the lease and renews it.
    Renewal,
    /// It held the lease when the store came back from a copy, and still might act.
    Continuation,
    /// Its lease lapsed, and nobody has taken it.
    Lapsed,
    /// An engine refused its token, or a higher one is known.
    Overtaken,
    /// The holder is an earlier life of this node.
    EarlierLife,
    /// The holder did not renew for the lease's duration.
    Expired,
    /// There has been no lease for the lease's duration.
    Absent,
}

impl LeaseReason {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Renewal => "renewal",
            Self::Continuation => "continuation",
            Self::Lapsed => "lapsed",
            Self::Overtaken => "overtaken",
            Self::EarlierLife => "earlier_life",
            Self::Expired => "expired",
            Self::Absent => "absent",
        }
    }
}

/// A write of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseWrite {
    /// Version that must still be stored; 0 to create.
    pub condition: ResourceVersion,
    /// What to store; its version is not known yet.
    pub lease: StoredLease,
    /// When the write began; the lease counts from then.
    pub began: Millis,
    /// Why it is written.
    pub reason: LeaseReason,
}

/// What a node should do about a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing now.
    Wait,
    /// Store this.
    Write(LeaseWrite),
    /// The node may take the lease, and no token is left above those that are known.
    NoTokenLeft,
}
