//! What was known of a tenant when a request was decided on, and when its caller may
//! come back.

use crate::tenant_levels::Allowance;
use ploverlift_routing::rate_limit::RateLimit;

/// Time within which levels show what all nodes admit, in milliseconds: a node's report
/// (80), those of its relay (100) and of another zone's (100), and the way. What is
/// left is divided over what other nodes are asked for in that time, so that nodes
/// which see the same level do not all spend it.
pub(crate) const PROPAGATION_MS: f64 = 400.0;
/// Shortest time to come back that a caller is told, in milliseconds: what a few
/// requests that are under way admit meanwhile is not known.
const MIN_RETRY_MS: f64 = 50.0;
/// Longest time to come back to a tenant of whose requests a share is admitted, in
/// milliseconds: what it asks for by then is not known.
const MAX_SHARE_WAIT_MS: f64 = 2_000.0;
/// Longest time to come back that a caller is told, in milliseconds.
const MAX_RETRY_MS: f64 = 60_000.0;

/// By what this node admits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Its own accounts: it hears all parts of the fleet.
    Accounts,
    /// What relays tell.
    Relays,
    /// Its share: it hears no relay.
    OwnShare,
}

impl Basis {
    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Basis::Accounts => "accounts",
            Basis::Relays => "relays",
            Basis::OwnShare => "own_share",
        }
    }
}

/// What was known when a request was decided on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// By what it was decided.
    pub basis: Basis,
    /// The tenant's limit.
    pub limit: RateLimit,
    /// What this node may admit.
    pub allowance: Allowance,
    /// What the request counts.
    pub cost: u64,
    /// The part of the tenant's requests that are admitted now, in 0 to 1.
    pub admitted_share: f64,
    /// Whether this request is among them.
    pub is_admitted: bool,
}

impl Standing {
    /// When the bucket holds what the request counts, in milliseconds from now. While
    /// only a share is admitted, what is asked for now is served at the limit first.
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
