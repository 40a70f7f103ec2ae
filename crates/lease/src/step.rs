//! The next action of a node on a lease, and its reason.

use crate::view::StoredLease;
use ploverlift_policy::ids::{Millis, ResourceVersion};

/// Why a node writes a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseReason {
    /// The node holds the lease and renews it.
    Renewal,
    /// The node held the lease when the store was restored from a copy, and its right to
    /// act has not ended yet.
    Continuation,
    /// The node's own lease lapsed, and no other node has taken it.
    Lapsed,
    /// An engine refused the node's token, or a higher token is known.
    Overtaken,
    /// The holder is an earlier incarnation of this node.
    EarlierLife,
    /// The holder did not renew the lease for its full duration.
    Expired,
    /// There has been no lease for a full lease duration.
    Absent,
}

impl LeaseReason {
    /// The name of the reason in logs.
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
    /// Version that the store must still have for the write to succeed; 0 to create the
    /// lease.
    pub condition: ResourceVersion,
    /// The lease to store; its version is set by the store.
    pub lease: StoredLease,
    /// When the write began; the lease's duration counts from then.
    pub began: Millis,
    /// Why the lease is written.
    pub reason: LeaseReason,
}

/// The next action of a node on a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Do nothing for now.
    Wait,
    /// Store the lease.
    Write(LeaseWrite),
    /// The node may take the lease, but no token above the known ones is left.
    NoTokenLeft,
}
