//! Lines of the log are written before the process ends.

use slog::info;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// A writer that takes its time.
#[derive(Clone, Default)]
struct Slow(Arc<Mutex<Vec<u8>>>);

impl Write for Slow {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_micros(200));
        self.0.lock().expect("nobody panics").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn lines_that_wait_are_written_when_the_guard_goes_though_loggers_remain() {
    let out = Slow::default();
    let (log, guard) = kernel::logger_to("test", out.clone());
    let kept = log.clone();
    for number in 0..50 {
        info!(log, "line"; "number" => number);
    }
    drop(guard);
    let text = String::from_utf8(out.0.lock().expect("nobody panics").clone()).expect("text");
    assert_eq!(text.lines().count(), 50);
    drop(kept);
}
