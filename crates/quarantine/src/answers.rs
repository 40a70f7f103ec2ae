//! Requests that engines have answered whole.

use crate::fingerprint::RequestFingerprint;
use ploverlift_policy::ids::Millis;
use std::collections::{HashMap, VecDeque};

/// Time after a whole answer in which an engine's end says nothing of the request, in
/// milliseconds: a request that ends engines has no answer at all, and one that many ask
/// for has one every moment.
const ANSWER_VALIDITY_MS: u64 = 60_000;
/// Answers that are remembered: 24 bytes each, the latest ones.
const MAX_ANSWERS: usize = 4_096;

/// When which requests were answered last.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    at: HashMap<RequestFingerprint, Millis>,
    order: VecDeque<RequestFingerprint>,
}

impl RecentAnswers {
    /// A whole answer came.
    pub fn note(&mut self, request: RequestFingerprint, at: Millis) {
        let known = self.at.insert(request, at);
        match known {
            Some(before) if before > at => {
                self.at.insert(request, before);
            }
            Some(_) => {}
            None => self.order.push_back(request),
        }
        if self.order.len() > MAX_ANSWERS {
            if let Some(oldest) = self.order.pop_front() {
                self.at.remove(&oldest);
            }
        }
    }

    /// Whether an answer speaks for the request when an engine ended at `ended_at`.
    pub fn clear(&self, request: RequestFingerprint, ended_at: Millis) -> bool {
        let answered = self.at.get(&request);
        answered.is_some_and(|answered| ended_at.since(*answered) < ANSWER_VALIDITY_MS)
    }
}
