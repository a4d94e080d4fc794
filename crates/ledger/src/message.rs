//! Messages between the owner and the witness, and the ending of a request.

use crate::Chunk;
use bytes::Bytes;
use kernel::{Code, Failure, Key, Name, NodeId};

/// Specification of a request; immutable once the request is accepted, apart from `left_ms`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestSpec {
    /// Key of the request.
    pub key: Key,
    /// Service that the request is for.
    pub service: Name,
    /// Path below the service; plain services only.
    pub path: Name,
    /// Body as the caller sent it.
    pub body: Bytes,
    /// Digest of service, path and body; detects a different request under the same key.
    pub digest: u64,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Milliseconds left until the deadline when this copy was sent.
    pub left_ms: u64,
}

/// How a request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Ending {
    /// The answer is complete.
    Answered,
    /// The request did not run, and no entry can run it any more.
    NotRun(Code),
    /// The request was not accepted; nothing is known about earlier attempts.
    Rejected(Code),
    /// The request may have run.
    Unknown(Code),
    /// Another entry has the request.
    Follow(NodeId),
}

impl Ending {
    /// Returns the ending to report to a caller that only reads.
    ///
    /// A round that did not run may have been followed by another round at another entry, so
    /// [`Ending::NotRun`] is weakened to [`Ending::Rejected`].
    pub fn for_reader(self) -> Self {
        match self {
            Self::NotRun(code) => Self::Rejected(code),
            other => other,
        }
    }
}

/// Source of the right to dispatch a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Right {
    /// The entry does not have the right.
    None,
    /// The witness granted the right, or the entry is the witness and the leaving owner declined
    /// the request.
    Granted,
    /// The entry won the claim in the key-value service.
    Claimed,
}

/// Reply of the witness to the offer of a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum HoldReply {
    /// The witness holds the record.
    Held,
    /// The given entry has the request: it is the witness itself, the entry that won the claim
    /// against the witness, or the entry that the witness handed the record over to.
    Taken(NodeId),
    /// The witness does not know yet which entry has the request.
    Undecided,
    /// The witness holds a different body under the same key.
    OtherBody,
    /// The receiver is another incarnation of the addressed entry and does not have its records.
    OtherRun,
}

/// Reply of the witness to a request for the dispatch right.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AskReply {
    /// The owner may dispatch; the witness does not unless the owner declines the request or hands
    /// it over.
    Granted,
    /// The given entry has the request: it is the witness itself, the entry that won the claim
    /// against the witness, or the entry that the witness handed the record over to.
    Taken(NodeId),
    /// The witness does not know yet which entry has the request.
    Undecided,
    /// The receiver does not hold the record in this round, or is another incarnation of the
    /// addressed entry.
    NotHeld,
}

/// Reply of the witness to a request to void a record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum VoidReply {
    /// The witness will not take this round over.
    Voided,
    /// The given entry has the request: it is the witness itself, the entry that won the claim
    /// against the witness, or the entry that the witness handed the record over to.
    Taken(NodeId),
    /// The receiver does not know yet which entry has the request, or is another incarnation of the
    /// addressed entry.
    Undecided,
}

/// A message from one entry to another about a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Message {
    /// Asks the receiver to hold a copy of a record.
    Hold {
        /// Specification of the request.
        terms: RequestSpec,
        /// Number of the round; a caller starts the next one by sending the request again after a
        /// round that did not run.
        round: u64,
        /// Owner of the record.
        owner: NodeId,
    },
    /// Asks the witness for the dispatch right.
    Ask {
        /// Key of the request.
        key: Key,
        /// Current round of the owner.
        round: u64,
    },
    /// Asks the witness to void a record.
    Void {
        /// Key of the request.
        key: Key,
        /// Current round of the owner.
        round: u64,
    },
    /// Sends chunks of the answer, and its ending if there is one, to the witness.
    Progress {
        /// Key of the request.
        key: Key,
        /// Current round of the owner.
        round: u64,
        /// Number of the first chunk.
        from: usize,
        /// Chunks, starting with that number.
        chunks: Vec<Chunk>,
        /// How the request ended, once it has.
        ending: Option<Ending>,
    },
    /// Hands a record over from an owner that is leaving.
    HandOver {
        /// Specification of the request.
        terms: RequestSpec,
        /// Owner that is leaving.
        owner: NodeId,
        /// Current round of that owner.
        round: u64,
        /// Dispatch right of that owner.
        right: Right,
        /// Answer so far.
        chunks: Vec<Chunk>,
    },
    /// Forwards a caller's request.
    Submit {
        /// Specification of the request.
        terms: RequestSpec,
        /// Round that the receiver may start; a round that is already over is not started again.
        round: u64,
        /// Whether the sender could not reach the owner.
        owner_silent: bool,
    },
}

/// The reply to a [`Message`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MessageReply {
    /// The message was processed; there is nothing to return.
    Done,
    /// The message was refused.
    Failure(Failure),
    /// Reply to [`Message::Hold`].
    Hold(HoldReply),
    /// Reply to [`Message::Ask`].
    Ask(AskReply),
    /// Reply to [`Message::Void`].
    Void(VoidReply),
    /// Reply to [`Message::Progress`]: number of chunks that the witness holds.
    Have(usize),
    /// Reply to [`Message::Progress`]: the given entry has taken the request over.
    Taken(NodeId),
    /// Reply to [`Message::Submit`]: this round is over, and nothing ran in it.
    Over(u64),
}
