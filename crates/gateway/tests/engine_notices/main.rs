//! Engines that announce in their answers that they leave, or request backoff.

mod backoff;
mod leaving;
mod oracle;
#[path = "../support/mod.rs"]
mod support;
mod use_after_leaving;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Serializes the tests: all nodes and engines of this program share one thread, and the tests
/// measure their progress against wall-clock time.
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUN_LOCK: Mutex<()> = Mutex::new(());
    RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
