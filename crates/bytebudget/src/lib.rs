//! A budget of bytes that a process holds for others, divided into named shares.
//!
//! Limits on single bodies, answers or events do not bound their sum. Whoever collects bytes for
//! others reserves them first, from the share of its kind, and returns them by dropping the
//! reservation. A share that is full keeps new bytes out; it takes nothing from other shares.
//!
//! | module | concern |
//! | --- | --- |
//! | [`limits`] | sizes of the shares, from the memory of the machine |
//! | [`share`] | reservations from one share, and the queue of those that wait |

pub mod limits;
pub mod share;

use limits::BudgetLimits;
use share::Share;
use std::sync::Arc;

/// The shares of one process.
#[derive(Clone, Debug)]
pub struct ByteBudget {
    /// Bodies of callers' requests, from their arrival to the end of the last attempt.
    pub request_bodies: Arc<Share>,
    /// Engines' answers and events that are collected before they are forwarded.
    pub engine_answers: Arc<Share>,
    /// Answers of the object store.
    pub store_answers: Arc<Share>,
    /// Answers of engines and cache stores to calls other than requests.
    pub engine_calls: Arc<Share>,
}

impl ByteBudget {
    /// A budget of which nothing is used.
    pub fn new(limits: &BudgetLimits) -> Self {
        Self {
            request_bodies: Share::new(limits.request_bodies),
            engine_answers: Share::new(limits.engine_answers),
            store_answers: Share::new(limits.store_answers),
            engine_calls: Share::new(limits.engine_calls),
        }
    }
}
