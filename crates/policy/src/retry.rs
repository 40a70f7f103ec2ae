//! The retry budget: limits retries to a share of recent first attempts, so that the
//! router does not add much load to a fleet that is failing.

/// Retries credited for each first attempt.
pub const RETRY_SHARE: f64 = 0.1;
/// Size of the budget, in retries. A node without recent requests may make this many.
pub const RETRY_RESERVE: f64 = 10.0;

/// A token bucket of retries; each retry takes one token.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: RETRY_RESERVE,
        }
    }
}

impl RetryBudget {
    /// Credits the budget for one first attempt.
    pub fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + RETRY_SHARE).min(RETRY_RESERVE);
    }

    /// Takes one retry from the budget; returns false when the budget is exhausted.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
