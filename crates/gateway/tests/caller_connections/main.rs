//! Connections of callers on which a request is open: how they end, and what is logged.

mod configuration_changes;
mod ends;
mod idle;
mod last_answers;
mod node;
mod pipelined;
mod stopping;
#[path = "../support/mod.rs"]
mod support;

pub use support::exclusive::run_exclusively;
