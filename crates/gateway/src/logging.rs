//! JSON-line logs on standard output. Neither keys nor prompt text are logged.
//!
//! Lines wait in a bounded queue for their own thread; when it is full, lines
//! are dropped and their number is logged, so that logging never blocks.

use crate::settings::LogLevel;
use slog::{Drain, Level, Logger};

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 512;

impl From<LogLevel> for Level {
    fn from(level: LogLevel) -> Level {
        match level {
            LogLevel::Warning => Level::Warning,
            LogLevel::Info => Level::Info,
            LogLevel::Debug => Level::Debug,
        }
    }
}

/// A logger of a node that writes lines of JSON to standard output.
pub fn json_logger(node: &str, level: LogLevel) -> Logger {
    let json = slog_json::Json::new(std::io::stdout())
        .set_newlines(true)
        .set_flush(true)
        .add_default_keys()
        .build()
        .fuse();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(queued, level.into()).fuse();
    Logger::root(filtered, slog::o!("node" => node.to_owned()))
}

/// A logger that drops every line, for tests.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
