//! The decisions of accepting one offer; pure.
//!
//! An offer based on generation g can only become generation g + 1. A swap compares the revision
//! of the head that it replaces, so sending it again, late or twice is harmless. Whatever fails,
//! the next step is therefore to read the head again:
//!
//! - at g: write what the swap needs, then swap;
//! - at g + 1: the head tells whose offer won;
//! - above g + 1: the history of g + 1 tells it. Every head stands in the history before it is
//!   replaced.

use conf::Head;
use kernel::Millis;

/// An offer that was checked, as the decisions see it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Generation that it is based on.
    pub based_on: u64,
    /// The head that the offer becomes.
    pub head: Head,
}

/// A head as read, with the revision of its key; 0 when there is none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadHead {
    /// The head; the default one when there is none.
    pub head: Head,
    /// Revision of the last change.
    pub revision: i64,
}

/// What happened since the last step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The head was read, or a swap found it in its way.
    Head(ReadHead),
    /// The head that followed the base was read from the history.
    History(Option<Head>),
    /// The replaced head stands in the history.
    HistoryWritten,
    /// The body stands under its digest.
    BodyWritten,
    /// The swap took effect.
    Swapped,
    /// A call failed, and may have taken effect.
    Failed,
    /// The pause is over.
    Paused,
}

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Next {
    /// Read the head.
    ReadHead,
    /// Read the accepted head of this generation.
    ReadHistory(u64),
    /// Write this head into the history.
    WriteHistory(Head),
    /// Write the body of the offer.
    WriteBody,
    /// Replace the head if its revision is still this one.
    Swap(i64),
    /// Wait before the next call; the number of failures in a row says how long.
    Pause(u32),
    /// Tell the operator.
    Tell(Verdict),
}

/// What the operator is told.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The offer was accepted as this head; a later one may be in force already.
    Accepted {
        /// The head that the offer became.
        head: Head,
        /// The head that has replaced it, if one has.
        replaced_by: Option<Head>,
    },
    /// The offer was not accepted and never will be.
    Conflict {
        /// The head that won; none when the base was never accepted.
        winner: Option<Head>,
        /// The head in force.
        in_force: Head,
    },
    /// The platform did not say in time; sending the same offer again settles it.
    Unsettled,
}

/// The acceptance of one offer.
#[derive(Clone, Debug)]
pub struct Acceptance {
    candidate: Candidate,
    deadline: Millis,
    failures: u32,
    base: ReadHead,
    history_written: bool,
    body_written: bool,
}

impl Acceptance {
    /// Starts the acceptance; it ends unsettled at the first failure after `deadline`.
    pub fn new(candidate: Candidate, deadline: Millis) -> Self {
        Self {
            candidate,
            deadline,
            failures: 0,
            base: ReadHead::default(),
            history_written: false,
            body_written: false,
        }
    }

    /// Returns the first step.
    pub fn start(&self) -> Next {
        Next::ReadHead
    }

    /// Returns what to do after an event.
    pub fn next(&mut self, event: Event, now: Millis) -> Next {
        match event {
            Event::Failed => return self.fail(now),
            Event::Paused => return Next::ReadHead,
            _ => self.failures = 0,
        }
        match event {
            Event::Head(read) => self.on_head(read, now),
            Event::History(winner) => self.on_history(winner, now),
            Event::HistoryWritten => {
                self.history_written = true;
                self.write()
            }
            Event::BodyWritten => {
                self.body_written = true;
                self.write()
            }
            _ => self.accepted(self.candidate.head.clone(), None),
        }
    }

    fn fail(&mut self, now: Millis) -> Next {
        if now >= self.deadline {
            return Next::Tell(Verdict::Unsettled);
        }
        self.failures += 1;
        Next::Pause(self.failures)
    }

    fn on_head(&mut self, read: ReadHead, now: Millis) -> Next {
        let ours = self.candidate.head.generation;
        self.base = read;
        let head = &self.base.head;
        if head.generation == self.candidate.based_on {
            // A swap that met another revision under the same generation must not go on for ever.
            return if now >= self.deadline {
                Next::Tell(Verdict::Unsettled)
            } else {
                self.write()
            };
        }
        if head.generation > ours {
            return Next::ReadHistory(ours);
        }
        if self.is_ours(head) {
            return self.accepted(head.clone(), None);
        }
        let winner = (head.generation == ours).then(|| head.clone());
        Next::Tell(Verdict::Conflict { winner, in_force: head.clone() })
    }

    fn on_history(&mut self, winner: Option<Head>, now: Millis) -> Next {
        let in_force = self.base.head.clone();
        match winner {
            Some(head) if self.is_ours(&head) => self.accepted(head, Some(in_force)),
            Some(head) => Next::Tell(Verdict::Conflict { winner: Some(head), in_force }),
            // Without the history nothing is known of the generation after the base.
            None => self.fail(now),
        }
    }

    /// Writes what must be there before the swap, then swaps.
    fn write(&self) -> Next {
        if !self.history_written && self.base.head.generation > 0 {
            return Next::WriteHistory(self.base.head.clone());
        }
        if !self.body_written {
            return Next::WriteBody;
        }
        Next::Swap(self.base.revision)
    }

    fn is_ours(&self, head: &Head) -> bool {
        let ours = &self.candidate.head;
        let same_offer = head.nonce == ours.nonce && head.digest == ours.digest;
        head.generation == ours.generation && same_offer
    }

    fn accepted(&self, head: Head, replaced_by: Option<Head>) -> Next {
        Next::Tell(Verdict::Accepted { head, replaced_by })
    }
}
