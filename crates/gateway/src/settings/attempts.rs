//! Settings for attempts at engines.

use super::checks::{one_or_more, over_zero, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[attempts]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AttemptSettings {
    /// Longest wait for a connection to an engine, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time without an answer after which another engine is tried for a repeatable request,
    /// beside the silent one, as a multiple of the route's objective.
    pub timeout_objectives: f64,
    /// Time without an event after which another engine is tried for a stream, beside the
    /// silent one, in milliseconds.
    pub stream_silence_ms: u64,
    /// Retry time sent to refused callers when there is no better estimate, in milliseconds.
    pub retry_after_ms: u64,
    /// Retries that a node with few requests may make within the window of the retry budget.
    pub retry_reserve: f64,
    /// Longest time for which an idle connection to an engine is reused, in milliseconds; 0
    /// opens a new connection for each request.
    pub keep_connection_ms: u64,
}

impl Default for AttemptSettings {
    fn default() -> Self {
        Self {
            connect_timeout_ms: 250,
            timeout_objectives: 2.0,
            stream_silence_ms: 1_500,
            retry_after_ms: 200,
            retry_reserve: 2.0,
            keep_connection_ms: 2_000,
        }
    }
}

impl AttemptSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        one_or_more("attempts.connect_timeout_ms", self.connect_timeout_ms)?;
        one_or_more("attempts.stream_silence_ms", self.stream_silence_ms)?;
        over_zero("attempts.timeout_objectives", self.timeout_objectives)
    }
}
