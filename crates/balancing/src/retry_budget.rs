//! Retry budget of one service.
//!
//! The bound holds over all nodes together: in any window, retries stay below a share of
//! the requests plus a constant. A node counts its own requests only. If each node stays
//! below the share of its own requests, the sum stays below the share of all. The
//! constant is not divided among the nodes, because nodes join and leave, and is used
//! only for a small reserve.

use ploverlift_policy::ids::Millis;
use std::collections::VecDeque;

/// Length of one slot of the window, in milliseconds.
const SLOT_MS: u64 = 500;

/// Limits of a retry budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries that a node may make in a window without any requests.
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

/// Requests and retries of one service in the last window.
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

    /// Replaces the limits; requests and retries that were recorded still count.
    pub fn set_limits(&mut self, limits: RetryLimits) {
        self.limits = limits;
    }

    /// Records a caller's request for the service.
    pub fn record_request(&mut self, now: Millis) {
        self.slot(now).requests += 1;
    }

    /// Takes one retry from the budget; returns false when it is used up.
    pub fn try_take(&mut self, now: Millis) -> bool {
        if !self.has_retry(now) {
            return false;
        }
        self.slot(now).repeats += 1;
        true
    }

    /// Returns a retry that was taken and not sent.
    pub fn put_back(&mut self, now: Millis) {
        self.slot(now);
        let mut newest_first = self.slots.iter_mut().rev();
        if let Some(slot) = newest_first.find(|slot| slot.repeats > 0) {
            slot.repeats -= 1;
        }
    }

    /// Whether the budget has a retry left.
    pub fn has_retry(&mut self, now: Millis) -> bool {
        self.slot(now);
        let requests: u32 = self.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = self.slots.iter().map(|slot| slot.repeats).sum();
        let allowed = self.limits.ratio * f64::from(requests) + self.limits.reserve;
        f64::from(repeats + 1) <= allowed
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
