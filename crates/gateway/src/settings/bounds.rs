//! Settings for the bounds that the site guarantees.

use super::checks::{one_or_more, over_zero, share, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[bounds]`: the bounds that the site guarantees.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BoundSettings {
    /// Time within which a revoked key stops working, in milliseconds, also at nodes that
    /// cannot reach the store.
    pub key_revocation_ms: u64,
    /// Whether nodes that cannot reach the store must stop accepting keys.
    pub revoke_when_cut: bool,
    /// Time within which a planned stop ends, in seconds.
    pub stop_seconds: f64,
    /// Time within which new weights are in use, in milliseconds.
    pub weights_ms: u64,
    /// Time within which new weights are in use, summed over stretches with interruptions
    /// between them, in milliseconds.
    pub weights_total_ms: u64,
    /// Time after which an engine that announced that it is leaving, or whose record was
    /// removed from the store, receives no new requests, in milliseconds.
    pub leaving_engine_ms: u64,
    /// Time within which two holders of a lease never both act, in milliseconds.
    pub lease_ms: u64,
    /// Retries that may arrive at a service, as a share of its requests.
    pub retry_ratio: f64,
    /// Window of the retry budget, in seconds.
    pub retry_window_seconds: f64,
    /// Share of a service's requests that a version may receive before it is known to be good,
    /// from the order of a rollout to its deadline.
    pub canary_share: f64,
    /// Requests that such a version may receive in addition to `canary_share`.
    pub canary_slack: u64,
    /// Time after the 50th bad answer of a version after which it receives no more requests, in
    /// milliseconds.
    pub roll_back_ms: u64,
}

impl Default for BoundSettings {
    fn default() -> Self {
        Self {
            key_revocation_ms: 5_000,
            revoke_when_cut: true,
            stop_seconds: 8.0,
            weights_ms: 8_000,
            weights_total_ms: 11_000,
            leaving_engine_ms: 2_000,
            lease_ms: 3_000,
            retry_ratio: 0.2,
            retry_window_seconds: 10.0,
            canary_share: 0.1,
            canary_slack: 50,
            roll_back_ms: 5_000,
        }
    }
}

impl BoundSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        one_or_more("bounds.key_revocation_ms", self.key_revocation_ms)?;
        one_or_more("bounds.weights_ms", self.weights_ms)?;
        one_or_more("bounds.leaving_engine_ms", self.leaving_engine_ms)?;
        one_or_more("bounds.lease_ms", self.lease_ms)?;
        one_or_more("bounds.roll_back_ms", self.roll_back_ms)?;
        share("bounds.retry_ratio", self.retry_ratio)?;
        share("bounds.canary_share", self.canary_share)?;
        over_zero("bounds.stop_seconds", self.stop_seconds)?;
        over_zero("bounds.retry_window_seconds", self.retry_window_seconds)
    }
}
