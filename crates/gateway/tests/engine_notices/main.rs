//! Engines that say in their answers that they leave, or ask the node to back off.

mod backoff;
mod leaving;
mod oracle;
mod request_paths;
#[path = "../support/mod.rs"]
mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Lets one test play at a time: all nodes and engines of this program share one thread, and
/// the tests measure what they get done in seconds.
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUN_LOCK: Mutex<()> = Mutex::new(());
    RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
