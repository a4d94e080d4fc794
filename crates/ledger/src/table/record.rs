//! One request as held by one entry.

use super::input::Ticket;
use crate::message::{Ending, RequestSpec};
use crate::owner::{Owner, OwnerState};
use crate::witness::Witness;
use crate::{Answer, Chunk};
use kernel::{Code, Failure, NodeId};

/// What this entry is to the request.
#[derive(Clone, Debug)]
pub(crate) enum Role {
    /// It runs the request.
    Owner(Owner),
    /// It holds a copy for the owner.
    Witness(Witness, NodeId),
}

/// Who holds a copy for this owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Replica {
    /// Nobody: this entry is the only home.
    Sole,
    /// The record was offered to this entry.
    Offered(NodeId),
    /// This entry holds the record and that many chunks.
    Held(NodeId, usize),
    /// The witness is silent.
    Lost,
}

/// One request as held by one entry.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) terms: RequestSpec,
    pub(crate) role: Role,
    pub(crate) round: u64,
    pub(crate) replica: Replica,
    pub(crate) answer: Answer,
    /// The ending, once decided here; shown only after the witness knows it.
    pub(crate) ending: Option<Ending>,
    pub(crate) shown: Option<Ending>,
    pub(crate) accepted: bool,
    /// Whether an attempt is running.
    pub(crate) running: bool,
    /// Whether chunks or the ending are on their way to the witness.
    pub(crate) replicating: bool,
    /// Entries that it was offered to when this one left.
    pub(crate) given_to: Vec<NodeId>,
    /// Leaving owner that gave it to this entry.
    pub(crate) taken_from: Option<NodeId>,
    pub(crate) waiting: Vec<Ticket>,
}

/// Part of an answer.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct AnswerPart {
    /// Number of the first chunk.
    pub from: usize,
    /// Chunks from there.
    pub chunks: Vec<Chunk>,
    /// Origin of the whole answer, once it has chunks.
    pub origin: Option<u64>,
    /// How the request ended, if these are the last chunks.
    pub ending: Option<Ending>,
}

impl Record {
    pub(crate) fn new(terms: RequestSpec, role: Role, round: u64) -> Self {
        Self {
            terms,
            role,
            round,
            replica: Replica::Lost,
            answer: Answer::default(),
            ending: None,
            shown: None,
            accepted: false,
            running: false,
            replicating: false,
            given_to: Vec::new(),
            taken_from: None,
            waiting: Vec::new(),
        }
    }

    pub(crate) fn owner(&mut self) -> Option<&mut Owner> {
        match &mut self.role {
            Role::Owner(owner) => Some(owner),
            Role::Witness(..) => None,
        }
    }

    /// Tells whether this attempt is the present one.
    pub(crate) fn is_attempt(&self, attempt: u32) -> bool {
        match &self.role {
            Role::Owner(owner) => *owner.state() == OwnerState::Dispatching(attempt),
            Role::Witness(..) => false,
        }
    }

    /// Returns the number of the next round when the present one ended without a run.
    pub(crate) fn next_round(&self) -> Option<u64> {
        let over = matches!(self.shown, Some(Ending::NotRun(_) | Ending::Rejected(_)));
        over.then_some(self.round + 1)
    }

    pub(crate) fn is_open(&self) -> bool {
        self.shown.is_none()
    }

    /// Returns the chunks and the ending that a caller may see.
    pub(crate) fn part(&self, from: usize) -> AnswerPart {
        AnswerPart {
            from,
            chunks: self.answer.visible_from(from).to_vec(),
            origin: self.answer.origin(),
            ending: self.shown.clone(),
        }
    }
}

/// How far a caller has read an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Cursor {
    /// Number of the next chunk.
    pub next: usize,
    /// Origin of the chunks before it.
    pub origin: Option<u64>,
}

impl Cursor {
    /// Moves on past a part that was read from here.
    ///
    /// # Errors
    /// [`Code::Incomplete`] when the part does not go on with what was read: the former holder is
    /// gone with chunks that it had shown, and the caller has to read from the start.
    pub fn advance(&mut self, part: &AnswerPart) -> Result<(), Failure> {
        let begun = self.next > 0;
        let other = begun && self.origin.is_some() && part.origin != self.origin;
        // A holder that has nothing yet may still get there.
        let empty = part.origin.is_none() && part.ending != Some(Ending::Answered);
        if other && !empty {
            return Err(Failure::new(Code::Incomplete, "read it again from the start"));
        }
        if !part.chunks.is_empty() {
            self.next += part.chunks.len();
            self.origin = part.origin;
        }
        Ok(())
    }
}
