//! The numbers that go with every message to a backend server.

use kernel::{Key, NodeId};
use std::fmt;

/// Names one attempt at one request by one run of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tag {
    /// Identity of the request.
    pub key: Key,
    /// Run of the entry that sends it.
    pub owner: NodeId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
}

impl fmt::Display for Tag {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}#{}", self.key, self.owner, self.attempt)
    }
}
