//! State machine of the owner of a request.

use crate::message::{AskReply, Ending, HoldReply, Right, VoidReply};
use kernel::{Code, NodeId, Outcome};

/// State of a request at its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerState {
    /// The record was offered to the witness.
    Offered,
    /// The witness was asked for the dispatch right.
    Asking,
    /// The claim in the key-value service is undecided.
    Claiming,
    /// Ready to dispatch, or dispatched; the number counts attempts from 1.
    Dispatching(u32),
    /// The witness was asked to void the record; the request then ends with this code.
    Voiding(Code),
    /// Handed over to another entry; never dispatched here again.
    GivenAway,
    /// The request has ended.
    Ended(Ending),
}

/// Event at the owner of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerEvent {
    /// The witness replied to the offer.
    Hold(HoldReply),
    /// The witness replied to the request for the dispatch right.
    Ask(AskReply),
    /// The witness replied to the request to void the record.
    Void(VoidReply),
    /// The witness did not reply, or there is none.
    WitnessSilent,
    /// The claim was won.
    ClaimWon,
    /// The claim was lost to the given entry.
    ClaimLost(NodeId),
    /// The key-value service did not respond, so the result of the claim is unknown.
    ClaimUndecided,
    /// The attempt failed before its first byte was sent.
    NotSent {
        /// Reason for the failure.
        code: Code,
        /// Whether another attempt is allowed, for example by the retry budget.
        again: bool,
    },
    /// The backend server failed after the first byte was sent.
    Broke {
        /// Reason for the failure.
        code: Code,
        /// Whether another attempt is allowed, for example by the retry budget.
        again: bool,
    },
    /// Another entry has taken the request over.
    Moved(NodeId),
    /// The answer is complete.
    Answered,
    /// Admission refused the request, or its deadline passed before the dispatch.
    Refuse(Code),
    /// This entry is leaving.
    Leave,
}

/// The next action of the owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerAction {
    /// Wait for another event.
    Wait,
    /// Ask the witness for the dispatch right.
    Ask,
    /// Claim the dispatch right in the key-value service.
    Claim,
    /// Ask the witness to void the record.
    Void,
    /// Send the request to a backend server.
    Dispatch {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Hand the record over to another entry, with this right.
    HandOver(Right),
    /// End the request and report the ending to the caller.
    End(Ending),
}

/// One request at its owner.
#[derive(Clone, Debug)]
pub struct Owner {
    state: OwnerState,
    right: Right,
    repeatable: bool,
    /// Whether the current attempt may have reached a backend server.
    current_sent: bool,
    /// Whether an earlier attempt may have reached a backend server.
    earlier_sent: bool,
}

impl Owner {
    /// Creates the state of a request that was just offered to the witness.
    pub fn offer(repeatable: bool) -> Self {
        Self {
            state: OwnerState::Offered,
            right: Right::None,
            repeatable,
            current_sent: false,
            earlier_sent: false,
        }
    }

    /// Creates the state of a request that admission refused: the witness is asked to void the
    /// record before the request ends.
    pub fn refuse(repeatable: bool, code: Code) -> Self {
        Self { state: OwnerState::Voiding(code), ..Self::offer(repeatable) }
    }

    /// Creates the state of a request that this entry took over or received by a hand-over.
    pub fn take_over(repeatable: bool, right: Right) -> Self {
        // Without the exclusive right, the former owner may have dispatched the request.
        let earlier_sent = right == Right::None;
        Self { state: OwnerState::Dispatching(1), right, earlier_sent, ..Self::offer(repeatable) }
    }

    /// Returns the state of the request.
    pub fn state(&self) -> &OwnerState {
        &self.state
    }

    /// Returns the source of the dispatch right.
    pub fn right(&self) -> Right {
        self.right
    }

    /// Returns whether any attempt may have reached a backend server.
    pub fn may_have_run(&self) -> bool {
        self.earlier_sent || self.current_sent
    }

    /// Returns the next action after an event.
    ///
    /// An event that does not match the state, such as a late or duplicate reply, is ignored.
    pub fn handle(&mut self, event: OwnerEvent) -> OwnerAction {
        match (self.state.clone(), event) {
            (OwnerState::Offered, OwnerEvent::Hold(reply)) => self.on_hold(reply),
            (OwnerState::Offered, OwnerEvent::WitnessSilent) => self.on_offer_without_reply(),
            (OwnerState::Asking, OwnerEvent::Ask(reply)) => self.on_ask(reply),
            (OwnerState::Asking, OwnerEvent::WitnessSilent) => self.claim(),
            (OwnerState::Claiming, OwnerEvent::ClaimWon) => {
                self.dispatch_with_right(Right::Claimed)
            }
            (OwnerState::Claiming, OwnerEvent::ClaimLost(holder)) => {
                self.end(Ending::Follow(holder))
            }
            (OwnerState::Claiming, OwnerEvent::ClaimUndecided) => {
                self.end(Ending::Unknown(Code::Elsewhere))
            }
            (OwnerState::Voiding(code), OwnerEvent::Void(reply)) => self.on_void(code, reply),
            (OwnerState::Voiding(_), OwnerEvent::WitnessSilent) => self.end_unvoided(),
            (OwnerState::Dispatching(attempt), event) => self.on_dispatching(attempt, event),
            (OwnerState::Offered, OwnerEvent::Refuse(code)) => self.void(code),
            _ => OwnerAction::Wait,
        }
    }

    /// Records that the first byte of an attempt is about to be sent.
    ///
    /// Returns whether the attempt may be sent at all.
    pub fn may_send(&mut self) -> bool {
        let has_right = self.repeatable || self.right != Right::None;
        let allowed = has_right && matches!(self.state, OwnerState::Dispatching(_));
        self.current_sent |= allowed;
        allowed
    }

    fn on_hold(&mut self, reply: HoldReply) -> OwnerAction {
        match reply {
            HoldReply::Held if self.repeatable => self.dispatch(1),
            HoldReply::Held => self.transition(OwnerState::Asking, OwnerAction::Ask),
            HoldReply::Taken(holder) => self.end(Ending::Follow(holder)),
            HoldReply::Undecided | HoldReply::OtherRun => self.on_offer_without_reply(),
            HoldReply::OtherBody => self.end(Ending::Rejected(Code::KeyReused)),
        }
    }

    fn on_offer_without_reply(&mut self) -> OwnerAction {
        if self.repeatable { self.dispatch(1) } else { self.claim() }
    }

    fn on_ask(&mut self, reply: AskReply) -> OwnerAction {
        match reply {
            AskReply::Granted => self.dispatch_with_right(Right::Granted),
            AskReply::Taken(holder) => self.end(Ending::Follow(holder)),
            AskReply::Undecided | AskReply::NotHeld => self.claim(),
        }
    }

    fn on_void(&mut self, code: Code, reply: VoidReply) -> OwnerAction {
        match reply {
            VoidReply::Voided => self.end(Ending::NotRun(code)),
            VoidReply::Taken(holder) => self.end(Ending::Follow(holder)),
            VoidReply::Undecided => self.end_unvoided(),
        }
    }

    fn on_dispatching(&mut self, attempt: u32, event: OwnerEvent) -> OwnerAction {
        match event {
            OwnerEvent::Answered => self.end(Ending::Answered),
            OwnerEvent::Moved(holder) if self.repeatable => self.end(Ending::Follow(holder)),
            OwnerEvent::NotSent { code, again } => self.on_not_sent(attempt, code, again),
            OwnerEvent::Broke { code, again } => self.on_broke(attempt, code, again),
            OwnerEvent::Refuse(code) => self.give_up(code),
            OwnerEvent::Leave if self.repeatable || !self.may_have_run() => {
                let right = self.right;
                self.transition(OwnerState::GivenAway, OwnerAction::HandOver(right))
            }
            _ => OwnerAction::Wait,
        }
    }

    fn on_not_sent(&mut self, attempt: u32, code: Code, again: bool) -> OwnerAction {
        self.current_sent = false;
        if again { self.dispatch(attempt + 1) } else { self.give_up(code) }
    }

    fn on_broke(&mut self, attempt: u32, code: Code, again: bool) -> OwnerAction {
        self.earlier_sent = true;
        self.current_sent = false;
        if again && self.repeatable {
            self.dispatch(attempt + 1)
        } else {
            self.end(Ending::Unknown(unknown_code(code)))
        }
    }

    /// Ends a request that no attempt can serve, with the most specific ending that is certain.
    fn give_up(&mut self, code: Code) -> OwnerAction {
        if self.may_have_run() {
            return self.end(Ending::Unknown(unknown_code(code)));
        }
        // While this entry has the right, no other entry can dispatch the request.
        if self.right != Right::None {
            return self.end(Ending::NotRun(code));
        }
        self.void(code)
    }

    /// Ends a request that was not voided: the witness may still take it over, so the ending must
    /// not be [`Ending::NotRun`].
    fn end_unvoided(&mut self) -> OwnerAction {
        self.end(Ending::Unknown(Code::Elsewhere))
    }

    fn dispatch_with_right(&mut self, right: Right) -> OwnerAction {
        self.right = right;
        self.dispatch(1)
    }

    fn dispatch(&mut self, attempt: u32) -> OwnerAction {
        self.transition(OwnerState::Dispatching(attempt), OwnerAction::Dispatch { attempt })
    }

    fn claim(&mut self) -> OwnerAction {
        self.transition(OwnerState::Claiming, OwnerAction::Claim)
    }

    fn void(&mut self, code: Code) -> OwnerAction {
        self.transition(OwnerState::Voiding(code), OwnerAction::Void)
    }

    fn end(&mut self, ending: Ending) -> OwnerAction {
        self.transition(OwnerState::Ended(ending.clone()), OwnerAction::End(ending))
    }

    fn transition(&mut self, state: OwnerState, action: OwnerAction) -> OwnerAction {
        self.state = state;
        action
    }
}

/// Returns `code` if its outcome is unknown, else a code with that outcome.
fn unknown_code(code: Code) -> Code {
    if code.outcome() == Outcome::Unknown { code } else { Code::BackendBroke }
}
