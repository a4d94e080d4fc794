//! Inputs and outputs of a [`RequestTable`](super::RequestTable).

use crate::message::{Ending, Message, MessageReply, RequestSpec};
use crate::owner::OwnerEvent;
use crate::{Chunk, Right};
use kernel::{Failure, Key, Name, NodeId};

/// Identifies the recipient of a [`Response`]; assigned by the driver of the table.
pub type Ticket = u64;

/// A message that was sent and whose reply is pending.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Call {
    /// Request that the message is about.
    pub key: Key,
    /// Round of the request when the message was sent.
    pub round: u64,
    /// Kind of the message.
    pub kind: CallKind,
}

/// Kind of the message of a [`Call`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Offer of a record to the given entry.
    Hold(NodeId),
    /// Request for the dispatch right.
    Ask,
    /// Request to void a round that did not run.
    Void,
    /// Chunks for the witness.
    Progress {
        /// Entry that the chunks were sent to.
        to: NodeId,
        /// Whether the message included the ending.
        ended: bool,
    },
    /// Hand-over of a record.
    HandOver {
        /// Entry that the record was sent to.
        to: NodeId,
        /// Dispatch right sent with the record.
        right: Right,
        /// Number of times that the record was sent to that entry, including this one.
        tries: u32,
    },
    /// A caller's request, forwarded for the given ticket.
    Submit(Ticket),
    /// A message whose reply is ignored.
    Notify,
}

/// The result of a claim in the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// The claim was won.
    Won,
    /// The claim was lost to the given entry.
    LostTo(NodeId),
    /// The service did not respond; the result is unknown.
    Undecided,
}

/// An event to be handled by the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Input {
    /// A caller sent a request to this entry.
    Submit {
        /// Recipient of the response.
        ticket: Ticket,
        /// Specification of the request.
        terms: RequestSpec,
    },
    /// A caller reads a request that this entry witnesses, and the owner does not respond.
    Read {
        /// Recipient of the response.
        ticket: Ticket,
        /// Key of the request.
        key: Key,
    },
    /// Another entry sent a message.
    Message {
        /// Recipient of the response.
        ticket: Ticket,
        /// The message.
        message: Message,
    },
    /// A call ended.
    Reply {
        /// The call.
        call: Call,
        /// The reply; `None` when none arrived in time.
        reply: Option<MessageReply>,
    },
    /// A claim ended.
    Claim {
        /// Key of the request.
        key: Key,
        /// Result of the claim.
        result: ClaimResult,
    },
    /// A backend server sent a chunk.
    Chunk {
        /// Key of the request.
        key: Key,
        /// Number of the attempt that the chunk belongs to.
        attempt: u32,
        /// Number of the chunk.
        number: usize,
        /// The chunk.
        chunk: Chunk,
    },
    /// An attempt ended.
    Attempt {
        /// Key of the request.
        key: Key,
        /// Number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        event: OwnerEvent,
    },
    /// Membership changed.
    Members,
    /// Refuse new requests from now on.
    RefuseNew,
    /// Refuse new requests and hand over every open request.
    HandOverAll,
}

/// Entry at which the answer of a request can be read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Holder {
    /// At this entry.
    Local,
    /// At another entry. The listed entries, from the last to the first, are tried when it does not
    /// respond.
    Remote(NodeId, Vec<NodeId>),
}

/// The response to the recipient that a [`Ticket`] identifies.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Response {
    /// The request was accepted, and its answer can be read at the given entry.
    Located(Holder),
    /// The round that the sender named is over, and nothing ran in it.
    Over(u64),
    /// The request was not accepted.
    Failed(Failure),
    /// The reply to a message of another entry.
    Reply(MessageReply),
}

/// An action for the driver of the table to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Send a message and feed its reply back as [`Input::Reply`].
    Send {
        /// Receiver of the message.
        to: NodeId,
        /// Call to pass back with the reply.
        call: Call,
        /// The message.
        message: Message,
    },
    /// Claim the dispatch right of a request in the key-value service.
    Claim(Key),
    /// Send a request to a backend server.
    Dispatch {
        /// Key of the request.
        key: Key,
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Stop the running attempt.
    Cancel(Key),
    /// Send a response to the recipient that the ticket identifies.
    Respond(Ticket, Response),
    /// The answer grew, or the request ended.
    Changed(Key),
    /// The request was accepted.
    Accepted(Key),
    /// The request ended at this entry.
    Ended(Key, Ending),
}

/// Membership as this entry sees it.
pub trait MembershipView {
    /// Returns whether this incarnation of an entry is gone.
    fn is_gone(&self, node: &NodeId) -> bool;

    /// Returns whether an entry is leaving.
    fn is_leaving(&self, node: &NodeId) -> bool;

    /// Returns the data centre of this entry.
    fn data_centre(&self) -> Name;

    /// Returns the other entries with their current incarnations.
    fn peers(&self) -> Vec<PeerEntry>;
}

/// Another entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerEntry {
    /// Name and current incarnation of the entry.
    pub node: NodeId,
    /// Data centre of the entry.
    pub data_centre: Name,
    /// Whether the entry is neither gone nor leaving, as far as this entry knows.
    pub available: bool,
}
