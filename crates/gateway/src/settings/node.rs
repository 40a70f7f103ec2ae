//! Settings for this node.

use super::checks::{not_empty, not_negative, InvalidValue};
use serde::{Deserialize, Serialize};

/// `[node]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique within the site and stable across restarts.
    pub name: String,
    /// Zone, by the name that engines in it use.
    pub zone: String,
    /// Its share of the processors, in cores. The largest nodes of a zone are its relays.
    #[serde(default)]
    pub cpu_cores: f64,
    /// Bandwidth of its network link, in megabits per second.
    #[serde(default)]
    pub link_mbps: f64,
    /// Memory that the process may use, in megabytes; 0 means all memory of the machine. Read
    /// once, at the start.
    #[serde(default)]
    pub memory_mb: f64,
    /// Whether all nodes of the site are starting for the first time; they then wait until
    /// they have discovered each other.
    #[serde(default)]
    pub is_first_start: bool,
}

impl NodeSettings {
    pub(super) fn check(&self) -> Result<(), InvalidValue> {
        not_empty("node.name", &self.name)?;
        not_empty("node.zone", &self.zone)?;
        not_negative("node.cpu_cores", self.cpu_cores)?;
        not_negative("node.link_mbps", self.link_mbps)?;
        not_negative("node.memory_mb", self.memory_mb)
    }
}
