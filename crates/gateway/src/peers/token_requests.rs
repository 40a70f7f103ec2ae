//! Requests for tokens of engines that this node has sent, and the tasks that wait for the
//! answers.

use super::messages::PeerMessage;
use super::outbox::Outbox;
use crate::time::within;
use ploverlift_enginelimit::node_messages::{TokenAnswer, TokenRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Time-out of each attempt, in milliseconds: a round trip takes 3 ms between zones, and a
/// busy node some tens of milliseconds more.
const ANSWER_TIMEOUT_MS: u64 = 40;
/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 2;

type AnswerSender = async_channel::Sender<TokenAnswer>;

/// The pending requests.
#[derive(Debug)]
pub struct PendingTokenRequests {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, AnswerSender>>,
}

/// A request that is pending until this is dropped.
struct PendingRequest<'a> {
    requests: &'a PendingTokenRequests,
    number: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.requests.waiting().remove(&self.number);
    }
}

impl Default for PendingTokenRequests {
    /// Numbers start at a random value: those of an earlier incarnation of the node may
    /// already have been answered.
    fn default() -> Self {
        Self {
            next: AtomicU64::new(fastrand::u64(..)),
            waiting: Mutex::default(),
        }
    }
}

impl PendingTokenRequests {
    /// The number of the next request.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Requests a token from a node; `None` when it does not answer in time.
    pub async fn request_token(
        &self,
        outbox: &Outbox,
        to: SocketAddr,
        request: &TokenRequest,
    ) -> Option<TokenAnswer> {
        let (sender, answered) = async_channel::bounded(1);
        self.waiting().insert(request.number, sender);
        let _pending = PendingRequest {
            requests: self,
            number: request.number,
        };
        for _ in 0..MAX_ATTEMPTS {
            outbox.put(to, &PeerMessage::TokenRequest(request.clone()));
            if let Some(Ok(answer)) = within(ANSWER_TIMEOUT_MS, answered.recv()).await {
                return Some(answer);
            }
        }
        None
    }

    /// Passes an answer to the task that waits for it. An answer that no task waits for is
    /// discarded.
    pub fn resolve(&self, number: u64, answer: TokenAnswer) {
        if let Some(waiting) = self.waiting().get(&number) {
            let _ = waiting.try_send(answer);
        }
    }

    fn waiting(&self) -> MutexGuard<'_, HashMap<u64, AnswerSender>> {
        let waiting = self.waiting.lock();
        waiting.unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}
