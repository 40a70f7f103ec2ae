//! Routing policies on an emulated fleet in virtual time: the same trace, the
//! same seed, one policy after the other.
//!
//! | module | job |
//! | --- | --- |
//! | [`model`] | constants of the emulated fleet and site |
//! | [`workload`] | traces shaped like the users' traffic |
//! | [`engine`] | one engine: slots, prefill in turn, a cache of blocks |
//! | [`policies`] | round robin, least load, bounded hash, ploverlift, oracle |
//! | [`run`] | the event loop |
//! | [`results`] | what is reported |
//!
//! docs/design/experiment-model.md says what the emulation leaves out.

pub mod engine;
pub mod model;
pub mod policies;
pub mod results;
pub mod run;
pub mod workload;
