//! A claim in the key-value service: a create-if-absent whose reply may be lost.

use kernel::{Name, NodeId};

/// A claim in progress. A stored value with its nonce was written by this claim.
#[derive(Clone, Debug)]
pub struct Claim {
    nonce: Name,
    retries_left: u32,
}

/// Result of an operation on the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The create succeeded.
    Created,
    /// The key already exists, with this holder and nonce.
    Exists(NodeId, Name),
    /// The key does not exist.
    Absent,
    /// No reply arrived: a write may or may not have taken effect.
    NoReply,
}

/// The next action for a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Send the create.
    Create,
    /// Read the key back.
    ReadBack,
    /// The claim is won.
    Won,
    /// The claim is lost to the given entry.
    LostTo(NodeId),
    /// The service did not respond to any retry; the result is unknown.
    Undecided,
}

impl Claim {
    /// Starts a claim; `retries` is the maximum number of further reads or creates after a reply
    /// was lost or a read found nothing.
    pub fn new(nonce: impl Into<Name>, retries: u32) -> Self {
        Self { nonce: nonce.into(), retries_left: retries }
    }

    /// Returns the nonce to write.
    pub fn nonce(&self) -> &Name {
        &self.nonce
    }

    /// Returns the next action after an event.
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Created => ClaimAction::Won,
            ClaimEvent::Exists(_, nonce) if nonce == self.nonce => ClaimAction::Won,
            ClaimEvent::Exists(holder, _) => ClaimAction::LostTo(holder),
            // An earlier write that is still in flight may be applied after this read. A create
            // with the same nonce is idempotent, so a second create settles the claim either way.
            ClaimEvent::Absent => self.retry(ClaimAction::Create),
            ClaimEvent::NoReply => self.retry(ClaimAction::ReadBack),
        }
    }

    fn retry(&mut self, action: ClaimAction) -> ClaimAction {
        if self.retries_left == 0 {
            return ClaimAction::Undecided;
        }
        self.retries_left -= 1;
        action
    }
}
