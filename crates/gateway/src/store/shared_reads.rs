//! Reads of the store that are shared by all requests that wait for one.

use crate::time::within;
use event_listener::Event;
use std::sync::{Mutex, MutexGuard};

/// Longest wait of a request for a read, in milliseconds. A caller whose stream can't be placed
/// comes back after a second.
const MAX_WAIT_MS: u64 = 800;

/// The outcome of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadOutcome {
    /// The store answered, and the answer has been applied.
    Answered,
    /// The store did not answer in time, or refused.
    Failed,
}

#[derive(Debug, Default)]
struct Progress {
    /// Number of reads that have begun.
    begun: u64,
    /// The highest number of a read that a request waits for.
    wanted: u64,
    /// The last read that has ended, and its outcome.
    ended: Option<(u64, ReadOutcome)>,
}

/// Numbered reads, one at a time.
#[derive(Debug, Default)]
pub struct SharedReads {
    progress: Mutex<Progress>,
    /// Notified when a request wants a read.
    pub due: Event,
    ended: Event,
}

impl SharedReads {
    /// Requests a read that begins after this call; returns its number.
    pub fn request(&self) -> u64 {
        let number = {
            let mut progress = self.progress();
            progress.wanted = progress.begun + 1;
            progress.wanted
        };
        self.due.notify(usize::MAX);
        number
    }

    /// Waits for a read that begins after this call; returns whether the store has answered it in
    /// time.
    pub(crate) async fn is_answered(&self) -> bool {
        within(MAX_WAIT_MS, self.next()).await == Some(ReadOutcome::Answered)
    }

    async fn next(&self) -> ReadOutcome {
        let number = self.request();
        loop {
            let ended = self.ended.listen();
            if let Some((last, outcome)) = self.progress().ended {
                if last >= number {
                    return outcome;
                }
            }
            ended.await;
        }
    }

    /// Whether a request waits for a read that has not begun.
    pub(crate) fn is_wanted(&self) -> bool {
        let progress = self.progress();
        progress.wanted > progress.begun
    }

    /// Begins a read.
    pub(crate) fn begin(&self) {
        self.progress().begun += 1;
    }

    /// Ends the read that began last.
    pub(crate) fn end(&self, outcome: ReadOutcome) {
        let mut progress = self.progress();
        progress.ended = Some((progress.begun, outcome));
        drop(progress);
        self.ended.notify(usize::MAX);
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        let progress = self.progress.lock();
        progress.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
