//! Splits the bytes of an event stream at the ends of its events.

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;

/// Maximum size of an event, in bytes. It equals that of a response that is read completely.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Splits a stream of bytes at the ends of its events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_event_id: Option<Bytes>,
}

impl EventSplitter {
    /// Adds bytes and returns the events that are complete now.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let from = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let last_end = self.buffer[from..].windows(2).rposition(|pair| pair == b"\n\n");
        let Some(at) = last_end else { return Bytes::new() };
        let complete = self.buffer.split_to(from + at + 2).freeze();
        let mut ids =
            complete.split(|byte| *byte == b'\n').filter_map(|line| line.strip_prefix(b"id:"));
        if let Some(id) = ids.next_back() {
            self.last_event_id = Some(complete.slice_ref(id.trim_ascii()));
        }
        complete
    }

    /// Whether part of an event is buffered.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Whether the buffered part of an event is larger than any valid event.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns the ID of the last complete event.
    pub fn last_event_id(&self) -> Option<HeaderValue> {
        self.last_event_id.as_ref().and_then(|id| HeaderValue::from_bytes(id).ok())
    }

    /// Discards the buffered part of an event that will not be completed.
    pub fn discard_incomplete(&mut self) {
        self.buffer.clear();
    }
}
