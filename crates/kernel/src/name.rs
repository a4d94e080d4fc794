//! Identifiers of entries and of requests.

use arcstr::ArcStr;
use serde::{Deserialize, Serialize};
use std::fmt;

/// An immutable, reference-counted string, used for all names.
pub type Name = ArcStr;

/// Identity of one run of an entry process.
///
/// A restarted process keeps its name and has a higher incarnation, so messages to an earlier run
/// are not mistaken for messages to the current one.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct NodeId {
    /// Name from the settings, unique in the deployment.
    pub name: Name,
    /// Number of the run; increases with each start.
    pub incarnation: u64,
}

impl NodeId {
    /// Creates the identity of a run.
    pub fn new(name: impl Into<Name>, incarnation: u64) -> Self {
        Self { name: name.into(), incarnation }
    }
}

impl fmt::Display for NodeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.name, self.incarnation)
    }
}

/// Identity of a request: an organisation and its idempotency key.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Key {
    /// Organisation of the caller.
    pub organisation: Name,
    /// Idempotency key, as sent by the caller.
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
