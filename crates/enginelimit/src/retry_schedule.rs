//! When callers that were rejected may come back: one after another, as fast as tokens come,
//! and not all at the next one.

use ploverlift_policy::ids::Millis;

/// Longest time until a caller may come back, in milliseconds. Limits mostly end before.
const MAX_RETRY_MS: u64 = 5_000;

/// The moments at which a node's rejected callers may come back.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    last: Millis,
}

impl RetrySchedule {
    /// The time until the next caller may come back, in milliseconds, where the next token
    /// comes after `token_ms`, and this node's turn each `turn_ms`.
    pub fn next_ms(&mut self, token_ms: u64, turn_ms: u64, now: Millis) -> u64 {
        let earliest = now.plus(token_ms);
        let latest = now.plus(MAX_RETRY_MS);
        let turn = self.last.plus(turn_ms);
        // Beyond the longest time turns begin anew, or all would come at its end.
        self.last = match turn > latest {
            true => earliest,
            false => turn.max(earliest),
        };
        self.last.since(now)
    }
}
