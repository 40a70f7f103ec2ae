//! The runtime of one node: listeners, clients of engines and of the platform,
//! and the tasks that drive the state machines of `policy` and `cluster`.
//!
//! [`assembly::start`] is the only place in which the parts are put together.

pub mod assembly;
pub mod callers;
pub mod cluster;
pub mod engines;
pub mod executor;
pub mod listener;
pub mod logging;
pub mod operators;
pub mod platform;
pub mod settings;
pub mod state;
