//! Two engines of eighteen named the rate that they take from all nodes together, and got
//! three times as much for the rest of the day.
//!
//! Seen: from the first naming on, each got what it had got before, from all seven nodes; no
//! request failed, and no line of any node had the rate in it.
//! How it came about: the engine told each node in its answers; the nodes passed the answers
//! on and chose their engines as before.
//! Cause: nothing read what an engine says of itself in an answer, and a rate that counts over
//! the fleet had nobody who counts over the fleet.
//! Proof: here the same happens on nodes that run, with one engine, a third of them and all.
//! With each node counting for itself, as if no news of a holder came, the same test is red.

mod changes;
mod fleets;
mod messages;
mod oracle;
mod relayed;
#[path = "../support/mod.rs"]
mod support;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Lets one test play at a time: all nodes and engines of this program share one thread, and
/// the tests measure what they get done in seconds.
pub fn run_exclusively() -> MutexGuard<'static, ()> {
    static RUNNING: Mutex<()> = Mutex::new(());
    RUNNING.lock().unwrap_or_else(PoisonError::into_inner)
}
