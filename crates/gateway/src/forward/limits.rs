//! The time that a request has.

use crate::state::Gateway;
use ploverlift_policy::ids::Millis;

/// Moments at which a request must be over.
#[derive(Clone, Copy, Debug)]
pub struct TimeLimits {
    /// When its head was whole.
    pub received: Millis,
    /// When its caller gives up.
    pub deadline: Option<Millis>,
    /// When its route's time-out is reached.
    pub timeout: Millis,
}

impl TimeLimits {
    /// Limits of a request that was received then.
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
