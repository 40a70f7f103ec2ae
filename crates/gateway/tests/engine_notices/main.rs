//! Engines that say in their answers that they leave, or ask the node to back off.

mod backoff;
mod leaving;
mod oracle;
#[path = "../support/mod.rs"]
mod support;
mod ways;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Lets one test play at a time: all nodes and engines of this program share one thread, and
/// the tests measure what they get done in seconds.
pub fn play_alone() -> MutexGuard<'static, ()> {
    static PLAYING: Mutex<()> = Mutex::new(());
    PLAYING.lock().unwrap_or_else(PoisonError::into_inner)
}
