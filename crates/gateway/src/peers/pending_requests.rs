//! Requests to other nodes that this node has sent, and the tasks that wait for the answers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Pending requests whose answers are of one type.
#[derive(Debug)]
pub struct PendingRequests<A> {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, async_channel::Sender<A>>>,
}

/// A request that is pending until this is dropped.
#[derive(Debug)]
pub struct PendingRequest<'a, A> {
    requests: &'a PendingRequests<A>,
    number: u64,
    /// Receives its answers.
    pub answers: async_channel::Receiver<A>,
}

impl<A> Drop for PendingRequest<'_, A> {
    fn drop(&mut self) {
        self.requests.waiting().remove(&self.number);
    }
}

impl<A> Default for PendingRequests<A> {
    /// Numbers start at a random value: those of an earlier incarnation of the node may
    /// already have been answered.
    fn default() -> Self {
        Self {
            next: AtomicU64::new(fastrand::u64(..)),
            waiting: Mutex::default(),
        }
    }
}

impl<A> PendingRequests<A> {
    /// The number of the next request.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Begins to wait for at most `max_answers` answers to the request with this number.
    pub fn begin(&self, number: u64, max_answers: usize) -> PendingRequest<'_, A> {
        let (sender, answers) = async_channel::bounded(max_answers.max(1));
        self.waiting().insert(number, sender);
        PendingRequest {
            requests: self,
            number,
            answers,
        }
    }

    /// Passes an answer to the task that waits for it. An answer that no task waits for is
    /// discarded.
    pub fn resolve(&self, number: u64, answer: A) {
        if let Some(waiting) = self.waiting().get(&number) {
            let _ = waiting.try_send(answer);
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, async_channel::Sender<A>>> {
        let waiting = self.waiting.lock();
        waiting.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
