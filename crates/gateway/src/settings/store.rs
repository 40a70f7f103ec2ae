//! Settings for the object store.

use super::checks::{one_or_more, InvalidValue};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// `[store]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Longest wait for an answer beyond the wait that the call itself requests, in
    /// milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Longest wait of a watch of the configuration, in milliseconds. Its answer proves that
    /// the configuration is the newest.
    #[serde(default = "default_configuration_watch_ms")]
    pub configuration_watch_ms: u64,
    /// Longest wait of other watches, in milliseconds.
    #[serde(default = "default_other_watch_ms")]
    pub other_watch_ms: u64,
    /// Period at which engines write their records, in milliseconds. The record of an engine
    /// that is silent for three periods expires. With 0, for an unknown period, any failed
    /// call counts as an outage in which records may expire. Read only at the start.
    #[serde(default)]
    pub engine_heartbeat_ms: u64,
    /// Number of writing calls that the store accepts a second from all nodes together. The
    /// sources of running streams are written with a fifth of them at most.
    #[serde(default = "default_writes_per_second")]
    pub writes_per_second: u64,
}

impl StoreSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        one_or_more("store.timeout_ms", self.timeout_ms)?;
        one_or_more("store.configuration_watch_ms", self.configuration_watch_ms)?;
        one_or_more("store.other_watch_ms", self.other_watch_ms)?;
        one_or_more("store.writes_per_second", self.writes_per_second)
    }
}

/// A healthy store answers a call in 4 ms, a slow one within a second.
fn default_timeout_ms() -> u64 {
    1_000
}

/// Under a third of the shortest known bound on revoked keys (5 s).
fn default_configuration_watch_ms() -> u64 {
    1_500
}

/// A common limit of stores.
fn default_writes_per_second() -> u64 {
    400
}

/// Less than the longest wait that a store allows (30 s).
fn default_other_watch_ms() -> u64 {
    20_000
}
