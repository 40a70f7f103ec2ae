//! Limits observed in answers of engines, and which of two observations is newer.

use ploverlift_balancing::names::EngineTag;
use ploverlift_policy::ids::Millis;

/// Longest time by which two answer heads may be reordered in transit, in milliseconds:
/// from the engine to two nodes, one of which is busy, and from there to the holder.
const MAX_REORDERING_MS: u64 = 200;

/// The limit that one answer advertised.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Observation {
    /// The engine.
    pub engine: EngineTag,
    /// The advertised rate, in requests a second; `None` if the answer named no limit.
    pub limit: Option<f64>,
    /// When the request was sent. The engine began to answer later.
    pub sent_at: Millis,
    /// When the head of the answer was read. The engine began to answer earlier.
    pub head_at: Millis,
}

/// The limit in force and the time of the newest answer that supports it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StandingLimit {
    /// The rate, in requests a second; `None` once the engine no longer advertises one.
    pub limit: Option<f64>,
    /// When the head of that answer was read.
    pub observed_at: Millis,
}

impl StandingLimit {
    /// Applies an observation. Returns whether the limit changed. A lower limit applies
    /// unless it is certainly older. A higher limit, or none, applies only once it is
    /// certainly newer: otherwise a reordered answer would lift the limit of an engine that
    /// still needs it.
    pub fn apply(&mut self, observed: &Observation) -> bool {
        if observed.limit == self.limit {
            self.observed_at = self.observed_at.max(observed.head_at);
            return false;
        }
        let is_newer = match is_lower(observed.limit, self.limit) {
            true => observed.head_at.plus(MAX_REORDERING_MS) >= self.observed_at,
            false => {
                let crossed = self.observed_at.plus(MAX_REORDERING_MS);
                observed.sent_at >= self.observed_at || observed.head_at >= crossed
            }
        };
        if is_newer {
            self.limit = observed.limit;
            self.observed_at = self.observed_at.max(observed.head_at);
        }
        is_newer
    }
}

fn is_lower(limit: Option<f64>, than: Option<f64>) -> bool {
    let rate = |limit: Option<f64>| limit.unwrap_or(f64::INFINITY);
    rate(limit) < rate(than)
}
