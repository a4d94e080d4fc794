//! One request as held by one entry.

use super::input::Ticket;
use crate::message::{Ending, RequestSpec};
use crate::owner::{Owner, OwnerState};
use crate::witness::Witness;
use crate::{Answer, Chunk};
use bytes::Bytes;
use kernel::{Code, Failure, NodeId};

/// Role of this entry for a request.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// The entry runs the request.
    Owner(Owner),
    /// The entry holds a copy for the given owner.
    Witness(Witness, NodeId),
}

/// State of the copy of a record at its witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Replica {
    /// There is no witness: the home of the request is this entry alone.
    Sole,
    /// The record was offered to the given entry.
    Offered(NodeId),
    /// The given entry holds the record and the given number of chunks.
    Held(NodeId, usize),
    /// No witness holds the record: it did not respond, refused the record or was not found.
    Lost,
}

/// One request as held by one entry.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) spec: RequestSpec,
    pub(crate) role: Role,
    pub(crate) round: u64,
    pub(crate) replica: Replica,
    pub(crate) answer: Answer,
    /// The ending, once decided; becomes visible only after the witness has it.
    pub(crate) ending: Option<Ending>,
    /// The ending that callers may see.
    pub(crate) visible_ending: Option<Ending>,
    /// Whether [`Action::Accepted`](super::Action::Accepted) was returned in this round.
    pub(crate) accepted: bool,
    /// Whether an attempt is running.
    pub(crate) attempt_running: bool,
    /// Whether a message with chunks or the ending awaits a reply from the witness.
    pub(crate) replication_pending: bool,
    /// Entries that this entry, when leaving, tried to hand the record over to.
    pub(crate) hand_over_tried: Vec<NodeId>,
    /// Owner that handed the record over to this entry when leaving.
    pub(crate) handed_over_by: Option<NodeId>,
    /// Tickets that wait for a response about this request.
    pub(crate) waiting_tickets: Vec<Ticket>,
}

/// A part of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerPart {
    /// Number of the first chunk.
    pub from: usize,
    /// Chunks, starting with that number.
    pub chunks: Vec<Chunk>,
    /// Origin of the answer, once it has chunks.
    pub origin: Option<u64>,
    /// How the request ended, if these are the last chunks.
    pub ending: Option<Ending>,
}

impl Record {
    pub(crate) fn new(spec: RequestSpec, role: Role, round: u64) -> Self {
        Self {
            spec,
            role,
            round,
            replica: Replica::Lost,
            answer: Answer::default(),
            ending: None,
            visible_ending: None,
            accepted: false,
            attempt_running: false,
            replication_pending: false,
            hand_over_tried: Vec::new(),
            handed_over_by: None,
            waiting_tickets: Vec::new(),
        }
    }

    /// Gives up the body once the request is not sent to a server any more.
    pub(crate) fn release_body(&mut self) {
        if matches!(self.visible_ending, Some(Ending::Answered | Ending::Unknown(_))) {
            self.spec.body = Bytes::new();
        }
    }

    pub(crate) fn owner(&mut self) -> Option<&mut Owner> {
        match &mut self.role {
            Role::Owner(owner) => Some(owner),
            Role::Witness(..) => None,
        }
    }

    /// Returns whether this is the number of the current attempt.
    pub(crate) fn is_current_attempt(&self, attempt: u32) -> bool {
        match &self.role {
            Role::Owner(owner) => *owner.state() == OwnerState::Dispatching(attempt),
            Role::Witness(..) => false,
        }
    }

    /// Returns the number of the next round if the current one ended as not run or rejected.
    pub(crate) fn next_round(&self) -> Option<u64> {
        let over = matches!(self.visible_ending, Some(Ending::NotRun(_) | Ending::Rejected(_)));
        over.then_some(self.round + 1)
    }

    pub(crate) fn is_open(&self) -> bool {
        self.visible_ending.is_none()
    }

    /// Returns the chunks from number `from` and the ending that are visible to callers.
    pub(crate) fn visible_part(&self, from: usize) -> AnswerPart {
        AnswerPart {
            from,
            chunks: self.answer.visible_from(from).to_vec(),
            origin: self.answer.origin(),
            ending: self.visible_ending.clone(),
        }
    }
}

/// Position of a caller in an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Number of the next chunk to read.
    pub next: usize,
    /// Origin of the chunks already read.
    pub origin: Option<u64>,
}

impl Cursor {
    /// Advances past a part that was read from this position.
    ///
    /// # Errors
    /// [`Code::Incomplete`] when the part does not continue the chunks already read: the former
    /// holder is gone together with chunks that callers have seen, and the caller must read from
    /// the start.
    pub fn advance(&mut self, part: &AnswerPart) -> Result<(), Failure> {
        let started = self.next > 0;
        let other_origin = started && self.origin.is_some() && part.origin != self.origin;
        // A holder without chunks is not a mismatch yet: it may still receive the answer.
        let empty = part.origin.is_none() && part.ending != Some(Ending::Answered);
        if other_origin && !empty {
            return Err(Failure::new(
                Code::Incomplete,
                "the answer does not continue the part already read; read from the start",
            ));
        }
        if !part.chunks.is_empty() {
            self.next += part.chunks.len();
            self.origin = part.origin;
        }
        Ok(())
    }
}
