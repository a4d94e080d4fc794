//! Buffered log lines are written before the process exits.

use slog::info;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A writer that delays each write.
#[derive(Clone, Default)]
struct SlowWriter(Arc<Mutex<Vec<u8>>>);

impl Write for SlowWriter {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_micros(200));
        self.0.lock().expect("the lock is not poisoned").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn dropping_the_guard_writes_buffered_lines_while_loggers_exist() {
    let out = SlowWriter::default();
    let (log, guard) = kernel::logger_to("test", out.clone());
    let remaining_logger = log.clone();
    for number in 0..50 {
        info!(log, "line"; "number" => number);
    }
    drop(guard);
    let text = String::from_utf8(out.0.lock().expect("the lock is not poisoned").clone())
        .expect("the output is UTF-8");
    assert_eq!(text.lines().count(), 50);
    drop(remaining_logger);
}
