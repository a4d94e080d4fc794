//! Splits the bytes of an event stream at the ends of its events.

use bytes::{Bytes, BytesMut};
use hyper::header::HeaderValue;

/// Maximum size of an event, in bytes. It equals that of a response that is read completely.
const MAX_EVENT_BYTES: usize = 4 << 20;

/// Splits a stream of bytes at the ends of its events, and finds what does not belong to the stream.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last_event_id: Option<Bytes>,
    /// Whether the buffer begins with a block that is no event of the stream.
    is_foreign: bool,
}

impl EventSplitter {
    /// Creates a splitter of a stream that goes on after the event with this ID, if any.
    pub fn after(last_event_id: Option<&HeaderValue>) -> Self {
        let last_event_id = last_event_id.map(|id| Bytes::copy_from_slice(id.as_bytes()));
        Self { last_event_id, ..Self::default() }
    }

    /// Adds bytes and returns the events that are complete now, up to a block that is none.
    pub fn push(&mut self, bytes: &[u8]) -> Bytes {
        let from = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        if self.is_foreign {
            return Bytes::new();
        }
        let last_end = self.buffer[from..].windows(2).rposition(|pair| pair == b"\n\n");
        let Some(at) = last_end else { return Bytes::new() };
        let end = from + at + 2;
        let mut whole = self.buffer.split_to(end).freeze();
        let valid = self.valid_len(&whole);
        self.is_foreign = valid < end;
        if self.is_foreign {
            let rest = std::mem::take(&mut self.buffer);
            self.buffer = BytesMut::from(&whole[valid..]);
            self.buffer.extend_from_slice(&rest);
            whole.truncate(valid);
        }
        whole
    }

    /// Returns the length of the blocks that are events of the stream, before the first one that is none. Their last ID
    /// is that of the last event.
    fn valid_len(&mut self, blocks: &Bytes) -> usize {
        let mut valid = 0;
        while let Some(len) = blocks[valid..].windows(2).position(|pair| pair == b"\n\n") {
            let block = blocks.slice(valid..valid + len);
            let id = event_id(&block);
            if !is_event(&block) || self.is_out_of_order(id) {
                break;
            }
            if let Some(id) = id {
                self.last_event_id = Some(block.slice_ref(id));
            }
            valid += len + 2;
        }
        valid
    }

    /// Whether an event with this ID does not follow the last one. IDs increase if they are numbers.
    fn is_out_of_order(&self, id: Option<&[u8]>) -> bool {
        let last = self.last_event_id.as_deref().and_then(number);
        matches!((last, id.and_then(number)), (Some(last), Some(id)) if id <= last)
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether bytes are buffered that were not returned.
    pub fn has_incomplete_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns why the buffered bytes will not become an event of the stream; `None` if they may.
    pub fn invalid(&self) -> Option<&'static str> {
        if self.is_foreign {
            Some("response contains what is no event of the stream")
        } else if self.buffer.len() > MAX_EVENT_BYTES {
            Some("event is larger than the limit")
        } else {
            None
        }
    }

    /// Returns the ID of the last complete event, or of that after which the stream goes on.
    pub fn last_event_id(&self) -> Option<HeaderValue> {
        self.last_event_id.as_ref().and_then(|id| HeaderValue::from_bytes(id).ok())
    }

    /// Discards what is buffered, as it will not be completed.
    pub fn discard_incomplete(&mut self) {
        self.buffer = BytesMut::new();
        self.is_foreign = false;
    }
}

fn lines(block: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    block.split(|byte| *byte == b'\n')
}

/// Whether a block has the form of an event or a comment, which the text or the head of an error lacks.
fn is_event(block: &[u8]) -> bool {
    const FIELDS: [&[u8]; 5] = [b"data:", b"id:", b"event:", b"retry:", b":"];
    block.is_empty() || lines(block).any(|line| FIELDS.iter().any(|field| line.starts_with(field)))
}

/// Returns the ID that a block states.
fn event_id(block: &[u8]) -> Option<&[u8]> {
    lines(block).rev().find_map(|line| line.strip_prefix(b"id:")).map(<[u8]>::trim_ascii)
}

fn number(id: &[u8]) -> Option<u64> {
    std::str::from_utf8(id).ok()?.parse().ok()
}
