//! Structured logging with one JSON object per line.

use slog::{Drain, Logger, o};
use slog_async::AsyncGuard;
use std::io::Write;

/// Maximum number of lines buffered for a slow reader of the log; further lines are dropped and
/// counted.
const LOG_QUEUE_LINES: usize = 8192;

/// Writes the buffered lines when it is dropped. Dropping the loggers is not sufficient, since
/// tasks hold clones of them beyond the end of `main`.
#[must_use = "buffered lines are lost if the guard is dropped early"]
pub struct LogGuard(
    #[allow(dead_code, reason = "held because its destructor writes the buffered lines")]
    AsyncGuard,
);

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
