//! What the witness of a request does next.

use crate::message::{AskReply, Ending, HoldReply, Right, VoidReply};
use kernel::{Code, NodeId};

/// Where the witness stands with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessState {
    /// It knows nothing of it in this run.
    Absent,
    /// It holds the record of this round.
    Held(u64),
    /// It granted the dispatch right of this round and will never take over.
    Spent(u64),
    /// Its claim in the key-value service is under way.
    Claiming,
    /// Its claim may or may not have taken effect; a later demand claims again.
    Undecided,
    /// It has become the owner.
    TookOver,
    /// Its claim was lost to this entry.
    LostTo(NodeId),
    /// The owner voided this round.
    Voided(u64),
    /// It gave the record to this entry.
    GivenTo(NodeId),
    /// The owner told it the ending of this round.
    Ended(u64, Ending),
}

/// What happened to the request at its witness.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessEvent {
    /// The owner offers the record.
    Hold {
        /// Counts the times the caller sent it again after it was voided.
        round: u64,
        /// Whether the body is the one held already.
        same_body: bool,
    },
    /// The owner asks for the dispatch right.
    Ask {
        /// Round of the owner.
        round: u64,
    },
    /// The owner asks to void the record.
    Void {
        /// Round of the owner.
        round: u64,
    },
    /// The owner tells the ending.
    End {
        /// Round of the owner.
        round: u64,
        /// How it ended.
        ending: Ending,
    },
    /// The owner gives the record away, with its right.
    HandOver(Right),
    /// A caller sent the request while the owner is silent.
    Demand,
    /// A caller sent the request while the owner is leaving: it declined it, and dispatches none of
    /// its rounds any more.
    Declined,
    /// A caller reads the answer while the owner is silent.
    Read,
    /// The owner's run is over.
    OwnerGone,
    /// The claim was won.
    ClaimWon,
    /// The claim was lost to another entry.
    ClaimLost(NodeId),
    /// The key-value service stays silent.
    ClaimUndecided,
    /// This entry is leaving and another took the record.
    GaveTo(NodeId),
}

/// What the witness does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WitnessNext {
    /// Nothing.
    Wait,
    /// Answer an offer.
    Hold(HoldReply),
    /// Answer a request for the right.
    Ask(AskReply),
    /// Answer a request to void.
    Void(VoidReply),
    /// Claim the right in the key-value service.
    Claim,
    /// Become the owner, with this right.
    TakeOver(Right),
    /// Tell the caller that waits here.
    Tell(Ending),
    /// Refuse the hand-over.
    RefuseHandOver,
}

/// The witness's side of one request.
#[derive(Clone, Debug)]
pub struct Witness {
    me: NodeId,
    state: WitnessState,
    repeatable: bool,
}

impl Witness {
    /// Starts without knowledge of the request.
    pub fn new(me: NodeId, repeatable: bool) -> Self {
        Self { me, state: WitnessState::Absent, repeatable }
    }

    /// Starts with a round that was voided before the record came.
    pub fn voided(me: NodeId, repeatable: bool, round: u64) -> Self {
        Self { state: WitnessState::Voided(round), ..Self::new(me, repeatable) }
    }

    /// Returns where the witness stands.
    pub fn state(&self) -> &WitnessState {
        &self.state
    }

    /// Decides the next step.
    pub fn next(&mut self, event: WitnessEvent) -> WitnessNext {
        match event {
            WitnessEvent::Hold { round, same_body } => {
                WitnessNext::Hold(self.on_hold(round, same_body))
            }
            WitnessEvent::Ask { round } => WitnessNext::Ask(self.on_ask(round)),
            WitnessEvent::Void { round } => WitnessNext::Void(self.on_void(round)),
            WitnessEvent::End { round, ending } => self.on_end(round, ending),
            WitnessEvent::HandOver(right) => self.on_hand_over(right),
            WitnessEvent::Demand => self.on_demand(),
            WitnessEvent::Declined => self.on_declined(),
            WitnessEvent::Read => self.on_read(),
            WitnessEvent::OwnerGone => self.on_owner_gone(),
            WitnessEvent::ClaimWon => self.on_claim_won(),
            WitnessEvent::ClaimLost(holder) => self.on_claim_lost(holder),
            WitnessEvent::ClaimUndecided => self.on_claim_undecided(),
            WitnessEvent::GaveTo(entry) => self.on_gave(entry),
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
            // The owner is the same run that spent the right, so it knows that nothing was sent.
            WitnessState::Spent(spent) if round > *spent => self.hold(round),
            WitnessState::Spent(spent) if round == *spent => HoldReply::Held,
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
            // The first answer may have been lost; the same owner asks again.
            WitnessState::Spent(spent) if *spent == round => AskReply::Granted,
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

    fn on_end(&mut self, round: u64, ending: Ending) -> WitnessNext {
        let present = match &self.state {
            WitnessState::Absent => true,
            WitnessState::Held(held) | WitnessState::Spent(held) => round >= *held,
            _ => false,
        };
        if present {
            self.state = WitnessState::Ended(round, ending);
        }
        WitnessNext::Wait
    }

    fn on_hand_over(&mut self, right: Right) -> WitnessNext {
        let open = matches!(
            self.state,
            WitnessState::Absent | WitnessState::Held(_) | WitnessState::Spent(_)
        );
        // A right moves with the record; without one only a request that may be repeated moves.
        if open && (self.repeatable || right != Right::None) {
            return self.take_over(right);
        }
        WitnessNext::RefuseHandOver
    }

    fn on_demand(&mut self) -> WitnessNext {
        match &self.state {
            WitnessState::Absent
            | WitnessState::Held(_)
            | WitnessState::Voided(_)
            | WitnessState::Undecided
            | WitnessState::Ended(_, Ending::NotRun(_)) => self.take_or_claim(),
            _ => self.on_read(),
        }
    }

    fn on_declined(&mut self) -> WitnessNext {
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

    /// Reading starts nothing but a request that is held and was not voided.
    fn on_read(&mut self) -> WitnessNext {
        match &self.state {
            WitnessState::Held(_) => self.take_or_claim(),
            WitnessState::Spent(_) if self.repeatable => self.take_over(Right::None),
            WitnessState::LostTo(entry) | WitnessState::GivenTo(entry) => {
                WitnessNext::Tell(Ending::Follow(entry.clone()))
            }
            // The owner may have begun another round since.
            WitnessState::Ended(_, Ending::NotRun(_))
            | WitnessState::Absent
            | WitnessState::Spent(_)
            | WitnessState::Voided(_) => WitnessNext::Tell(Ending::Unknown(Code::OwnerSilent)),
            WitnessState::Undecided => WitnessNext::Tell(Ending::Unknown(Code::Elsewhere)),
            WitnessState::Ended(_, ending) => WitnessNext::Tell(ending.clone()),
            WitnessState::Claiming | WitnessState::TookOver => WitnessNext::Wait,
        }
    }

    /// Returns the round that is over without a run, if it is.
    pub fn round_over(&self) -> Option<u64> {
        match &self.state {
            WitnessState::Voided(round) | WitnessState::Ended(round, Ending::NotRun(_)) => {
                Some(*round)
            }
            _ => None,
        }
    }

    fn on_owner_gone(&mut self) -> WitnessNext {
        // A request that may not be repeated waits for its caller to ask again: the owner may have
        // told the caller "not run" in its last moment.
        match self.state {
            WitnessState::Held(_) if self.repeatable => self.take_over(Right::None),
            _ => WitnessNext::Wait,
        }
    }

    fn take_or_claim(&mut self) -> WitnessNext {
        if self.repeatable {
            return self.take_over(Right::None);
        }
        self.state = WitnessState::Claiming;
        WitnessNext::Claim
    }

    fn on_claim_won(&mut self) -> WitnessNext {
        if self.state != WitnessState::Claiming {
            return WitnessNext::Wait;
        }
        self.take_over(Right::Claimed)
    }

    fn on_claim_lost(&mut self, holder: NodeId) -> WitnessNext {
        if self.state != WitnessState::Claiming {
            return WitnessNext::Wait;
        }
        self.state = WitnessState::LostTo(holder.clone());
        WitnessNext::Tell(Ending::Follow(holder))
    }

    fn on_claim_undecided(&mut self) -> WitnessNext {
        if self.state != WitnessState::Claiming {
            return WitnessNext::Wait;
        }
        // The claim may still take effect: this witness goes on granting nothing.
        self.state = WitnessState::Undecided;
        WitnessNext::Tell(Ending::Unknown(Code::Elsewhere))
    }

    fn on_gave(&mut self, entry: NodeId) -> WitnessNext {
        if matches!(self.state, WitnessState::Held(_) | WitnessState::Spent(_)) {
            self.state = WitnessState::GivenTo(entry);
        }
        WitnessNext::Wait
    }

    fn take_over(&mut self, right: Right) -> WitnessNext {
        self.state = WitnessState::TookOver;
        WitnessNext::TakeOver(right)
    }
}
