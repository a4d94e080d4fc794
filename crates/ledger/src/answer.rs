//! The answer of a request as numbered chunks, shown only once the witness holds them.

use bytes::Bytes;

/// One piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Number of tokens in it; 0 for a piece of a plain answer.
    pub tokens: u32,
    /// The piece itself.
    pub data: Bytes,
}

/// The chunks of an answer, numbered from 0 without gaps.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    chunks: Vec<Chunk>,
    witnessed: usize,
    alone: bool,
    bytes: usize,
}

impl Answer {
    /// Appends the chunk with the given number; a chunk that is here already is passed over.
    ///
    /// Returns whether the chunk was new. A chunk that would leave a gap is refused.
    pub fn append(&mut self, number: usize, chunk: Chunk) -> bool {
        if number != self.chunks.len() {
            return false;
        }
        self.bytes += chunk.data.len();
        self.chunks.push(chunk);
        true
    }

    /// Notes that the witness holds all chunks below `number`.
    pub fn witnessed(&mut self, number: usize) {
        self.witnessed = self.witnessed.max(number.min(self.chunks.len()));
    }

    /// Shows chunks without waiting for a witness, because there is none to reach.
    pub fn set_alone(&mut self, alone: bool) {
        self.alone = alone;
    }

    /// Returns the number of chunks.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Tells whether there are no chunks.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Returns the size of all chunks in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of tokens in all chunks.
    pub fn tokens(&self) -> u64 {
        self.chunks.iter().map(|chunk| u64::from(chunk.tokens)).sum()
    }

    /// Returns how many chunks may be shown to a caller.
    pub fn shown(&self) -> usize {
        if self.alone { self.chunks.len() } else { self.witnessed }
    }

    /// Returns the chunks from `from` that may be shown to a caller.
    pub fn visible_from(&self, from: usize) -> &[Chunk] {
        self.chunks.get(from..self.shown()).unwrap_or_default()
    }

    /// Returns all chunks from `from`.
    pub fn all_from(&self, from: usize) -> &[Chunk] {
        self.chunks.get(from..).unwrap_or_default()
    }
}
