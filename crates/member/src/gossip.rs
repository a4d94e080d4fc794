//! What entries tell each other.

use kernel::{Millis, Name, NodeId};
use std::net::SocketAddr;

/// What is believed of an entry. The order is that of precedence within one refutation number.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It said that it is leaving and takes nothing new.
    Leaving,
    /// It did not refute a suspicion in time.
    Dead,
}

/// One entry as others see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The run of the entry.
    pub node: NodeId,
    /// Address for callers.
    pub http: SocketAddr,
    /// Address for other entries.
    pub peer: SocketAddr,
    /// Region that the data centre belongs to.
    pub region: Name,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// What is believed of it.
    pub state: MemberState,
    /// Number that only the entry itself raises, to refute what others believe of this run.
    pub refutation: u32,
}

impl Member {
    /// Returns what decides between two reports; the greater one wins.
    pub(crate) fn precedence(&self) -> (u64, u32, MemberState) {
        (self.node.incarnation, self.refutation, self.state)
    }
}

/// One piece of news, as it travels on probes and their answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Update {
    /// What is believed of an entry.
    Member {
        /// The entry.
        member: Member,
        /// Milliseconds since it was declared dead; zero for any other state.
        age: Millis,
    },
    /// A backend server is leaving.
    ServerLeaving {
        /// Name of the server.
        server: Name,
        /// Milliseconds since this was first said.
        age: Millis,
    },
}

/// What a message asks or answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Body {
    /// Asks for an answer.
    Probe,
    /// Asks for the way in; the news of the answer hold the answering entry and a few others.
    Join,
    /// Asks to probe another entry and to report whether it answered.
    ProbeFor(NodeId),
    /// Hands rows over that the receiver may lack.
    Push,
    /// Asks for the rows that differ.
    Digest(Vec<u32>),
    /// Answers a digest: the buckets that differ; the news hold rows of them.
    Differences(Vec<u8>),
    /// Answers anything else.
    Ack,
    /// The entry that was to be probed did not answer.
    Nack,
}

/// A message between two entries.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Message {
    /// Sender.
    pub from: NodeId,
    /// Highest generation of the configuration in force at the sender.
    pub generation: u64,
    /// What it asks or answers.
    pub body: Body,
    /// News on members and backend servers, bounded in number.
    pub updates: Vec<Update>,
}
