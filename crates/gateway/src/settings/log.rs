//! Settings for the log.

use serde::{Deserialize, Serialize};

/// Least severe level that is logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Events that an operator must act on.
    Warning,
    /// Also decisions of the gateway.
    #[default]
    Info,
    /// All log lines.
    Debug,
}

/// `[log]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Maximum number of log lines per second for successful requests; those beyond are only
    /// counted.
    pub successes_per_second: u32,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: LogLevel::Info,
            successes_per_second: 20,
        }
    }
}
