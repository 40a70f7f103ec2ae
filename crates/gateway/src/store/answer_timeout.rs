//! Adaptive time-out of store calls, derived from the response times of earlier calls.
//!
//! Each lost answer costs the whole time-out, and a lease lasts only a second. The time-out
//! therefore follows the measured response times, like a transport's retransmission time-out
//! (RFC 6298), and doubles after each missing answer so that a store that has become slow
//! can still answer.

/// Weight of the newest response time in the smoothed one.
const NEWEST_WEIGHT: f64 = 0.25;
/// The time-out as a multiple of the smoothed response time.
const TIMEOUT_MULTIPLE: f64 = 6.0;
/// Minimum time-out, in milliseconds.
const MIN_TIMEOUT_MS: u64 = 100;

/// Time-out of the next call.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimeout {
    max_ms: u64,
    smoothed_ms: Option<f64>,
    current_ms: u64,
}

impl AnswerTimeout {
    /// A time-out of at most `max_ms` milliseconds, which also applies until the first answer.
    pub fn new(max_ms: u64) -> Self {
        Self {
            max_ms,
            smoothed_ms: None,
            current_ms: max_ms,
        }
    }

    /// The time-out of the next call, in milliseconds.
    pub fn current_ms(&self) -> u64 {
        self.current_ms
    }

    /// Records an answer that arrived after `elapsed_ms`.
    pub fn on_answer(&mut self, elapsed_ms: u64) {
        let newest = elapsed_ms as f64;
        let smoothed = self.smoothed_ms.unwrap_or(newest);
        let smoothed = smoothed + NEWEST_WEIGHT * (newest - smoothed);
        self.smoothed_ms = Some(smoothed);
        let current_ms = ((smoothed * TIMEOUT_MULTIPLE) as u64).max(MIN_TIMEOUT_MS);
        self.current_ms = current_ms.min(self.max_ms);
    }

    /// Records that no answer arrived within the time-out.
    pub fn on_timeout(&mut self) {
        self.current_ms = (self.current_ms * 2).min(self.max_ms);
    }
}
