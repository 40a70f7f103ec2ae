//! How long to wait for an answer of the store, from how long answers took.
//!
//! A store that loses answers costs the whole wait for each of them, and a lease
//! lasts a second. So the wait follows the answers that came, as a transport's
//! retransmission timeout does (RFC 6298), and doubles after each that did not,
//! so that a store which has become slow is waited for.

/// Weight of the newest answer in the usual time.
const NEWEST_WEIGHT: f64 = 0.25;
/// The wait as a multiple of the usual time.
const TIMEOUT_MULTIPLE: f64 = 6.0;
/// Shortest wait, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 100;

/// The wait for the next answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimeout {
    max_ms: u64,
    smoothed_ms: Option<f64>,
    timeout_ms: u64,
}

impl AnswerTimeout {
    /// Waits at most `max_ms`, and so long until an answer came.
    pub fn new(max_ms: u64) -> Self {
        Self {
            max_ms,
            smoothed_ms: None,
            timeout_ms: max_ms,
        }
    }

    /// The wait for the next answer, in milliseconds.
    pub fn timeout_ms(&self) -> u64 {
        self.timeout_ms
    }

    /// An answer came after so long.
    pub fn on_answer(&mut self, elapsed_ms: u64) {
        let newest = elapsed_ms as f64;
        let smoothed = self.smoothed_ms.unwrap_or(newest);
        let smoothed = smoothed + NEWEST_WEIGHT * (newest - smoothed);
        self.smoothed_ms = Some(smoothed);
        let timeout_ms = ((smoothed * TIMEOUT_MULTIPLE) as u64).max(MIN_TIMEOUT_MS);
        self.timeout_ms = timeout_ms.min(self.max_ms);
    }

    /// No answer came within the wait.
    pub fn on_timeout(&mut self) {
        self.timeout_ms = (self.timeout_ms * 2).min(self.max_ms);
    }
}
