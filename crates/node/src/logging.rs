//! The node's logger: JSON lines on standard output.

use crate::settings::LogLevel;
use slog::{Level, Logger};

pub use ploverlift_telemetry::silent_logger;

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Level {
        match level {
            LogLevel::Error => Level::Error,
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}

/// A logger of a node.
pub fn json_logger(node: &str, zone: &str, level: LogLevel) -> Logger {
    let fields = slog::o!("node" => node.to_owned(), "zone" => zone.to_owned());
    ploverlift_telemetry::json_logger(fields, level.into())
}
