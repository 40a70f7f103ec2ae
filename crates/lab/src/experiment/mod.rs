//! Routing policies on an emulated fleet in virtual time. All policies run on the
//! same trace and seed.
//!
//! | module | job |
//! | --- | --- |
//! | [`model`] | constants of the emulated fleet and site |
//! | [`workload`] | traces shaped like the users' traffic |
//! | [`engine`] | one engine: slots, sequential prefill, a cache of blocks |
//! | [`policies`] | round robin, least load, bounded hash, ploverlift, oracle |
//! | [`run`] | the event loop |
//! | [`results`] | the report |
//!
//! docs/design/experiment-model.md lists the simplifications of the emulation.

pub mod engine;
pub mod model;
pub mod policies;
pub mod results;
pub mod run;
pub mod workload;
