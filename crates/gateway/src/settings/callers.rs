//! Settings for the connections of callers.

use super::checks::{one_or_more, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[callers]`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerSettings {
    /// Maximum number of open connections. Each running request needs a second file
    /// descriptor for its engine, and a process has about 4,100. At the limit idle
    /// connections are closed; further callers wait in the kernel's accept queue.
    pub max_connections: usize,
    /// Time after which a caller that reads no byte of its answer is disconnected, in
    /// milliseconds; twice the longest silence that callers themselves tolerate.
    pub stalled_ms: u64,
    /// Time after which a caller whose kernel acknowledges nothing is disconnected, in
    /// milliseconds; no shorter than the longest silence that a caller tolerates on a link
    /// that recovers.
    pub peer_timeout_ms: u64,
    /// Time after the start of the process during which requests wait for the configuration
    /// instead of being refused, in milliseconds. A node that gets the stored state from
    /// relays knows the configuration within 0.45 s.
    pub start_hold_ms: u64,
}

impl Default for CallerSettings {
    fn default() -> Self {
        Self {
            max_connections: 1_600,
            stalled_ms: 4_000,
            peer_timeout_ms: 30_000,
            start_hold_ms: 600,
        }
    }
}

impl CallerSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        one_or_more("callers.max_connections", self.max_connections as u64)?;
        one_or_more("callers.stalled_ms", self.stalled_ms)?;
        one_or_more("callers.peer_timeout_ms", self.peer_timeout_ms)
    }
}
