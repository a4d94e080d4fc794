//! Bounded queue of log lines, written to standard output by a dedicated thread.

use kernel::prelude::*;
use slog::Drain;
use std::io::Write;
use std::sync::{Mutex, PoisonError};

/// Maximum size of the queue, in bytes. Lines below level INFO are dropped above half of it.
const QUEUE_BYTES: usize = 512 << 10;
/// Interval between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Default)]
struct Pending {
    lines: Vec<u8>,
    dropped: u64,
}

/// Queue of the lines that wait to be written.
#[derive(Clone, Default)]
pub struct LogQueue {
    pending: Arc<Mutex<Pending>>,
}

impl LogQueue {
    /// Writes the queued lines. The writer thread calls this periodically, and the process once
    /// before it exits.
    pub fn write_out(&self) {
        let mut taken = {
            let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *pending)
        };
        if taken.dropped > 0 {
            let line = format!(
                "{{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":{}}}\n",
                taken.dropped
            );
            taken.lines.extend_from_slice(line.as_bytes());
        }
        // There is nowhere to report a failed write to standard output.
        let _ = std::io::stdout().write_all(&taken.lines);
    }

    fn push(&self, line: &[u8], is_low_priority: bool) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let limit = if is_low_priority { QUEUE_BYTES / 2 } else { QUEUE_BYTES };
        if pending.lines.len() + line.len() > limit {
            pending.dropped += 1;
        } else {
            pending.lines.extend_from_slice(line);
        }
    }
}

/// Formats records as JSON lines and queues them.
struct QueueDrain(LogQueue);

impl Drain for QueueDrain {
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

/// Creates a logger that never blocks, and starts the thread that writes its lines.
pub fn queue(entry: &Name) -> (Logger, LogQueue) {
    let queue = LogQueue::default();
    let writer = queue.clone();
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(WRITE_INTERVAL);
            writer.write_out();
        }
    });
    let log = Logger::root(QueueDrain(queue.clone()), o!("entry" => entry.to_string()));
    (log, queue)
}
