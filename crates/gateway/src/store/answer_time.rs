//! How long to wait for an answer of the store, from how long answers took.
//!
//! A store that loses answers costs the whole wait for each of them, and a lease
//! lasts a second. So the wait follows the answers that came, as a transport's
//! retransmission timeout does (RFC 6298), and doubles after each that did not,
//! so that a store which has become slow is waited for.

/// Weight of the newest answer in the usual time.
const NEWEST_WEIGHT: f64 = 0.25;
/// The wait as a multiple of the usual time.
const MULTIPLE: f64 = 6.0;
/// Shortest wait, in milliseconds.
const SHORTEST_MS: u64 = 100;

/// The wait for the next answer.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTime {
    longest_ms: u64,
    usual_ms: Option<f64>,
    wait_ms: u64,
}

impl AnswerTime {
    /// Waits at most `longest_ms`, and so long until an answer came.
    pub fn new(longest_ms: u64) -> Self {
        Self {
            longest_ms,
            usual_ms: None,
            wait_ms: longest_ms,
        }
    }

    /// The wait for the next answer, in milliseconds.
    pub fn wait_ms(&self) -> u64 {
        self.wait_ms
    }

    /// An answer came after so long.
    pub fn on_answer(&mut self, after_ms: u64) {
        let newest = after_ms as f64;
        let usual = self.usual_ms.unwrap_or(newest);
        let usual = usual + NEWEST_WEIGHT * (newest - usual);
        self.usual_ms = Some(usual);
        let wait_ms = ((usual * MULTIPLE) as u64).max(SHORTEST_MS);
        self.wait_ms = wait_ms.min(self.longest_ms);
    }

    /// No answer came within the wait.
    pub fn on_silence(&mut self) {
        self.wait_ms = (self.wait_ms * 2).min(self.longest_ms);
    }
}
