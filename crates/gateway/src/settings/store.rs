//! Settings of the object store.

use super::checks::{one_or_more, InvalidValue};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// `[store]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Where it listens.
    pub address: SocketAddr,
    /// Longest wait for an answer beyond what a call asks for, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// How long a watch of the configuration waits, in milliseconds. Its answer
    /// is the proof that the configuration is the newest.
    #[serde(default = "default_configuration_watch_ms")]
    pub configuration_watch_ms: u64,
    /// How long other watches wait, in milliseconds.
    #[serde(default = "default_other_watch_ms")]
    pub other_watch_ms: u64,
    /// How often engines write their records, in milliseconds; 0 where it is not known, and
    /// then any failed call counts as an outage in which records may lapse. The record of
    /// an engine that is silent for three times that lapses. Read at the start.
    #[serde(default)]
    pub engine_heartbeat_ms: u64,
}

impl StoreSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        one_or_more("store.timeout_ms", self.timeout_ms)?;
        one_or_more("store.configuration_watch_ms", self.configuration_watch_ms)?;
        one_or_more("store.other_watch_ms", self.other_watch_ms)
    }
}

/// A call takes 4 ms on a well store; a slow one answers within a second.
fn default_timeout_ms() -> u64 {
    1_000
}

/// A third of the shortest bound on revoked keys known (5 s).
fn default_configuration_watch_ms() -> u64 {
    1_500
}

/// Under the longest wait that a store grants (30 s).
fn default_other_watch_ms() -> u64 {
    20_000
}
