//! JSON-line logs on standard output, for every program of the project. Neither
//! keys nor prompt text are logged.
//!
//! Lines wait in a bounded queue for their own thread; when it is full, lines
//! are dropped and their number is logged, so that logging never blocks.

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};

/// Lines that may wait for the writer.
const QUEUE_LINES: usize = 512;

/// A logger that writes lines of JSON, each with these fields, to standard output.
pub fn json_logger<F>(fields: OwnedKV<F>, level: Level) -> Logger
where
    F: SendSyncRefUnwindSafeKV + 'static,
{
    // The encoder writes a line in pieces; without a buffer of its own, another
    // line of the program could come to stand in the middle of it.
    let whole_lines = std::io::LineWriter::new(std::io::stdout());
    let json = slog_json::Json::new(whole_lines)
        .set_newlines(true)
        .set_flush(true)
        .add_default_keys()
        .build()
        // A reader of the log that is gone must not end the logging thread.
        .ignore_res();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, fields)
}

/// A logger that writes each line at once to `output`, for tests.
pub fn json_logger_to<W, F>(output: W, fields: OwnedKV<F>) -> Logger
where
    W: std::io::Write + Send + 'static,
    F: SendSyncRefUnwindSafeKV + 'static,
{
    let json = slog_json::Json::new(output)
        .set_newlines(true)
        .add_default_keys()
        .build();
    Logger::root(std::sync::Mutex::new(json).fuse(), fields)
}

/// A logger that drops every line, for tests and embedded use.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
