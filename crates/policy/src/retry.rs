//! The retry budget: retries are a bounded share of recent first attempts, so
//! that a failing fleet is not loaded further by its own router.

/// Retries allowed for each first attempt.
pub const RETRY_SHARE: f64 = 0.1;
/// Retries that a quiet node may still make.
pub const RETRY_RESERVE: f64 = 10.0;

/// Tokens of the budget; one retry takes one token.
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

    /// Takes one retry from the budget; false when it is spent.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
