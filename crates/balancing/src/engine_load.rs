//! Requests at one engine, and sums of them.

/// Requests at one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Requests there.
    pub requests: u32,
    /// Prompt tokens that are still to be read.
    pub waiting_tokens: u64,
}

impl EngineLoad {
    pub(crate) fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Adds requests.
    pub fn add(&mut self, other: EngineLoad) {
        self.requests += other.requests;
        self.waiting_tokens += other.waiting_tokens;
    }

    pub(crate) fn subtract(&mut self, other: EngineLoad) {
        self.requests = self.requests.saturating_sub(other.requests);
        self.waiting_tokens = self.waiting_tokens.saturating_sub(other.waiting_tokens);
    }
}
