//! Measurements of a run.

use ploverlift_rollout::decider::Reason;
use ploverlift_rollout::order::RolloutState;
use ploverlift_rollout::stage::Stage;

/// Measurements of a run. Times are milliseconds since the order.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests from the order to the deadline.
    pub requests: u64,
    /// Arrivals at the target from the order to the deadline.
    pub target_arrivals: u64,
    /// Largest excess of arrivals over share and slack at any time until the deadline.
    pub beyond_bound: f64,
    /// All requests.
    pub all_requests: u64,
    /// Requests for which no version was allowed.
    pub unserved: u64,
    /// The stages in the order in which they were stored, with time and reason.
    pub stages: Vec<(u64, Stage, Option<Reason>)>,
    /// When the target gave its fiftieth bad answer.
    pub fiftieth_bad_at: Option<u64>,
    /// Last arrival at the target.
    pub last_target_arrival: Option<u64>,
    /// Requests sent to established engines after `completed` was stored.
    pub established_after_completed: u64,
    /// Requests running on established engines of connected nodes when `completed` was
    /// stored.
    pub running_at_completed: u64,
    /// Arrivals at the target by route.
    pub arrivals_by_route: Vec<(&'static str, u64)>,
    /// Number of answers to repeatable requests before the first arrival at the target
    /// of a request that may run only once.
    pub first_once_after: Option<u64>,
}

impl Outcome {
    /// The time at which a state was first stored.
    pub fn at(&self, state: RolloutState) -> Option<u64> {
        let mut stages = self.stages.iter();
        stages
            .find(|(_, stage, _)| stage.state() == state)
            .map(|(at, _, _)| *at)
    }

    /// Time from the fiftieth bad answer to the last arrival at the target.
    pub fn stopped_after(&self) -> Option<u64> {
        let fiftieth = self.fiftieth_bad_at?;
        Some(self.last_target_arrival?.saturating_sub(fiftieth))
    }

    /// The target's share of the requests until the deadline.
    pub fn share(&self) -> f64 {
        self.target_arrivals as f64 / self.requests.max(1) as f64
    }
}
