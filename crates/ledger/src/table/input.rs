//! What happens to the requests of an entry, and what the entry does about it.

use crate::message::{Ending, Message, MessageReply, RequestSpec};
use crate::owner::OwnerEvent;
use crate::{Chunk, Right};
use kernel::{Failure, Key, Name, NodeId};

/// Names whoever waits for a [`Response`]; the shell numbers them.
pub type Ticket = u64;

/// A message that was sent and waits for its reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Request that it concerns.
    pub key: Key,
    /// Round of the request when it was sent.
    pub round: u64,
    /// What was sent.
    pub kind: CallKind,
}

/// What a [`Call`] asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// The offer of a record.
    Hold(NodeId),
    /// The dispatch right.
    Ask,
    /// The end of a round that did not run.
    Void,
    /// Chunks to hold.
    Progress {
        /// Entry that holds them.
        to: NodeId,
        /// Whether the ending went with them.
        ended: bool,
    },
    /// A record given away.
    HandOver {
        /// Entry that it was given to.
        to: NodeId,
        /// Right that went with it.
        right: Right,
        /// Number of this try at the same entry, from 1.
        tries: u32,
    },
    /// A caller's request, for this ticket.
    Submit(Ticket),
    /// News that need no reply.
    Notify,
}

/// The result of a claim in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// It was won.
    Won,
    /// It was lost to this entry.
    LostTo(NodeId),
    /// The service stays silent.
    Undecided,
}

/// What happened.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A caller sent a request to this entry.
    Submit {
        /// Who waits.
        ticket: Ticket,
        /// What it asks for.
        terms: RequestSpec,
    },
    /// A caller reads a request that this entry witnesses, and the owner is silent.
    Read {
        /// Who waits.
        ticket: Ticket,
        /// Identity of the request.
        key: Key,
    },
    /// Another entry sent a message.
    Message {
        /// Who waits.
        ticket: Ticket,
        /// What it sent.
        message: Message,
    },
    /// A call was answered; `None` when no answer came in time.
    Reply {
        /// The call.
        call: Call,
        /// Its answer.
        reply: Option<MessageReply>,
    },
    /// A claim came to its end.
    Claim {
        /// Identity of the request.
        key: Key,
        /// How it ended.
        result: ClaimResult,
    },
    /// A backend server sent a chunk.
    Chunk {
        /// Identity of the request.
        key: Key,
        /// Attempt that it belongs to.
        attempt: u32,
        /// Number of the chunk.
        number: usize,
        /// The chunk.
        chunk: Chunk,
    },
    /// An attempt came to its end.
    Attempt {
        /// Identity of the request.
        key: Key,
        /// Number of the attempt.
        attempt: u32,
        /// How it ended.
        event: OwnerEvent,
    },
    /// Membership changed.
    Members,
    /// Take nothing new from now on.
    RefuseNew,
    /// Give every open request away.
    HandOverAll,
}

/// Where the answer of a request can be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holder {
    /// Here.
    Local,
    /// At another entry; the others are tried when it is silent.
    Remote(NodeId, Vec<NodeId>),
}

/// What a ticket was waiting for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The request was taken on and can be read there.
    Located(Holder),
    /// The round that the sender knows is over, and nothing ran in it.
    Over(u64),
    /// It was not taken on.
    Failed(Failure),
    /// The reply to a message of another entry.
    Reply(MessageReply),
}

/// What to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message, and report the reply.
    Send {
        /// Entry that it goes to.
        to: NodeId,
        /// What to report with the reply.
        call: Call,
        /// The message.
        message: Message,
    },
    /// Claim the right of a request in the key-value service.
    Claim(Key),
    /// Send a request to a backend server.
    Dispatch {
        /// Identity of the request.
        key: Key,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Stop the running attempt.
    Cancel(Key),
    /// Tell whoever holds the ticket.
    Respond(Ticket, Response),
    /// The answer grew, or the request ended.
    Changed(Key),
    /// The request was accepted.
    Accepted(Key),
    /// The request ended here.
    Ended(Key, Ending),
}

/// What is known about other entries.
pub trait MembershipView {
    /// Tells whether the run of an entry is over.
    fn is_gone(&self, node: &NodeId) -> bool;

    /// Tells whether an entry is leaving.
    fn is_leaving(&self, node: &NodeId) -> bool;

    /// Returns the data centre of this entry.
    fn data_centre(&self) -> Name;

    /// Lists the present runs of the other entries.
    fn peers(&self) -> Vec<PeerEntry>;
}

/// Another entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// Its present run.
    pub node: NodeId,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Whether it is neither gone nor leaving, as far as is known.
    pub available: bool,
}
