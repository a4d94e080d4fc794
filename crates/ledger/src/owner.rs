//! What the owner of a request does next.

use crate::message::{AskReply, Ending, HoldReply, Right, VoidReply};
use kernel::{Code, NodeId, Outcome};

/// Where the owner stands with a request.
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
    /// The witness was asked to void the record, to end with this code.
    Voiding(Code),
    /// Given to the witness; never dispatched here again.
    GivenAway,
    /// Ended.
    Ended(Ending),
}

/// What happened to the request at its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerEvent {
    /// The witness answered the offer.
    Hold(HoldReply),
    /// The witness answered the request for the right.
    Ask(AskReply),
    /// The witness answered the request to void.
    Void(VoidReply),
    /// The witness did not answer, or there is none.
    WitnessSilent,
    /// The claim was won.
    ClaimWon,
    /// The claim was lost to another entry.
    ClaimLost(NodeId),
    /// The key-value service stays silent.
    ClaimUndecided,
    /// The attempt failed before its first byte left; `again` if another server may be tried.
    NotSent {
        /// Why.
        code: Code,
        /// Whether another backend server may be tried.
        again: bool,
    },
    /// The backend server broke off after the first byte; `again` if the budget allows a retry.
    Broke {
        /// Why.
        code: Code,
        /// Whether another backend server may be tried.
        again: bool,
    },
    /// Another entry has taken the request over.
    Moved(NodeId),
    /// The answer is whole.
    Answered,
    /// Admission refuses it, or its deadline passed before the dispatch.
    Refuse(Code),
    /// This entry is leaving.
    Leave,
}

/// What the owner does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OwnerNext {
    /// Nothing, until another event.
    Wait,
    /// Ask the witness for the dispatch right.
    Ask,
    /// Claim the right in the key-value service.
    Claim,
    /// Ask the witness to void the record.
    Void,
    /// Send it to a backend server.
    Dispatch {
        /// Number of the attempt, from 1.
        attempt: u32,
    },
    /// Give the record to the witness.
    HandOver(Right),
    /// Tell the caller the ending.
    End(Ending),
}

/// The owner's side of one request.
#[derive(Clone, Debug)]
pub struct Owner {
    state: OwnerState,
    right: Right,
    repeatable: bool,
    /// The present attempt may have reached a backend server.
    sending: bool,
    /// An earlier attempt may have reached a backend server.
    sent: bool,
}

impl Owner {
    /// Starts a request that was just offered to the witness.
    pub fn offer(repeatable: bool) -> Self {
        Self {
            state: OwnerState::Offered,
            right: Right::None,
            repeatable,
            sending: false,
            sent: false,
        }
    }

    /// Starts a request that admission refuses: the witness is asked to void it first.
    pub fn refuse(repeatable: bool, code: Code) -> Self {
        Self { state: OwnerState::Voiding(code), ..Self::offer(repeatable) }
    }

    /// Starts a request that this entry took over or was given with the right to dispatch.
    pub fn take_over(repeatable: bool, right: Right) -> Self {
        // Without the sole right, the former owner may have dispatched it.
        let sent = right == Right::None;
        Self { state: OwnerState::Dispatching(1), right, sent, ..Self::offer(repeatable) }
    }

    /// Returns where the request stands.
    pub fn state(&self) -> &OwnerState {
        &self.state
    }

    /// Returns where the right to dispatch comes from.
    pub fn right(&self) -> Right {
        self.right
    }

    /// Tells whether any attempt may have reached a backend server.
    pub fn may_have_run(&self) -> bool {
        self.sent || self.sending
    }

    /// Decides the next step.
    ///
    /// An event that does not fit the state, such as a late or repeated answer, changes nothing.
    pub fn next(&mut self, event: OwnerEvent) -> OwnerNext {
        match (self.state.clone(), event) {
            (OwnerState::Offered, OwnerEvent::Hold(reply)) => self.on_hold(reply),
            (OwnerState::Offered, OwnerEvent::WitnessSilent) => self.on_offer_unanswered(),
            (OwnerState::Asking, OwnerEvent::Ask(reply)) => self.on_ask(reply),
            (OwnerState::Asking, OwnerEvent::WitnessSilent) => self.claim(),
            (OwnerState::Claiming, OwnerEvent::ClaimWon) => self.dispatch_with(Right::Claimed),
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
            _ => OwnerNext::Wait,
        }
    }

    /// Notes that the first byte of an attempt is about to leave.
    ///
    /// Returns whether the attempt may leave at all.
    pub fn may_send(&mut self) -> bool {
        let right = self.repeatable || self.right != Right::None;
        let allowed = right && matches!(self.state, OwnerState::Dispatching(_));
        self.sending |= allowed;
        allowed
    }

    fn on_hold(&mut self, reply: HoldReply) -> OwnerNext {
        match reply {
            HoldReply::Held if self.repeatable => self.dispatch(1),
            HoldReply::Held => self.go(OwnerState::Asking, OwnerNext::Ask),
            HoldReply::Taken(holder) => self.end(Ending::Follow(holder)),
            HoldReply::Undecided | HoldReply::OtherRun => self.on_offer_unanswered(),
            HoldReply::OtherBody => self.end(Ending::Rejected(Code::KeyReused)),
        }
    }

    fn on_offer_unanswered(&mut self) -> OwnerNext {
        if self.repeatable { self.dispatch(1) } else { self.claim() }
    }

    fn on_ask(&mut self, reply: AskReply) -> OwnerNext {
        match reply {
            AskReply::Granted => self.dispatch_with(Right::Granted),
            AskReply::Taken(holder) => self.end(Ending::Follow(holder)),
            AskReply::Undecided | AskReply::NotHeld => self.claim(),
        }
    }

    fn on_void(&mut self, code: Code, reply: VoidReply) -> OwnerNext {
        match reply {
            VoidReply::Voided => self.end(Ending::NotRun(code)),
            VoidReply::Taken(holder) => self.end(Ending::Follow(holder)),
            VoidReply::Undecided => self.end_unvoided(),
        }
    }

    fn on_dispatching(&mut self, attempt: u32, event: OwnerEvent) -> OwnerNext {
        match event {
            OwnerEvent::Answered => self.end(Ending::Answered),
            OwnerEvent::Moved(holder) if self.repeatable => self.end(Ending::Follow(holder)),
            OwnerEvent::NotSent { code, again } => self.on_not_sent(attempt, code, again),
            OwnerEvent::Broke { code, again } => self.on_broke(attempt, code, again),
            OwnerEvent::Refuse(code) => self.give_up(code),
            OwnerEvent::Leave if self.repeatable || !self.may_have_run() => {
                let right = self.right;
                self.go(OwnerState::GivenAway, OwnerNext::HandOver(right))
            }
            _ => OwnerNext::Wait,
        }
    }

    fn on_not_sent(&mut self, attempt: u32, code: Code, again: bool) -> OwnerNext {
        self.sending = false;
        if again { self.dispatch(attempt + 1) } else { self.give_up(code) }
    }

    fn on_broke(&mut self, attempt: u32, code: Code, again: bool) -> OwnerNext {
        self.sent = true;
        self.sending = false;
        if again && self.repeatable {
            self.dispatch(attempt + 1)
        } else {
            self.end(Ending::Unknown(unknown(code)))
        }
    }

    /// Ends a request that no attempt can serve, saying no more than is known.
    fn give_up(&mut self, code: Code) -> OwnerNext {
        if self.may_have_run() {
            return self.end(Ending::Unknown(unknown(code)));
        }
        // The holder of the right knows that nobody else can dispatch.
        if self.right != Right::None {
            return self.end(Ending::NotRun(code));
        }
        self.void(code)
    }

    /// The witness may still take it over, so "not run" would be a guess.
    fn end_unvoided(&mut self) -> OwnerNext {
        self.end(Ending::Unknown(Code::Elsewhere))
    }

    fn dispatch_with(&mut self, right: Right) -> OwnerNext {
        self.right = right;
        self.dispatch(1)
    }

    fn dispatch(&mut self, attempt: u32) -> OwnerNext {
        self.go(OwnerState::Dispatching(attempt), OwnerNext::Dispatch { attempt })
    }

    fn claim(&mut self) -> OwnerNext {
        self.go(OwnerState::Claiming, OwnerNext::Claim)
    }

    fn void(&mut self, code: Code) -> OwnerNext {
        self.go(OwnerState::Voiding(code), OwnerNext::Void)
    }

    fn end(&mut self, ending: Ending) -> OwnerNext {
        self.go(OwnerState::Ended(ending.clone()), OwnerNext::End(ending))
    }

    fn go(&mut self, state: OwnerState, next: OwnerNext) -> OwnerNext {
        self.state = state;
        next
    }
}

/// Returns a code that says "unknown", whatever made the owner give up.
fn unknown(code: Code) -> Code {
    if code.outcome() == Outcome::Unknown { code } else { Code::BackendBroke }
}
