//! State machine that accepts one proposed configuration; performs no I/O.
//!
//! A proposal based on generation g can only become generation g + 1. The compare-and-swap checks
//! the revision of the head that it replaces, so it does no harm if it is retried, delayed or
//! executed twice. After any failure the next step is therefore to read the head again. If its
//! generation is
//!
//! - g: write the history entry and the body that the swap requires, then swap;
//! - g + 1: the head shows which proposal was accepted;
//! - above g + 1: the history entry of g + 1 shows it. Every head is written to the history before
//!   it is replaced.

use conf::Head;
use kernel::Millis;

/// A validated proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Generation that the proposal is based on.
    pub based_on: u64,
    /// Head to be written if the proposal is accepted.
    pub head: Head,
}

/// Head read from the key-value service, with the revision of its key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredHead {
    /// The head; the default value if the key does not exist.
    pub head: Head,
    /// Revision of the last change; 0 if the key does not exist.
    pub revision: i64,
}

/// Result of the previous step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The head was read, or returned by a swap that failed its comparison.
    Head(StoredHead),
    /// The head of the generation after the base was read from the history.
    History(Option<Head>),
    /// The head to be replaced was written to the history.
    HistoryWritten,
    /// The body was written under its digest.
    BodyWritten,
    /// The swap succeeded.
    Swapped,
    /// A call failed; it may still have taken effect.
    Failed,
    /// The pause has ended.
    Paused,
}

/// Next step to perform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Read the head.
    ReadHead,
    /// Read the head of this generation from the history.
    ReadHistory(u64),
    /// Write this head to the history.
    WriteHistory(Head),
    /// Write the body of the proposal.
    WriteBody,
    /// Replace the head if it still has this revision.
    Swap(i64),
    /// Wait before the next call, for a time that depends on this number of consecutive failures.
    Pause(u32),
    /// Finish and report this outcome to the operator.
    Finish(Outcome),
}

/// Outcome of a proposal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The proposal was accepted; a later configuration may have replaced it already.
    Accepted {
        /// Head written for the proposal.
        head: Head,
        /// Active head, if it is a later one.
        replaced_by: Option<Head>,
    },
    /// The proposal was not accepted and never will be.
    Conflict {
        /// Head that was accepted instead; `None` if the base was never accepted.
        winner: Option<Head>,
        /// Active head.
        active: Head,
    },
    /// The outcome was not known by the deadline; submitting the same proposal again resolves it.
    Unsettled,
}

/// State machine that accepts one proposal.
#[derive(Clone, Debug)]
pub struct Acceptance {
    candidate: Candidate,
    deadline: Millis,
    consecutive_failures: u32,
    base: StoredHead,
    history_written: bool,
    body_written: bool,
}

impl Acceptance {
    /// Creates the state machine for a proposal. The first failure, or swap lost to another
    /// revision of the base, at or after `deadline` ends it as [`Outcome::Unsettled`].
    pub fn new(candidate: Candidate, deadline: Millis) -> Self {
        Self {
            candidate,
            deadline,
            consecutive_failures: 0,
            base: StoredHead::default(),
            history_written: false,
            body_written: false,
        }
    }

    /// Returns the first step.
    pub fn start(&self) -> Step {
        Step::ReadHead
    }

    /// Returns the next step after an event.
    pub fn next(&mut self, event: Event, now: Millis) -> Step {
        match event {
            Event::Failed => return self.on_failure(now),
            Event::Paused => return Step::ReadHead,
            _ => self.consecutive_failures = 0,
        }
        match event {
            Event::Head(stored) => self.on_head(stored, now),
            Event::History(winner) => self.on_history(winner, now),
            Event::HistoryWritten => {
                self.history_written = true;
                self.next_write()
            }
            Event::BodyWritten => {
                self.body_written = true;
                self.next_write()
            }
            _ => self.finish_accepted(self.candidate.head.clone(), None),
        }
    }

    fn on_failure(&mut self, now: Millis) -> Step {
        if now >= self.deadline {
            return Step::Finish(Outcome::Unsettled);
        }
        self.consecutive_failures += 1;
        Step::Pause(self.consecutive_failures)
    }

    fn on_head(&mut self, stored: StoredHead, now: Millis) -> Step {
        let target = self.candidate.head.generation;
        self.base = stored;
        let head = &self.base.head;
        if head.generation == self.candidate.based_on {
            // Ends the retries of a swap that keeps failing on the revision although the generation
            // is the same.
            return if now >= self.deadline {
                Step::Finish(Outcome::Unsettled)
            } else {
                self.next_write()
            };
        }
        if head.generation > target {
            return Step::ReadHistory(target);
        }
        if self.matches_candidate(head) {
            return self.finish_accepted(head.clone(), None);
        }
        let winner = (head.generation == target).then(|| head.clone());
        Step::Finish(Outcome::Conflict { winner, active: head.clone() })
    }

    fn on_history(&mut self, winner: Option<Head>, now: Millis) -> Step {
        let active = self.base.head.clone();
        match winner {
            Some(head) if self.matches_candidate(&head) => self.finish_accepted(head, Some(active)),
            Some(head) => Step::Finish(Outcome::Conflict { winner: Some(head), active }),
            // Without the history entry it is unknown which proposal was accepted.
            None => self.on_failure(now),
        }
    }

    /// Returns the next missing write before the swap, or the swap itself.
    fn next_write(&self) -> Step {
        if !self.history_written && self.base.head.generation > 0 {
            return Step::WriteHistory(self.base.head.clone());
        }
        if !self.body_written {
            return Step::WriteBody;
        }
        Step::Swap(self.base.revision)
    }

    fn matches_candidate(&self, head: &Head) -> bool {
        let candidate = &self.candidate.head;
        let same_proposal = head.nonce == candidate.nonce && head.digest == candidate.digest;
        head.generation == candidate.generation && same_proposal
    }

    fn finish_accepted(&self, head: Head, replaced_by: Option<Head>) -> Step {
        Step::Finish(Outcome::Accepted { head, replaced_by })
    }
}
