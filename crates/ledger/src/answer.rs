//! The answer of a request as numbered chunks, visible to callers once the witness has them.

use bytes::Bytes;

/// One piece of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// Number of tokens in the chunk; 0 in the answer of a plain service.
    pub tokens: u32,
    /// Content of the chunk.
    pub data: Bytes,
    /// Identifies the attempt that started the answer. Later attempts that resume the answer after
    /// its existing chunks keep the value.
    pub origin: u64,
}

impl Chunk {
    /// Creates a chunk received from a backend server, with an origin of 0; the request table sets
    /// the origin before it appends the chunk.
    pub fn new(tokens: u32, data: Bytes) -> Self {
        Self { tokens, data, origin: 0 }
    }
}

/// The chunks of an answer, numbered from 0 without gaps.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    chunks: Vec<Chunk>,
    /// Number of chunks that the witness has acknowledged.
    acknowledged: usize,
    /// Whether chunks are visible without an acknowledgement from a witness.
    unreplicated: bool,
    /// Size of all chunks in bytes.
    bytes: usize,
}

impl Answer {
    /// Appends the chunk with the given number; a chunk that is already present is ignored.
    ///
    /// Returns whether the chunk was appended. A chunk that would leave a gap is refused. A chunk
    /// of another origin is refused as well, unless its number is 0: then it replaces the answer.
    pub fn append(&mut self, number: usize, chunk: Chunk) -> bool {
        let other_origin = self.origin().is_some_and(|origin| origin != chunk.origin);
        if other_origin && number == 0 {
            *self = Self { unreplicated: self.unreplicated, ..Self::default() };
        } else if other_origin {
            return false;
        }
        if number != self.chunks.len() {
            return false;
        }
        self.bytes += chunk.data.len();
        self.chunks.push(chunk);
        true
    }

    /// Returns the origin of the chunks; `None` while there are none.
    pub fn origin(&self) -> Option<u64> {
        self.chunks.first().map(|chunk| chunk.origin)
    }

    /// Records that the witness has all chunks below `number`.
    pub fn acknowledge(&mut self, number: usize) {
        self.acknowledged = self.acknowledged.max(number.min(self.chunks.len()));
    }

    /// Sets whether chunks become visible without a witness, because none can be reached.
    pub fn set_unreplicated(&mut self, unreplicated: bool) {
        self.unreplicated = unreplicated;
    }

    /// Returns the number of chunks.
    pub fn len(&self) -> usize {
        self.chunks.len()
    }

    /// Returns whether there are no chunks.
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

    /// Returns the number of chunks that are visible to callers.
    pub fn visible_len(&self) -> usize {
        if self.unreplicated { self.chunks.len() } else { self.acknowledged }
    }

    /// Returns the chunks from number `from` that are visible to callers.
    pub fn visible_from(&self, from: usize) -> &[Chunk] {
        self.chunks.get(from..self.visible_len()).unwrap_or_default()
    }

    /// Returns all chunks from number `from`.
    pub fn all_from(&self, from: usize) -> &[Chunk] {
        self.chunks.get(from..).unwrap_or_default()
    }
}
