//! What speaks against one request: engines that ended while they ran it.

use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;

/// Ends within this time count once, in milliseconds, where each copy was sent before the
/// other engine ended. A rack or a zone that goes dark takes the engines of all copies of a
/// request at one moment, and no request did that.
const SAME_MOMENT_MS: u64 = 100;
/// Ends that are remembered: more prove nothing more.
const MAX_ENDS: usize = 8;

/// Time for which an engine streamed the answer after which its end says nothing of the
/// request, in milliseconds: one that ends engines does so when they begin it, and a long
/// answer is under way at each end that comes about for other reasons.
const MIN_HEALTHY_STREAM_MS: u64 = 1_000;

/// Whether the end of an engine that had streamed the answer for so long, in milliseconds,
/// speaks against the request. Without an event that time is 0.
pub fn counts_as_evidence(streamed_ms: u64) -> bool {
    streamed_ms < MIN_HEALTHY_STREAM_MS
}

/// An engine that ended while it ran the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineEnd {
    /// The engine.
    pub engine: EngineTag,
    /// When the request was sent there.
    pub begun: Millis,
    /// When it ended.
    pub at: Millis,
}

/// The ends of engines under one request, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    ends: Vec<EngineEnd>,
}

impl Evidence {
    /// Takes in an end; tells whether it was news.
    pub fn add(&mut self, end: EngineEnd) -> bool {
        let is_known = self.ends.iter().any(|known| known.engine == end.engine);
        if is_known || self.ends.len() >= MAX_ENDS {
            return false;
        }
        let later = self.ends.iter().position(|known| known.at > end.at);
        self.ends.insert(later.unwrap_or(self.ends.len()), end);
        true
    }

    /// Forgets what came before a whole answer.
    pub fn clear_until(&mut self, answered_at: Millis) {
        self.ends.retain(|end| end.at > answered_at);
    }

    /// The ends, oldest first.
    pub fn ends(&self) -> &[EngineEnd] {
        &self.ends
    }

    /// Moments at which engines ended.
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
