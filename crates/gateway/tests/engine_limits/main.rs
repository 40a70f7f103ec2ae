//! Rate limits that engines name hold over the whole fleet.
//!
//! Failure: two of eighteen engines named the rate that they accept from all nodes
//! together, and got three times as many requests for the rest of the day. From the first
//! naming on, each got as many requests as before, from all seven nodes; no request failed,
//! and no log line of any node contained the rate. Nodes forwarded the answers with the
//! rate and chose engines as before.
//!
//! Cause: no node read the signals that an engine sets in an answer, and for a rate over
//! the fleet there was no limit holder.
//!
//! Here the same happens on running nodes, with one engine, a third of the engines and all
//! of them. The tests fail when each node counts for itself, as if it received no report of
//! a limit holder.

mod changes;
mod fleets;
mod messages;
mod oracle;
mod relayed;
#[path = "../support/mod.rs"]
mod support;

pub use support::exclusive::run_exclusively;
