//! Schedules the retries of rejected callers one after another at the rate of the tokens,
//! instead of all of them for the next token.

use ploverlift_policy::ids::Millis;

/// Longest time until a caller may retry, in milliseconds. Most limits end sooner.
const MAX_RETRY_MS: u64 = 5_000;

/// The retry times that a node gives to rejected callers.
#[derive(Clone, Copy, Debug, Default)]
pub struct RetrySchedule {
    last: Millis,
}

impl RetrySchedule {
    /// Time until the next caller may retry, in milliseconds. The next token is available
    /// after `token_ms`, and this node gets one every `turn_ms`.
    pub fn next_ms(&mut self, token_ms: u64, turn_ms: u64, now: Millis) -> u64 {
        let earliest = now.plus(token_ms);
        let latest = now.plus(MAX_RETRY_MS);
        let turn = self.last.plus(turn_ms);
        // Beyond the longest time the schedule starts over; otherwise all further callers
        // would retry at its end.
        self.last = match turn > latest {
            true => earliest,
            false => turn.max(earliest),
        };
        self.last.since(now)
    }
}
