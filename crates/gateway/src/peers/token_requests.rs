//! Questions for tokens that this node has asked, and who waits for their answers.

use super::messages::PeerMessage;
use super::outbox::Outbox;
use crate::time::within;
use ploverlift_enginelimit::node_messages::{TokenAnswer, TokenRequest};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard};

/// Longest wait for an answer before the question is asked once more, and in all, in
/// milliseconds: a round trip takes 3 ms between zones, and a busy node some tens more.
const ANSWER_TIMEOUT_MS: u64 = 40;
/// Times that a question is asked.
const MAX_ATTEMPTS: u32 = 2;

type AnswerSender = async_channel::Sender<TokenAnswer>;

/// The open questions.
#[derive(Debug)]
pub struct PendingTokenRequests {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, AnswerSender>>,
}

/// A question that is open until this is dropped.
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
    /// Numbers begin anywhere: those of an earlier life of the node were answered already.
    fn default() -> Self {
        Self {
            next: AtomicU64::new(fastrand::u64(..)),
            waiting: Mutex::default(),
        }
    }
}

impl PendingTokenRequests {
    /// The number of the next question.
    pub fn next_number(&self) -> u64 {
        self.next.fetch_add(1, Ordering::Relaxed)
    }

    /// Asks a node; nothing when it does not answer in time.
    pub async fn ask(
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

    /// The answer to a question has come. One that nobody waits for any more is dropped.
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
