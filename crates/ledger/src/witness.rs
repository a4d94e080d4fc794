//! State machine of the witness of a request.

use crate::message::{AskReply, Ending, HoldReply, Right, VoidReply};
use kernel::{Code, NodeId};

/// State of a request at its witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessState {
    /// This incarnation of the witness has no record of the request.
    Absent,
    /// The witness holds the record of this round.
    Held(u64),
    /// The witness granted the dispatch right of this round to the owner.
    ///
    /// The witness no longer claims the right. It takes the request over only if the owner
    /// declined the request or handed it over, or if the request may run more than once.
    Spent(u64),
    /// The claim of the witness in the key-value service is in progress.
    Claiming,
    /// The claim may or may not have taken effect; a later submission claims again.
    Undecided,
    /// The witness has become the owner.
    TookOver,
    /// The claim was lost to the given entry.
    LostTo(NodeId),
    /// This round was voided at the request of the owner.
    Voided(u64),
    /// The witness handed the record over to the given entry.
    GivenTo(NodeId),
    /// The owner reported the ending of this round.
    Ended(u64, Ending),
}

/// Event at the witness of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessEvent {
    /// The owner offers the record.
    Hold {
        /// Number of the round; a caller starts the next one by sending the request again after a
        /// round that did not run.
        round: u64,
        /// Whether the body equals the one that the witness holds.
        same_body: bool,
    },
    /// The owner asks for the dispatch right.
    Ask {
        /// Current round of the owner.
        round: u64,
    },
    /// The owner asks to void the record.
    Void {
        /// Current round of the owner.
        round: u64,
    },
    /// The owner reports the ending.
    End {
        /// Current round of the owner.
        round: u64,
        /// How the request ended.
        ending: Ending,
    },
    /// The owner hands the record over, with its dispatch right.
    HandOver(Right),
    /// A caller sent the request while the owner does not respond.
    Submitted,
    /// A caller sent the request while the owner is leaving: the owner declined the request and
    /// does not dispatch any of its rounds any more.
    OwnerDeclined,
    /// A caller reads the answer while the owner does not respond.
    Read,
    /// The incarnation of the owner is gone.
    OwnerGone,
    /// The claim was won.
    ClaimWon,
    /// The claim was lost to the given entry.
    ClaimLost(NodeId),
    /// The key-value service did not respond, so the result of the claim is unknown.
    ClaimUndecided,
    /// This entry is leaving and handed the record over to the given entry.
    HandedOverTo(NodeId),
}

/// The next action of the witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessAction {
    /// Wait for another event.
    Wait,
    /// Reply to an offer of the record.
    ReplyToHold(HoldReply),
    /// Reply to a request for the dispatch right.
    ReplyToAsk(AskReply),
    /// Reply to a request to void the record.
    ReplyToVoid(VoidReply),
    /// Claim the dispatch right in the key-value service.
    Claim,
    /// Become the owner, with this dispatch right.
    TakeOver(Right),
    /// Report this ending to the callers that wait at this entry.
    Report(Ending),
    /// Refuse the hand-over of the record.
    RefuseHandOver,
}

/// One request at its witness.
#[derive(Clone, Debug)]
pub struct Witness {
    me: NodeId,
    state: WitnessState,
    repeatable: bool,
}

impl Witness {
    /// Creates the state of a request that the witness has no record of.
    pub fn new(me: NodeId, repeatable: bool) -> Self {
        Self { me, state: WitnessState::Absent, repeatable }
    }

    /// Creates the state of a request with a round that was voided before its record arrived.
    pub fn voided(me: NodeId, repeatable: bool, round: u64) -> Self {
        Self { state: WitnessState::Voided(round), ..Self::new(me, repeatable) }
    }

    /// Returns the state of the request.
    pub fn state(&self) -> &WitnessState {
        &self.state
    }

    /// Returns the next action after an event.
    pub fn handle(&mut self, event: WitnessEvent) -> WitnessAction {
        match event {
            WitnessEvent::Hold { round, same_body } => {
                WitnessAction::ReplyToHold(self.on_hold(round, same_body))
            }
            WitnessEvent::Ask { round } => WitnessAction::ReplyToAsk(self.on_ask(round)),
            WitnessEvent::Void { round } => WitnessAction::ReplyToVoid(self.on_void(round)),
            WitnessEvent::End { round, ending } => self.on_end(round, ending),
            WitnessEvent::HandOver(right) => self.on_hand_over(right),
            WitnessEvent::Submitted => self.on_submitted(),
            WitnessEvent::OwnerDeclined => self.on_owner_declined(),
            WitnessEvent::Read => self.on_read(),
            WitnessEvent::OwnerGone => self.on_owner_gone(),
            WitnessEvent::ClaimWon => self.on_claim_won(),
            WitnessEvent::ClaimLost(holder) => self.on_claim_lost(holder),
            WitnessEvent::ClaimUndecided => self.on_claim_undecided(),
            WitnessEvent::HandedOverTo(entry) => self.on_handed_over_to(entry),
        }
    }

    fn on_hold(&mut self, round: u64, same_body: bool) -> HoldReply {
        match &self.state {
            WitnessState::Absent => self.hold(round),
            WitnessState::Voided(voided) if round > *voided => self.hold(round),
            WitnessState::Held(_) | WitnessState::Spent(_) | WitnessState::Ended(..)
                if !same_body =>
            {
                HoldReply::OtherBody
            }
            WitnessState::Held(held) if round >= *held => self.hold(round),
            // The offer comes from the incarnation of the owner that received the right. It starts
            // another round only if nothing was sent to a backend server in the earlier one.
            WitnessState::Spent(granted) if round > *granted => self.hold(round),
            WitnessState::Spent(granted) if round == *granted => HoldReply::Held,
            WitnessState::Ended(ended, Ending::NotRun(_)) if round > *ended => self.hold(round),
            WitnessState::TookOver => HoldReply::Taken(self.me.clone()),
            WitnessState::GivenTo(entry) | WitnessState::LostTo(entry) => {
                HoldReply::Taken(entry.clone())
            }
            _ => HoldReply::Undecided,
        }
    }

    fn hold(&mut self, round: u64) -> HoldReply {
        self.state = WitnessState::Held(round);
        HoldReply::Held
    }

    fn on_ask(&mut self, round: u64) -> AskReply {
        match &self.state {
            WitnessState::Held(held) if *held == round => {
                self.state = WitnessState::Spent(round);
                AskReply::Granted
            }
            // The first reply may have been lost, so the same owner asks again.
            WitnessState::Spent(granted) if *granted == round => AskReply::Granted,
            WitnessState::Claiming | WitnessState::Undecided => AskReply::Undecided,
            WitnessState::TookOver => AskReply::Taken(self.me.clone()),
            WitnessState::GivenTo(entry) | WitnessState::LostTo(entry) => {
                AskReply::Taken(entry.clone())
            }
            _ => AskReply::NotHeld,
        }
    }

    fn on_void(&mut self, round: u64) -> VoidReply {
        match &self.state {
            WitnessState::Claiming | WitnessState::Undecided => VoidReply::Undecided,
            WitnessState::TookOver => VoidReply::Taken(self.me.clone()),
            WitnessState::GivenTo(entry) | WitnessState::LostTo(entry) => {
                VoidReply::Taken(entry.clone())
            }
            WitnessState::Held(held) | WitnessState::Spent(held) if *held > round => {
                VoidReply::Undecided
            }
            WitnessState::Voided(voided) if *voided > round => VoidReply::Undecided,
            WitnessState::Ended(..) => VoidReply::Undecided,
            _ => {
                self.state = WitnessState::Voided(round);
                VoidReply::Voided
            }
        }
    }

    fn on_end(&mut self, round: u64, ending: Ending) -> WitnessAction {
        let accepts = match &self.state {
            WitnessState::Absent => true,
            WitnessState::Held(held) | WitnessState::Spent(held) => round >= *held,
            _ => false,
        };
        if accepts {
            self.state = WitnessState::Ended(round, ending);
        }
        WitnessAction::Wait
    }

    fn on_hand_over(&mut self, right: Right) -> WitnessAction {
        let accepts = matches!(
            self.state,
            WitnessState::Absent | WitnessState::Held(_) | WitnessState::Spent(_)
        );
        // The dispatch right moves with the record. A record without the right is accepted only if
        // the request may run more than once.
        if accepts && (self.repeatable || right != Right::None) {
            return self.take_over(right);
        }
        WitnessAction::RefuseHandOver
    }

    fn on_submitted(&mut self) -> WitnessAction {
        match &self.state {
            WitnessState::Absent
            | WitnessState::Held(_)
            | WitnessState::Voided(_)
            | WitnessState::Undecided
            | WitnessState::Ended(_, Ending::NotRun(_)) => self.take_over_or_claim(),
            _ => self.on_read(),
        }
    }

    fn on_owner_declined(&mut self) -> WitnessAction {
        match &self.state {
            WitnessState::Absent
            | WitnessState::Held(_)
            | WitnessState::Spent(_)
            | WitnessState::Voided(_)
            | WitnessState::Undecided
            | WitnessState::Ended(_, Ending::NotRun(_)) => self.take_over(Right::Granted),
            _ => self.on_read(),
        }
    }

    /// Handles a read. A read takes over or claims a request only if its record is held and not
    /// voided, or if the right was granted and the request may run more than once.
    fn on_read(&mut self) -> WitnessAction {
        match &self.state {
            WitnessState::Held(_) => self.take_over_or_claim(),
            WitnessState::Spent(_) if self.repeatable => self.take_over(Right::None),
            WitnessState::LostTo(entry) | WitnessState::GivenTo(entry) => {
                WitnessAction::Report(Ending::Follow(entry.clone()))
            }
            // The owner may have started another round in the meantime.
            WitnessState::Ended(_, Ending::NotRun(_))
            | WitnessState::Absent
            | WitnessState::Spent(_)
            | WitnessState::Voided(_) => WitnessAction::Report(Ending::Unknown(Code::OwnerSilent)),
            WitnessState::Undecided => WitnessAction::Report(Ending::Unknown(Code::Elsewhere)),
            WitnessState::Ended(_, ending) => WitnessAction::Report(ending.clone()),
            WitnessState::Claiming | WitnessState::TookOver => WitnessAction::Wait,
        }
    }

    /// Returns the round that is over without having run, if there is one.
    pub fn round_not_run(&self) -> Option<u64> {
        match &self.state {
            WitnessState::Voided(round) | WitnessState::Ended(round, Ending::NotRun(_)) => {
                Some(*round)
            }
            _ => None,
        }
    }

    fn on_owner_gone(&mut self) -> WitnessAction {
        // A request that must not run twice waits until its caller sends it again: the owner may
        // have reported "not run" to the caller just before it stopped.
        match self.state {
            WitnessState::Held(_) if self.repeatable => self.take_over(Right::None),
            _ => WitnessAction::Wait,
        }
    }

    fn take_over_or_claim(&mut self) -> WitnessAction {
        if self.repeatable {
            return self.take_over(Right::None);
        }
        self.state = WitnessState::Claiming;
        WitnessAction::Claim
    }

    fn on_claim_won(&mut self) -> WitnessAction {
        if self.state != WitnessState::Claiming {
            return WitnessAction::Wait;
        }
        self.take_over(Right::Claimed)
    }

    fn on_claim_lost(&mut self, holder: NodeId) -> WitnessAction {
        if self.state != WitnessState::Claiming {
            return WitnessAction::Wait;
        }
        self.state = WitnessState::LostTo(holder.clone());
        WitnessAction::Report(Ending::Follow(holder))
    }

    fn on_claim_undecided(&mut self) -> WitnessAction {
        if self.state != WitnessState::Claiming {
            return WitnessAction::Wait;
        }
        // The claim may still take effect, so this witness keeps refusing to grant the right.
        self.state = WitnessState::Undecided;
        WitnessAction::Report(Ending::Unknown(Code::Elsewhere))
    }

    fn on_handed_over_to(&mut self, entry: NodeId) -> WitnessAction {
        if matches!(self.state, WitnessState::Held(_) | WitnessState::Spent(_)) {
            self.state = WitnessState::GivenTo(entry);
        }
        WitnessAction::Wait
    }

    fn take_over(&mut self, right: Right) -> WitnessAction {
        self.state = WitnessState::TookOver;
        WitnessAction::TakeOver(right)
    }
}
