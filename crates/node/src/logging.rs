//! JSON-line logs on standard error. Neither keys nor prompt text are logged.

use crate::settings::LogLevel;
use slog::{Drain, Level, Logger};

/// Log lines that may wait for the writer before lines are dropped and counted.
const LOG_QUEUE: usize = 4_096;

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

/// A logger that writes lines of JSON to standard error from its own thread.
pub fn json_logger(node: &str, zone: &str, level: LogLevel) -> Logger {
    let json = slog_json::Json::new(std::io::stderr())
        .set_newlines(true)
        .add_default_keys()
        .build()
        .fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(LOG_QUEUE)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(queued, level.into()).fuse();
    let fields = slog::o!("node" => node.to_owned(), "zone" => zone.to_owned());
    Logger::root(filtered, fields)
}

/// A logger that drops every line, for tests and embedded use.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
