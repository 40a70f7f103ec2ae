//! The evidence against one subject: engines that ended while running it.

use crate::fingerprint::RequestTag;
use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;
use std::collections::BTreeSet;

/// Engine ends within this time count once, in milliseconds, if each copy was sent before
/// the other engine ended. A power failure of a rack or a zone ends the engines of all
/// copies of a request at one moment, which no request causes.
const SAME_MOMENT_MS: u64 = 100;
/// Number of recorded ends; further ones add no evidence.
const MAX_ENDS: usize = 8;

/// Time for which an engine has streamed the answer after which its end is no evidence
/// against the request, in milliseconds. A request that ends engines does so early, whereas
/// a long answer is in flight whenever an engine ends for another reason.
const MIN_HEALTHY_STREAM_MS: u64 = 1_000;

/// Whether the end of an engine that had streamed the answer for `streamed_ms` milliseconds
/// is evidence against the request. The time is 0 if no event was received.
pub fn counts_as_evidence(streamed_ms: u64) -> bool {
    streamed_ms < MIN_HEALTHY_STREAM_MS
}

/// An engine that ended while running the subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineEnd {
    /// The engine.
    pub engine: EngineTag,
    /// When the request was sent to it.
    pub begun: Millis,
    /// When it ended.
    pub at: Millis,
    /// The request that ran there.
    pub request: RequestTag,
}

/// The ends of engines under one subject, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    ends: Vec<EngineEnd>,
}

impl Evidence {
    /// Records an end. Returns whether it was new.
    pub fn add(&mut self, end: EngineEnd) -> bool {
        let is_known = self.ends.iter().any(|known| known.engine == end.engine);
        if is_known || self.ends.len() >= MAX_ENDS {
            return false;
        }
        let later = self.ends.iter().position(|known| known.at > end.at);
        self.ends.insert(later.unwrap_or(self.ends.len()), end);
        true
    }

    /// Removes the ends up to the time of a full answer.
    pub fn clear_until(&mut self, answered_at: Millis) {
        self.ends.retain(|end| end.at > answered_at);
    }

    /// The ends, oldest first.
    pub fn ends(&self) -> &[EngineEnd] {
        &self.ends
    }

    /// Number of different requests under which engines ended.
    pub fn requests(&self) -> usize {
        let requests = self.ends.iter().map(|end| end.request);
        requests.collect::<BTreeSet<RequestTag>>().len()
    }

    /// Number of separate moments at which engines ended.
    pub fn moments(&self) -> usize {
        let mut moments = 0;
        let mut moment: Option<Millis> = None;
        for end in &self.ends {
            let is_another = moment
                .is_none_or(|moment| end.begun >= moment || end.at.since(moment) > SAME_MOMENT_MS);
            if is_another {
                moments += 1;
                moment = Some(end.at);
            }
        }
        moments
    }
}
