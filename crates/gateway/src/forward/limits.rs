//! Time limits of a request.

use crate::state::Gateway;
use ploverlift_policy::ids::Millis;

/// Times by which a request must be finished.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// When its head had been read.
    pub received: Millis,
    /// The caller's deadline, if the request has one.
    pub deadline: Option<Millis>,
    /// When the time-out of its route expires.
    pub timeout: Millis,
}

impl TimeLimits {
    /// Creates the limits of a request from its times in milliseconds after `received`.
    pub fn new(received: Millis, deadline_ms: Option<u64>, timeout_ms: u64) -> Self {
        Self {
            received,
            deadline: deadline_ms.map(|deadline| received.plus(deadline)),
            timeout: received.plus(timeout_ms),
        }
    }

    /// Time left until the first limit, in milliseconds.
    pub fn left_ms(&self, now: Millis) -> u64 {
        let first = self
            .deadline
            .map_or(self.timeout, |deadline| deadline.min(self.timeout));
        first.since(now)
    }

    /// Time since the request was received, in milliseconds.
    pub fn age_ms(&self, gateway: &Gateway) -> u64 {
        gateway.clock.now().since(self.received)
    }
}
