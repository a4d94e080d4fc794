//! Settles a claim in the key-value service whose answer may be lost.

use kernel::{Name, NodeId};

/// A claim under way; the nonce tells whose write the stored value is.
#[derive(Clone, Debug)]
pub struct Claim {
    nonce: Name,
    reads_left: u32,
}

/// What came back from the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimEvent {
    /// The create succeeded.
    Created,
    /// The key exists already, with this holder and nonce.
    Exists(NodeId, Name),
    /// A read found nothing.
    Absent,
    /// No answer: the write may or may not have taken effect.
    NoReply,
}

/// What to do next about the claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimAction {
    /// Send the create.
    Create,
    /// Read the key back.
    ReadBack,
    /// The claim is won.
    Won,
    /// The claim was lost to this entry.
    LostTo(NodeId),
    /// The service stays silent; the claim is undecided.
    Undecided,
}

impl Claim {
    /// Starts a claim; `reads` is the number of times a lost answer is read back.
    pub fn new(nonce: impl Into<Name>, reads: u32) -> Self {
        Self { nonce: nonce.into(), reads_left: reads }
    }

    /// Returns the nonce to write.
    pub fn nonce(&self) -> &Name {
        &self.nonce
    }

    /// Decides the next step from an answer.
    pub fn handle(&mut self, event: ClaimEvent) -> ClaimAction {
        match event {
            ClaimEvent::Created => ClaimAction::Won,
            ClaimEvent::Exists(_, nonce) if nonce == self.nonce => ClaimAction::Won,
            ClaimEvent::Exists(holder, _) => ClaimAction::LostTo(holder),
            // A write that is still on its way may land after this read. A create with the same
            // nonce is idempotent, so sending it again settles the matter either way.
            ClaimEvent::Absent => self.spend(ClaimAction::Create),
            ClaimEvent::NoReply => self.spend(ClaimAction::ReadBack),
        }
    }

    fn spend(&mut self, next: ClaimAction) -> ClaimAction {
        if self.reads_left == 0 {
            return ClaimAction::Undecided;
        }
        self.reads_left -= 1;
        next
    }
}
