//! Messages of the membership protocol.

use kernel::{Millis, Name, NodeId};
use std::net::SocketAddr;

/// State of an entry as seen by another one. If incarnation and refutation
/// number are equal, the greater state wins.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// The entry replies to probes.
    Alive,
    /// The entry did not reply to the latest probes.
    Suspect,
    /// The entry announced that it is leaving and accepts no new requests.
    Leaving,
    /// The entry did not refute a suspicion in time.
    Dead,
}

/// One entry as seen by other entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Name and incarnation of the entry.
    pub node: NodeId,
    /// Address of its HTTP endpoint for callers.
    pub http: SocketAddr,
    /// Address of its endpoint for other entries.
    pub peer: SocketAddr,
    /// Region that the data centre belongs to.
    pub region: Name,
    /// Data centre that the entry runs in.
    pub data_centre: Name,
    /// Latest known state.
    pub state: MemberState,
    /// Counter that only the entry itself increments, to refute a wrong state of this incarnation.
    pub refutation: u32,
}

impl Member {
    /// Returns the key that orders conflicting reports; the greater one wins.
    pub(crate) fn precedence(&self) -> (u64, u32, MemberState) {
        (self.node.incarnation, self.refutation, self.state)
    }
}

/// The state of one member or backend server, piggybacked on probes and replies or sent in a sync.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// State of an entry.
    Member {
        /// The entry.
        member: Member,
        /// Milliseconds since the entry was declared dead; zero in any other state.
        age: Millis,
    },
    /// A backend server is leaving.
    ServerLeaving {
        /// Name of the server.
        server: Name,
        /// Milliseconds since this was first announced.
        age: Millis,
    },
}

/// Type of a request or reply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Request: reply with `Ack`.
    Probe,
    /// Request to join; the updates of the reply contain the replying entry and a few others.
    Join,
    /// Request to probe another entry and report whether it replied.
    ProbeFor(NodeId),
    /// Request that carries rows which the receiver may be missing.
    Push,
    /// Request for the rows that differ from this digest.
    Digest(Vec<u32>),
    /// Reply to a digest: a bit mask of the buckets that differ; the updates contain rows of them.
    Differences(Vec<u8>),
    /// Positive reply to any other request.
    Ack,
    /// Negative reply to `ProbeFor`: the target did not reply.
    Nack,
}

/// A message between two entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Highest generation of the configuration that became active at the sender.
    pub generation: u64,
    /// Type of the message.
    pub body: Body,
    /// Updates on members and backend servers; their number is bounded.
    pub updates: Vec<Update>,
}
