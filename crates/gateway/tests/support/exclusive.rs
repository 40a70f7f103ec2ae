//! Tests that do not run beside others of their program.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Waits until no other test of this program holds the guard. All nodes and engines of a program
/// share one thread, so that tests with many of them delay each other, and some block it.
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUN_LOCK: Mutex<()> = Mutex::new(());
    RUN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}
