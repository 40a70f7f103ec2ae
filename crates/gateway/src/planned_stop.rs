//! Phases of a planned stop.

use event_listener::Event;
use std::sync::atomic::{AtomicU8, Ordering};

/// A phase of a planned stop; each one includes the effects of those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum StopPhase {
    /// The node is not ready any more, but serves the requests that still reach it.
    Accepting = 1,
    /// New requests are refused.
    Refusing = 2,
    /// No connections are accepted any more. Requests that have arrived are answered, then
    /// their connections are closed.
    Closing = 3,
    /// The connections that are still open end with the process.
    Ended = 4,
}

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub struct PlannedStop {
    /// The present phase; 0 before the stop.
    phase: AtomicU8,
    changed: Event,
}

impl PlannedStop {
    /// Begins a phase, unless a later one has begun.
    pub fn begin(&self, phase: StopPhase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
        self.changed.notify(usize::MAX);
    }

    /// Whether a phase, or a later one, has begun.
    pub fn has_begun(&self, phase: StopPhase) -> bool {
        self.phase.load(Ordering::Acquire) >= phase as u8
    }

    /// Waits until a phase has begun.
    pub async fn wait_for(&self, phase: StopPhase) {
        loop {
            let changed = self.changed.listen();
            if self.has_begun(phase) {
                return;
            }
            changed.await;
        }
    }
}
