//! What an answer said of its engine's limit, and which of two answers is the newer one.

use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;

/// Time by which two heads of answers may cross on their way, in milliseconds: from the
/// engine to two nodes, one of which is busy, and from there to the holder.
const MAX_REORDERING_MS: u64 = 200;

/// What one answer said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine: EngineTag,
    /// The rate that it takes, in requests a second; nothing where it named none.
    pub limit: Option<f64>,
    /// When the request was sent: the engine began to answer later.
    pub sent_at: Millis,
    /// When the head of the answer was read: the engine began to answer earlier.
    pub head_at: Millis,
}

/// The limit in force, and the newest answer that it rests on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StandingLimit {
    /// The rate, in requests a second; nothing once the engine names none any more.
    pub limit: Option<f64>,
    /// When the head of that answer was read.
    pub observed_at: Millis,
}

impl StandingLimit {
    /// Takes in an answer; tells whether another limit is in force now. A lower one counts
    /// unless it is older; a higher one, or none, once it is certain to be the newer: else
    /// an answer that was overtaken would open an engine that needs rest.
    pub fn take(&mut self, seen: &Observation) -> bool {
        if seen.limit == self.limit {
            self.observed_at = self.observed_at.max(seen.head_at);
            return false;
        }
        let is_newer = match is_lower(seen.limit, self.limit) {
            true => seen.head_at.plus(MAX_REORDERING_MS) >= self.observed_at,
            false => {
                let crossed = self.observed_at.plus(MAX_REORDERING_MS);
                seen.sent_at >= self.observed_at || seen.head_at >= crossed
            }
        };
        if is_newer {
            self.limit = seen.limit;
            self.observed_at = self.observed_at.max(seen.head_at);
        }
        is_newer
    }
}

fn is_lower(limit: Option<f64>, than: Option<f64>) -> bool {
    let rate = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
    rate(limit) < rate(than)
}
