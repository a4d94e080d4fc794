//! Structured logs: one JSON object a line.

use slog::{Drain, Logger, o};
use std::io::Write;

/// Lines kept for a slow reader of the log before more are dropped and counted.
const LOG_QUEUE_LINES: usize = 8192;

/// Creates a logger that writes JSON lines to the standard error stream.
pub fn logger(process: &str) -> Logger {
    logger_to(process, std::io::stderr())
}

/// Creates a logger that writes JSON lines to the given writer.
pub fn logger_to(process: &str, out: impl Write + Send + 'static) -> Logger {
    let json = slog_json::Json::new(out).add_default_keys().build().fuse();
    let drain = slog_async::Async::new(json).chan_size(LOG_QUEUE_LINES).build().fuse();
    Logger::root(drain, o!("process" => process.to_owned()))
}
