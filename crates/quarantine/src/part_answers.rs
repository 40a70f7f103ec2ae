//! Parts of prompts for which engines have fully answered requests.

use crate::answers::ANSWER_VALIDITY_MS;
use crate::subject::PartFingerprint;
use ploverlift_policy::ids::Millis;
use std::collections::HashMap;

/// Most parts in one generation, of 16 bytes each.
const MAX_PER_GENERATION: usize = 2_048;

/// The time of the last full answer to a request with each of the recently used parts. Once
/// the current generation is full, it replaces the previous one; a part in constant use is
/// always in the current one.
#[derive(Clone, Debug, Default)]
pub struct RecentPartAnswers {
    current: HashMap<PartFingerprint, Millis>,
    previous: HashMap<PartFingerprint, Millis>,
}

impl RecentPartAnswers {
    /// Records a full answer to a request with the part.
    pub fn note(&mut self, part: PartFingerprint, at: Millis) {
        let known = self.last(part).filter(|known| *known > at);
        if self.current.len() >= MAX_PER_GENERATION && !self.current.contains_key(&part) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(part, known.unwrap_or(at));
    }

    /// Whether a recent answer clears the part of an engine's end at `ended_at`. A later answer
    /// clears it as well: no request with a harmful part is ever answered.
    pub fn clear(&self, part: PartFingerprint, ended_at: Millis) -> bool {
        let answered = self.last(part);
        answered.is_some_and(|answered| ended_at.since(answered) < ANSWER_VALIDITY_MS)
    }

    /// The time of the last full answer.
    pub fn last(&self, part: PartFingerprint) -> Option<Millis> {
        let known = self.current.get(&part).or_else(|| self.previous.get(&part));
        known.copied()
    }

    /// Number of recorded parts.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether no part is recorded.
    pub fn is_empty(&self) -> bool {
        self.current.is_empty() && self.previous.is_empty()
    }
}
