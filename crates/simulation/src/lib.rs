//! A simulated site in virtual time: nodes, engines, callers, operators and the
//! platform on one seeded network.
//!
//! The nodes run the same [`NodeCore`](ploverlift_cluster::core::NodeCore) and
//! the same [`RequestMachine`](ploverlift_policy::request::RequestMachine) as a
//! real node; only sockets and clocks are simulated. What engines really ran
//! and what callers really got is recorded by the [`oracle`], which knows
//! nothing of the code under test.
//!
//! | module | job |
//! | --- | --- |
//! | [`world`] | the event loop and everything that happens in it |
//! | [`network`] | delay, loss, duplication, cuts |
//! | [`platform`] | the object API with outages, lost replies and stale reads |
//! | [`engines`] | engines with a cache, lives, weights and streams |
//! | [`requests`] | one request on one node, step by step |
//! | [`oracle`] | what really happened, and what must hold of it |
//! | [`schedule`] | operations and faults, as data |
//! | [`site`] | the small site that proofs run on |

pub mod engines;
pub mod network;
pub mod oracle;
pub mod platform;
pub mod requests;
pub mod schedule;
pub mod site;
pub mod world;
