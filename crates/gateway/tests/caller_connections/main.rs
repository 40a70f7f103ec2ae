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

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serializes the tests: all nodes and engines of this program share one thread, and some tests
/// block it.
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUN_LOCK: Mutex<()> = Mutex::new(());
    RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
