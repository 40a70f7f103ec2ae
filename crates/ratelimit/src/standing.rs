//! The state of a tenant on which the decision about a request is based, and the time after
//! which its caller may retry.

use crate::tenant_levels::Allowance;
use ploverlift_routing::rate_limit::RateLimit;

/// Time within which levels reflect the admissions of all nodes, in milliseconds: the
/// report periods of a node (80), of its relay (100) and of another zone's relay (100), and
/// transit. Available tokens are divided over the demand at other nodes in that time, so
/// that nodes that see the same level do not each spend all of it.
pub(crate) const PROPAGATION_MS: f64 = 400.0;
/// Shortest retry time given to a caller, in milliseconds, as the effect of a few requests
/// in flight is unknown.
const MIN_RETRY_MS: f64 = 50.0;
/// Longest retry time while a share of a tenant's requests is admitted, in milliseconds, as
/// the demand beyond that is unknown.
const MAX_SHARE_WAIT_MS: f64 = 2_000.0;
/// Longest retry time given to a caller, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;

/// The source of the levels by which this node admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its own accounts: it receives the reports of all parts of the fleet.
    Accounts,
    /// Levels reported by relays.
    Relays,
    /// Its own share of the limit: it receives no relay reports.
    OwnShare,
}

impl Basis {
    /// The name of the source in logs.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Accounts => "accounts",
            Basis::Relays => "relays",
            Basis::OwnShare => "own_share",
        }
    }
}

/// The state on which the decision about a request is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// The source of the levels.
    pub basis: Basis,
    /// The tenant's limit.
    pub limit: RateLimit,
    /// The tokens that this node may admit.
    pub allowance: Allowance,
    /// The cost of the request, in the unit of the limit.
    pub cost: u64,
    /// The share of the tenant's requests that is currently admitted, from 0 to 1.
    pub admitted_share: f64,
    /// Whether this request is in that share.
    pub is_admitted: bool,
}

impl Standing {
    /// Time until the bucket covers the cost of the request, in milliseconds. While only a
    /// share is admitted, the current demand is served at the limit first.
    pub fn retry_after_ms(&self) -> u64 {
        let wanted = (self.cost as f64).min(self.limit.burst.max(1.0));
        let missing = wanted - self.allowance.available;
        let wait_ms = missing * 1_000.0 / self.allowance.refill_per_second.max(0.001);
        let waiting = match self.admitted_share {
            share if share > 0.0 => 1.0 / share - 1.0,
            _ => 0.0,
        };
        let turn_ms = (PROPAGATION_MS * waiting).min(MAX_SHARE_WAIT_MS);
        wait_ms.max(turn_ms).clamp(MIN_RETRY_MS, MAX_RETRY_MS) as u64
    }
}
