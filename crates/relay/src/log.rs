//! A bounded queue of log lines that a thread of its own writes.

use kernel::prelude::*;
use slog::Drain;
use std::io::Write;
use std::sync::{Mutex, PoisonError};

/// Bytes of log lines kept for a slow reader; ordinary lines are left out above half of it.
const QUEUE_BYTES: usize = 512 << 10;
/// Time between two writes.
const WRITE_EVERY: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Pending {
    lines: Vec<u8>,
    left_out: u64,
}

/// Lines that wait to be written.
#[derive(Clone, Default)]
pub struct LogQueue {
    pending: Arc<Mutex<Pending>>,
}

impl LogQueue {
    /// Writes what waits; called again and again by one thread, and once at the end.
    pub fn write_out(&self) {
        let mut taken = {
            let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *pending)
        };
        if taken.left_out > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"msg\":\"log lines left out\",\"count\":{}}}\n",
                taken.left_out
            );
            taken.lines.extend_from_slice(line.as_bytes());
        }
        // A reader that is gone reads no complaint either.
        let _ = std::io::stdout().write_all(&taken.lines);
    }

    fn push(&self, line: &[u8], is_ordinary: bool) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let room = if is_ordinary { QUEUE_BYTES / 2 } else { QUEUE_BYTES };
        if pending.lines.len() + line.len() > room {
            pending.left_out += 1;
        } else {
            pending.lines.extend_from_slice(line);
        }
    }
}

struct Queued(LogQueue);

impl Drain for Queued {
    type Ok = ();
    type Err = slog::Never;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Never> {
        let mut line = Vec::with_capacity(256);
        let written = {
            let json = slog_json::Json::new(&mut line)
                .add_key_value(slog::o!(
                    "ts" => slog::FnValue(|_| Clock::unix_ms()),
                    "level" => slog::FnValue(|record: &slog::Record<'_>| record.level().as_short_str()),
                    "msg" => slog::PushFnValue(|record: &slog::Record<'_>, ser: slog::PushFnValueSerializer<'_>| ser.emit(record.msg())),
                ))
                .build();
            json.log(record, values)
        };
        if written.is_ok() {
            self.0.push(&line, record.level() > slog::Level::Info);
        }
        Ok(())
    }
}

/// Creates a logger that never blocks, and starts the thread that writes its lines to standard
/// output.
pub fn queue(entry: &Name) -> (Logger, LogQueue) {
    let lines = LogQueue::default();
    let writer = lines.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_EVERY);
            writer.write_out();
        }
    });
    let log = Logger::root(Queued(lines.clone()), o!("entry" => entry.to_string()));
    (log, lines)
}
