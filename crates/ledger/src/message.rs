//! What owner and witness tell each other, and how a request ends.

use crate::Chunk;
use bytes::Bytes;
use kernel::{Code, Failure, Key, Name, NodeId};

/// What a caller asked for; it never changes once accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSpec {
    /// Identity of the request.
    pub key: Key,
    /// Service it goes to.
    pub service: Name,
    /// Path below the service, for plain services.
    pub path: Name,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Digest of service, path and body, to tell another request under the same key.
    pub digest: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Milliseconds that were left until its deadline when this copy was sent.
    pub left_ms: u64,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer is whole.
    Answered,
    /// It did not run and nobody can run it any more.
    NotRun(Code),
    /// It was not accepted; nothing is known about earlier attempts.
    Rejected(Code),
    /// It may have run.
    Unknown(Code),
    /// Another entry has it.
    Follow(NodeId),
}

impl Ending {
    /// Returns what a caller is told that only reads: a round that did not run may have been
    /// followed by another elsewhere.
    pub fn for_reader(self) -> Self {
        match self {
            Self::NotRun(code) => Self::Rejected(code),
            other => other,
        }
    }
}

/// Where the right to dispatch comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Right {
    /// Nobody gave it.
    None,
    /// The witness granted it and will never take over.
    Granted,
    /// The claim in the key-value service was won.
    Claimed,
}

/// The witness's answer to the offer of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldReply {
    /// It holds the record.
    Held,
    /// It has taken the request over, or gave it to the entry named.
    Taken(NodeId),
    /// It cannot tell yet who has the request.
    Undecided,
    /// It holds another body under the same key.
    OtherBody,
    /// It is another run than the one addressed, and knows nothing.
    OtherRun,
}

/// The witness's answer to the request for the dispatch right.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskReply {
    /// The owner may dispatch; the witness never will.
    Granted,
    /// It has taken the request over, or gave it to the entry named.
    Taken(NodeId),
    /// It cannot tell yet who has the request.
    Undecided,
    /// It holds no such record in this round, or is another run.
    NotHeld,
}

/// The witness's answer to a request to void a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoidReply {
    /// It will not take this round over.
    Voided,
    /// It has taken the request over, or gave it to the entry named.
    Taken(NodeId),
    /// It cannot tell yet who has the request, or is another run.
    Undecided,
}

/// A message from one entry to another about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Hold a copy of a record.
    Hold {
        /// The record.
        terms: RequestSpec,
        /// Counts the times that a caller sent it again after it was not run.
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
        /// Round of the owner.
        round: u64,
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
        terms: RequestSpec,
        /// Its owner until now.
        owner: NodeId,
        /// Round of the owner.
        round: u64,
        /// Right of the leaving owner.
        right: Right,
        /// The answer so far.
        chunks: Vec<Chunk>,
    },
    /// Take a caller's request on.
    Submit {
        /// What the caller asked for.
        terms: RequestSpec,
        /// The round that it may begin; a round that is over stays over.
        round: u64,
        /// Whether the sender could not reach the owner.
        owner_silent: bool,
    },
}

/// The answer to a [`Message`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageReply {
    /// Done, nothing to say.
    Done,
    /// It failed.
    Failure(Failure),
    /// To [`Message::Hold`].
    Hold(HoldReply),
    /// To [`Message::Ask`].
    Ask(AskReply),
    /// To [`Message::Void`].
    Void(VoidReply),
    /// To [`Message::Progress`]: chunks that the witness holds.
    Have(usize),
    /// To [`Message::Progress`]: this entry has taken the request over.
    Taken(NodeId),
    /// To [`Message::Submit`]: this round is over, and nothing ran in it.
    Over(u64),
}
