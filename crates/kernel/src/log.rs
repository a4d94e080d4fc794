//! Structured logs: one JSON object a line.

use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;
use std::io::Write;

/// Lines kept for a slow reader of the log before more are dropped and counted.
const LOG_QUEUE_LINES: usize = 8192;

/// Writes the lines that wait when it is dropped: tasks keep loggers beyond the end of `main`.
#[must_use = "lines that wait are lost without it"]
pub struct LogGuard(#[allow(dead_code, reason = "its drop writes the lines")] AsyncGuard);

/// Creates a logger that writes JSON lines to the standard error stream.
pub fn logger(process: &str) -> (Logger, LogGuard) {
    logger_to(process, std::io::stderr())
}

/// Creates a logger that writes JSON lines to the given writer.
pub fn logger_to(process: &str, out: impl Write + Send + 'static) -> (Logger, LogGuard) {
    let json = slog_json::Json::new(out).add_default_keys().build().fuse();
    let (drain, guard) = slog_async::Async::new(json).chan_size(LOG_QUEUE_LINES).build_with_guard();
    (Logger::root(drain.fuse(), o!("process" => process.to_owned())), LogGuard(guard))
}
