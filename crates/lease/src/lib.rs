//! Leases for duties that need one holder, with fencing, in a store that may forget.
//!
//! Nothing here does I/O: time, what was read and what was heard are arguments.
//!
//! - Clocks of nodes are never compared. A node counts a lease as expired when it has not
//!   changed for the lease's whole duration by the node's own clock; the holder stops acting
//!   before that.
//! - A lease that is missing is not one that never was. A node that finds none, or only one
//!   from before the store came back from a copy, waits as if it had just been renewed.
//! - A fencing token names its node, so no two nodes share one, whatever the store has
//!   forgotten. Tokens rise over all that a node has seen, heard and been refused, and
//!   over the store's eras.
//!
//! | module | job |
//! | --- | --- |
//! | [`token`] | fencing tokens: term and node |
//! | [`timing`] | durations |
//! | [`step`] | what a node should do about a lease, and why |
//! | [`view`] | one node's view of one lease |

pub mod step;
pub mod timing;
pub mod token;
pub mod view;

pub use step::{LeaseReason, LeaseStep, LeaseWrite};
pub use timing::LeaseTiming;
pub use token::FencingToken;
pub use view::{LeaseView, StoredLease};
