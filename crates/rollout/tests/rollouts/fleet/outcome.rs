//! What a run showed.

use ploverlift_rollout::decider::Reason;
use ploverlift_rollout::order::RolloutState;
use ploverlift_rollout::stage::Stage;

/// What a run showed. Times are milliseconds since the order.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests from the order to the deadline.
    pub requests: u64,
    /// Arrivals at the target from the order to the deadline.
    pub target_arrivals: u64,
    /// Highest arrivals beyond share and slack at any time until the deadline.
    pub beyond_bound: f64,
    /// All requests.
    pub all_requests: u64,
    /// Requests that were sent nowhere.
    pub unserved: u64,
    /// Stages as they were stored.
    pub stages: Vec<(u64, Stage, Option<Reason>)>,
    /// When the target gave its fiftieth bad answer.
    pub fiftieth_bad_at: Option<u64>,
    /// Last arrival at the target.
    pub last_target_arrival: Option<u64>,
    /// Sent to established engines after `completed` was stored.
    pub established_after_completed: u64,
    /// Running on established engines of nodes in touch when `completed` was stored.
    pub running_at_completed: u64,
    /// Arrivals at the target by route.
    pub arrivals_by_route: Vec<(&'static str, u64)>,
    /// Arrivals at the target of requests that may run once only, and how many answers
    /// of others had come before the first.
    pub first_once_after: Option<u64>,
}

impl Outcome {
    /// When a state was stored first.
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

    /// Share of the requests until the deadline.
    pub fn share(&self) -> f64 {
        self.target_arrivals as f64 / self.requests.max(1) as f64
    }
}
