//! Rate limits of tenants, which apply to all nodes together.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Seed of the tags of accounts that are kept in requests.
const REQUEST_ACCOUNT_SEED: u64 = 1;

/// The unit in which requests count against a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitUnit {
    /// Each request counts as one unit.
    Requests,
    /// A request counts as the tokens of its prompt plus the most that it may generate.
    Tokens {
        /// Tokens that a request counts as if it declares none.
        undeclared: u64,
    },
}

impl LimitUnit {
    /// The name of the unit in logs and answers.
    pub fn name(self) -> &'static str {
        match self {
            LimitUnit::Requests => "requests",
            LimitUnit::Tokens { .. } => "tokens",
        }
    }
}

/// A tenant's rate limit, as rate and burst of a token bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateLimit {
    /// Units per second.
    pub per_second: f64,
    /// Units that may be used at once after an idle period.
    pub burst: f64,
    /// The unit that is counted.
    pub unit: LimitUnit,
}

impl RateLimit {
    /// The account of a tenant with this limit. Each unit has accounts of its own: use and debts
    /// in one unit mean nothing in another.
    pub fn account(&self, tenant: &str) -> TenantTag {
        match self.unit {
            LimitUnit::Requests => {
                TenantTag(xxh3_64_with_seed(tenant.as_bytes(), REQUEST_ACCOUNT_SEED))
            }
            LimitUnit::Tokens { .. } => TenantTag::of(tenant),
        }
    }

    /// Units that a request with `declared_tokens` counts as.
    pub fn cost(&self, declared_tokens: Option<u64>) -> u64 {
        match self.unit {
            LimitUnit::Requests => 1,
            LimitUnit::Tokens { undeclared } => declared_tokens.unwrap_or(undeclared),
        }
    }
}

/// A hash that identifies a tenant, the same on all nodes. The probability that any two of
/// 16,000 tenants have the same tag is 1 in 10^11.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantTag(pub u64);

impl TenantTag {
    /// The tag of the tenant with this name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}
