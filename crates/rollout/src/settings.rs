//! Bounds of a rollout, as the operator sets them.

/// Bounds of a rollout. The operator sets them, so none of them is a constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Share of a service's requests between order and deadline that a bad version may
    /// get (`bounds.canary_share`).
    pub canary_share: f64,
    /// Requests that a bad version may get in addition to that share
    /// (`bounds.canary_slack`).
    pub canary_slack: u64,
    /// Time from the fleet's fiftieth bad answer of a version until no node sends it any
    /// more requests, in milliseconds (`bounds.roll_back_ms`).
    pub roll_back_ms: u64,
    /// Silence after which a node serves no requests any more, in milliseconds: the
    /// bound on revoked keys.
    pub silence_bound_ms: u64,
    /// How the canary share is held or raised.
    pub strategy: Strategy,
}

/// How long the canary share is held, and when it is raised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// Holds one share until all traffic may move within the bound, if the cut-over can
    /// then end by the deadline; otherwise holds it past the deadline, after which
    /// requests to a bad version no longer count. Which of the two applies follows from
    /// the bound, the order's duration and the duration of a cut-over.
    #[default]
    Hold,
    /// Always holds the share past the deadline.
    HoldPastDeadline,
    /// Like [`Self::Hold`], but raises the share in steps as evidence accumulates, each
    /// step within the bound.
    Steps,
}

impl Default for RolloutSettings {
    fn default() -> Self {
        Self {
            canary_share: 0.1,
            canary_slack: 50,
            roll_back_ms: 5_000,
            silence_bound_ms: 5_000,
            strategy: Strategy::default(),
        }
    }
}
