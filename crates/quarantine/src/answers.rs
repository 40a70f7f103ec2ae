//! Requests that engines have fully answered.

use crate::fingerprint::RequestFingerprint;
use ploverlift_policy::ids::Millis;
use std::collections::{HashMap, VecDeque};

/// Time after a full answer during which the end of an engine is no evidence against the
/// request, in milliseconds. A request that ends engines is never answered, whereas a
/// popular request is answered continuously.
pub(crate) const ANSWER_VALIDITY_MS: u64 = 60_000;
/// Number of latest answers that are kept, of 24 bytes each.
const MAX_ANSWERS: usize = 4_096;

/// The time of the last full answer of recent requests.
#[derive(Clone, Debug, Default)]
pub struct RecentAnswers {
    at: HashMap<RequestFingerprint, Millis>,
    order: VecDeque<RequestFingerprint>,
}

impl RecentAnswers {
    /// Records a full answer.
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

    /// Whether a recent answer clears the request of an engine's end at `ended_at`.
    pub fn clear(&self, request: RequestFingerprint, ended_at: Millis) -> bool {
        let answered = self.at.get(&request);
        answered.is_some_and(|answered| ended_at.since(*answered) < ANSWER_VALIDITY_MS)
    }
}
