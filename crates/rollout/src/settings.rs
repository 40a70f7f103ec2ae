//! Bounds that a rollout keeps, as the operator sets them.

/// Bounds of a rollout. The operator's, so none of them is a constant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// Share of a service's requests between order and deadline that a bad version may
    /// get (`bounds.canary_share`).
    pub canary_share: f64,
    /// Requests that a bad version may get beyond that share (`bounds.canary_slack`).
    pub canary_slack: u64,
    /// Time from the fleet's fiftieth bad answer of a version until no node sends it
    /// anything, in milliseconds (`bounds.roll_back_ms`).
    pub roll_back_ms: u64,
    /// Silence after which a node serves nothing any more, in milliseconds: the bound
    /// on revoked keys.
    pub silence_bound_ms: u64,
    /// How the share is held or raised.
    pub strategy: Strategy,
}

/// How long the share is held, and when it is raised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Strategy {
    /// One share until all traffic may move within the bound, if the cut-over can end by
    /// the deadline then; else past the deadline, when what a bad version gets no longer
    /// counts. Which of the two follows from the bound, the order's duration and the time
    /// that a cut-over takes.
    #[default]
    Hold,
    /// Always past the deadline.
    HoldPastDeadline,
    /// As [`Self::Hold`], but the share is raised by steps as evidence grows, each within
    /// the bound.
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
