//! The requests and replies between entries, as plain types.

use arcstr::ArcStr;
use kernel::{Failure, Key, NodeId};
use ledger::{AskReply, Chunk, Ending, HoldReply, Right, Terms, VoidReply};
use member::Message;
use std::future::Future;
use std::pin::Pin;

/// A request that a caller sent to an entry which is not its home.
#[derive(Clone, Debug)]
pub struct Submit {
    /// What the caller asked for.
    pub terms: Terms,
    /// Whether the sender could not reach the owner.
    pub owner_silent: bool,
}

/// A message from one entry to another.
#[derive(Clone, Debug)]
pub enum Request {
    /// Membership news.
    Gossip(Message),
    /// Hold a copy of a record.
    Hold {
        /// The record.
        terms: Terms,
        /// Counts the times it was sent again after it was voided.
        round: u64,
        /// Its owner.
        owner: NodeId,
    },
    /// Grant the dispatch right.
    Ask {
        /// Identity of the request.
        key: Key,
        /// Round of the owner.
        round: u64,
    },
    /// Void a record.
    Void {
        /// Identity of the request.
        key: Key,
        /// Round of the owner.
        round: u64,
    },
    /// Hold these chunks of the answer, and the ending if there is one.
    Progress {
        /// Identity of the request.
        key: Key,
        /// Number of the first chunk.
        from: usize,
        /// The chunks.
        chunks: Vec<Chunk>,
        /// How it ended, once it has.
        ending: Option<Ending>,
    },
    /// Take the record over from a leaving owner.
    HandOver {
        /// The record.
        terms: Terms,
        /// Right of the leaving owner.
        right: Right,
        /// The answer so far.
        chunks: Vec<Chunk>,
    },
    /// Take a caller's request on.
    Submit(Submit),
    /// Read the answer from a chunk on; waits a while for the next one.
    Read {
        /// Identity of the request.
        key: Key,
        /// Number of the first chunk wanted.
        from: usize,
        /// Milliseconds to wait for a chunk or the ending.
        wait_ms: u64,
        /// Whether the sender could not reach the owner.
        owner_silent: bool,
    },
    /// Send the configuration in force.
    Configuration,
}

/// Part of an answer.
#[derive(Clone, Debug, Default)]
pub struct ReadReply {
    /// Number of the first chunk.
    pub from: usize,
    /// Chunks from there.
    pub chunks: Vec<Chunk>,
    /// How it ended, if these are the last chunks.
    pub ending: Option<Ending>,
}

/// The answer to a [`Request`].
#[derive(Clone, Debug)]
pub enum Reply {
    /// Done, nothing to say.
    Done,
    /// It failed.
    Failure(Failure),
    /// To [`Request::Gossip`].
    Gossip(Message),
    /// To [`Request::Hold`].
    Hold(HoldReply),
    /// To [`Request::Ask`].
    Ask(AskReply),
    /// To [`Request::Void`].
    Void(VoidReply),
    /// To [`Request::Progress`]: chunks that the witness holds.
    Have(usize),
    /// To [`Request::Read`].
    Read(ReadReply),
    /// To [`Request::Configuration`].
    Configuration {
        /// JSON of the head.
        head: ArcStr,
        /// Merged INI text.
        body: ArcStr,
    },
}

/// Answers the requests of other entries.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>>;

    /// Tells whether a message to this run is meant for this process.
    fn is_me(&self, to: &NodeId) -> bool;
}
