//! A simulated site in virtual time: nodes, engines, callers, operators and the
//! platform on one seeded network.
//!
//! The nodes run the same [`NodeCore`](ploverlift_cluster::core::NodeCore) and
//! the same [`RequestMachine`](ploverlift_policy::request::RequestMachine) as a
//! real node; only sockets and clocks are simulated. The [`oracle`] records what
//! engines ran and what callers received, independently of the code under test.
//!
//! | module | job |
//! | --- | --- |
//! | [`world`] | the event loop and its events |
//! | [`network`] | delay, loss, duplication, cuts |
//! | [`platform`] | the object API with outages, lost replies and stale reads |
//! | [`engines`] | engines with incarnation, weights and cache |
//! | [`requests`] | state of one request on one node |
//! | [`oracle`] | record of runs and outcomes, and the promises checked on it |
//! | [`schedule`] | operations and faults, as data |
//! | [`site`] | the small site used by the proofs |

pub mod engines;
pub mod network;
pub mod oracle;
pub mod platform;
pub mod requests;
pub mod schedule;
pub mod site;
pub mod world;
