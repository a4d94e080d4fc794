//! What entries tell each other about each other.

use kernel::{Name, NodeId};
use std::net::SocketAddr;

/// What is believed of an entry. The order is that of precedence within one incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum MemberState {
    /// It answers.
    Alive,
    /// It did not answer lately.
    Suspect,
    /// It said that it is leaving and takes nothing new.
    Leaving,
    /// Its run is over.
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
    /// Data centre it stands in.
    pub data_centre: Name,
    /// What is believed of it.
    pub state: MemberState,
}

/// One message: the sender, news about members, and what it has in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Gossip {
    /// Sender.
    pub from: NodeId,
    /// News about members.
    pub members: Vec<Member>,
    /// Generation of the configuration in force at the sender.
    pub generation: u64,
    /// Backend servers that the sender knows to be leaving.
    pub leaving_servers: Vec<Name>,
}
