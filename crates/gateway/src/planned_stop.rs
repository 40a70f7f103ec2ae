//! Phases of a planned stop.

use event_listener::Event;
use ploverlift_balancing::stop_window::StopWindow;
use ploverlift_policy::ids::Millis;
use std::future::Future;
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::OnceLock;

/// Fraction of the bound on a planned stop after which running requests are not waited for any
/// more.
const CONCLUDED_SHARE: f64 = 0.95;

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
    /// Requests that still run are answered as unfinished.
    Concluding = 4,
    /// The connections that are still open end with the process.
    Ended = 5,
}

/// How far a planned stop has come.
#[derive(Debug, Default)]
pub struct PlannedStop {
    /// The present phase; 0 before the stop.
    phase: AtomicU8,
    changed: Event,
    window: OnceLock<StopWindow>,
}

impl PlannedStop {
    /// Begins a stop that ends within `bound_ms` milliseconds; returns the time that it leaves to
    /// requests. A stop that has begun keeps its bound.
    pub fn begin_accepting(&self, bound_ms: f64, now: Millis) -> StopWindow {
        let concludes = now.plus((bound_ms * CONCLUDED_SHARE) as u64);
        let window = *self.window.get_or_init(|| StopWindow { concludes });
        self.begin(StopPhase::Accepting);
        window
    }

    /// The time that the stop leaves to requests; `None` before the stop.
    pub fn window(&self) -> Option<StopWindow> {
        self.window.get().copied()
    }

    /// Runs `work`; returns `None` when requests have to be concluded before it is done. The work is
    /// borrowed, so that its space is not reserved twice.
    pub async fn unless_concluding<T>(&self, work: Pin<&mut impl Future<Output = T>>) -> Option<T> {
        let working = async { Some(work.await) };
        let concluding = async {
            self.wait_for(StopPhase::Concluding).await;
            None
        };
        futures_lite::future::or(working, concluding).await
    }

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
