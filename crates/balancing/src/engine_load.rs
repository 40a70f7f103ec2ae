//! The load at one engine, and sums of loads.

/// The load at one engine, of one node or of several.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Number of requests in flight.
    pub requests: u32,
    /// Prompt tokens that have not been processed yet.
    pub waiting_tokens: u64,
}

impl EngineLoad {
    pub(crate) fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Adds another load.
    pub fn add(&mut self, other: EngineLoad) {
        self.requests += other.requests;
        self.waiting_tokens += other.waiting_tokens;
    }

    pub(crate) fn subtract(&mut self, other: EngineLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
    }
}
