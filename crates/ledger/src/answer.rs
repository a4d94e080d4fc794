//! The answer of a request as numbered chunks, shown only once the witness holds them.

use bytes::Bytes;

/// One piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Number of tokens in it; 0 for a piece of a plain answer.
    pub tokens: u32,
    /// The piece itself.
    pub data: Bytes,
    /// Names the run that the answer began with; a run that goes on from its chunks keeps it.
    pub origin: u64,
}

impl Chunk {
    /// Creates a chunk as it came from a backend server.
    pub fn new(tokens: u32, data: Bytes) -> Self {
        Self { tokens, data, origin: 0 }
    }
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
    /// Returns whether the chunk was new. A chunk that would leave a gap is refused, and so is one of
    /// another origin, unless it begins the answer anew.
    pub fn append(&mut self, number: usize, chunk: Chunk) -> bool {
        let other = self.origin().is_some_and(|origin| origin != chunk.origin);
        if other && number == 0 {
            *self = Self { alone: self.alone, ..Self::default() };
        } else if other {
            return false;
        }
        if number != self.chunks.len() {
            return false;
        }
        self.bytes += chunk.data.len();
        self.chunks.push(chunk);
        true
    }

    /// Returns the origin of its chunks, if there are any.
    pub fn origin(&self) -> Option<u64> {
        self.chunks.first().map(|chunk| chunk.origin)
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
