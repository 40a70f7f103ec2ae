//! Leases with fencing tokens for duties that only one node may perform, kept in a store
//! that may lose recent writes.
//!
//! This crate does no I/O: time, lease reads and announcements of holders are arguments.
//!
//! - Clocks of different nodes are never compared. A node treats a lease as expired when it
//!   has not changed for the lease's full duration by the node's own clock. The holder stops
//!   acting before that.
//! - A missing lease may have been lost by the store. A node that finds no lease, or only
//!   one from before the store was restored from a copy, waits as if the lease had just been
//!   renewed.
//! - A fencing token contains the number of its node, so that two nodes do not share a token
//!   even when the store has lost writes. A new token is higher than every token that the
//!   node has read, received from other holders or had refused, and tokens rise with the
//!   store's eras.
//!
//! | module | purpose |
//! | --- | --- |
//! | [`token`] | fencing tokens: term and node |
//! | [`timing`] | durations |
//! | [`step`] | the next action of a node on a lease, and its reason |
//! | [`view`] | one node's view of one lease |

pub mod step;
pub mod timing;
pub mod token;
pub mod view;

pub use step::{LeaseReason, LeaseStep, LeaseWrite};
pub use timing::LeaseTiming;
pub use token::FencingToken;
pub use view::{LeaseView, StoredLease};
