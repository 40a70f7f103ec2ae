//! The gateway's logger: one JSON line on standard output for each decision that affects
//! a request or changes the node's view of the site.

use crate::settings::LogLevel;
use slog::{Level, Logger};

pub use ploverlift_telemetry::silent_logger;

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Level {
        match level {
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}

/// A JSON logger whose lines carry the name of the node.
pub fn json_logger(node: &str, level: LogLevel) -> Logger {
    ploverlift_telemetry::json_logger(slog::o!("node" => node.to_owned()), level.into())
}
