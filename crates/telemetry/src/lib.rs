//! JSON Lines logs on standard output, for all programs of the project. API keys and prompt
//! text are never logged.
//!
//! A separate thread writes the lines from a bounded queue. When the queue is full, lines
//! are dropped and their number is logged, so that logging never blocks.

use slog::{Drain, Level, Logger, OwnedKV, SendSyncRefUnwindSafeKV};

/// Most lines in the queue of the logging thread.
const QUEUE_LINES: usize = 512;

/// Creates a logger that writes lines of JSON, each with the given fields, to standard output.
pub fn json_logger<F>(fields: OwnedKV<F>, level: Level) -> Logger
where
    F: SendSyncRefUnwindSafeKV + 'static,
{
    // The encoder writes each line in several parts. Without a buffer, other output of the
    // program could be interleaved with a line.
    let whole_lines = std::io::LineWriter::new(std::io::stdout());
    let json = slog_json::Json::new(whole_lines)
        .set_newlines(true)
        .set_flush(true)
        .add_default_keys()
        .build()
        // A write error, such as a closed pipe, must not end the logging thread.
        .ignore_res();
    let queued = slog_async::Async::new(json)
        .chan_size(QUEUE_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(queued, level).fuse();
    Logger::root(filtered, fields)
}

/// Creates a logger that writes each line to `output` immediately, for tests.
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

/// Creates a logger that drops every line, for tests and embedded use.
pub fn silent_logger() -> Logger {
    Logger::root(slog::Discard, slog::o!())
}
