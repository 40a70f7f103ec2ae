//! The budget of repeated arrivals at one service.
//!
//! The bound holds over all nodes together: in any window, arrivals beyond the
//! first of each request stay under a share of the requests plus a constant. A
//! node knows its own requests only. If each node stays under the share of its
//! own requests, the sum stays under the share of all; the constant is not
//! divided, because nodes come and go, and is used only for a small reserve.

use ploverlift_policy::ids::Millis;
use std::collections::VecDeque;

/// Length of one slot of the window, in milliseconds.
const SLOT_MS: u64 = 500;

/// Bounds of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeated arrivals for each request.
    pub ratio: f64,
    /// Repeated arrivals that a quiet node may make in a window.
    pub reserve: f64,
    /// Length of the window, in milliseconds.
    pub window_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slot {
    start: Millis,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service in the last window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    limits: RetryLimits,
    slots: VecDeque<Slot>,
}

impl RetryBudget {
    /// A budget without history.
    pub fn new(limits: RetryLimits) -> Self {
        Self {
            limits,
            slots: VecDeque::new(),
        }
    }

    /// A caller's request for the service came in.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).requests += 1;
    }

    /// Takes one repeat from the budget; false when it is spent.
    pub fn try_take(&mut self, now: Millis) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = self.slots.iter().map(|slot| slot.repeats).sum();
        let allowed = self.limits.ratio * f64::from(requests) + self.limits.reserve;
        if f64::from(repeats + 1) > allowed {
            return false;
        }
        self.slot(now).repeats += 1;
        true
    }

    fn slot(&mut self, now: Millis) -> &mut Slot {
        let window = self.limits.window_ms;
        while self
            .slots
            .front()
            .is_some_and(|slot| now.since(slot.start) > window)
        {
            self.slots.pop_front();
        }
        let start = Millis(now.0 - now.0 % SLOT_MS);
        let current = self.slots.back().is_some_and(|slot| slot.start == start);
        if !current {
            self.slots.push_back(Slot {
                start,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.slots.len() - 1;
        &mut self.slots[last]
    }
}
