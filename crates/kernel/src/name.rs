//! Names shared by all crates: nodes, and the identity of a request.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An immutable shared string, used for every name.
pub type Name = ArcStr;

/// One run of one entry process.
///
/// A restarted process keeps its name and has a higher incarnation, so a message to an earlier run
/// is never taken for one to the present run.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct NodeId {
    /// Name from the settings, unique in the deployment.
    pub name: Name,
    /// Number of this run; rises with every start.
    pub incarnation: u64,
}

impl NodeId {
    /// Creates the identity of one run.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.name, self.incarnation)
    }
}

/// Identity of a request: an organisation and that organisation's idempotency key.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Organisation the caller belongs to.
    pub organisation: Name,
    /// Idempotency key as the caller sent it.
    pub id: Name,
}

impl Key {
    /// Creates the identity of a request.
    pub fn new(organisation: impl Into<Name>, id: impl Into<Name>) -> Self {
        Self { organisation: organisation.into(), id: id.into() }
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.organisation, self.id)
    }
}
