//! Limits on what a tenant may use, over all nodes together.

use xxhash_rust::xxh3::xxh3_64;

/// What requests count by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts one.
    Requests,
    /// A request counts the tokens of its prompt and the most that it may generate.
    Tokens {
        /// What a request counts that declares no tokens.
        undeclared: u64,
    },
}

impl LimitUnit {
    /// Its name in logs and answers.
    pub fn name(self) -> &'static str {
        match self {
            LimitUnit::Requests => "requests",
            LimitUnit::Tokens { .. } => "tokens",
        }
    }
}

/// A tenant's limit: so much a second, and so much on top at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units a second.
    pub per_second: f64,
    /// Units that may be used at once after a rest.
    pub burst: f64,
    /// What is counted.
    pub unit: LimitUnit,
}

impl RateLimit {
    /// What a request counts that declares so many tokens.
    pub fn cost(&self, declared_tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { undeclared } => declared_tokens.unwrap_or(undeclared),
        }
    }
}

/// A short name of a tenant, the same on all nodes. Two of 16,000 tenants share one
/// with a probability of 1 in 10^11.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantTag(pub u64);

impl TenantTag {
    /// The short name of a tenant.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}
