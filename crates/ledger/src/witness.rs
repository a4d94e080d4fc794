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
    /// Its claim in the key-value service is undecided.
    Claiming,
    /// It has become the owner.
    TookOver,
    /// Its claim was lost to this entry.
    LostTo(NodeId),
    /// The owner voided this round.
    Voided(u64),
    /// It gave the record to this entry.
    GivenTo(NodeId),
    /// The owner told it the ending.
    Ended(Ending),
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
    End(Ending),
    /// The owner gives the record away, with its right.
    HandOver(Right),
    /// A caller wants the request while the owner is silent.
    Demand,
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
            WitnessEvent::End(ending) => self.on_end(ending),
            WitnessEvent::HandOver(right) => self.on_hand_over(right),
            WitnessEvent::Demand => self.on_demand(),
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
            WitnessState::Ended(_) if !same_body => HoldReply::OtherBody,
            WitnessState::Held(_) | WitnessState::Spent(_) if !same_body => HoldReply::OtherBody,
            WitnessState::Held(held) if round >= *held => self.hold(round),
            // The owner is the same run that spent the right, so it knows what it did with it.
            WitnessState::Spent(_) => HoldReply::Held,
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
            WitnessState::Claiming => AskReply::Undecided,
            WitnessState::TookOver => AskReply::Taken(self.me.clone()),
            WitnessState::GivenTo(entry) | WitnessState::LostTo(entry) => {
                AskReply::Taken(entry.clone())
            }
            _ => AskReply::NotHeld,
        }
    }

    fn on_void(&mut self, round: u64) -> VoidReply {
        match &self.state {
            WitnessState::Claiming => VoidReply::Undecided,
            WitnessState::TookOver => VoidReply::Taken(self.me.clone()),
            WitnessState::GivenTo(entry) | WitnessState::LostTo(entry) => {
                VoidReply::Taken(entry.clone())
            }
            WitnessState::Held(held) | WitnessState::Spent(held) if *held > round => {
                VoidReply::Undecided
            }
            WitnessState::Ended(_) => VoidReply::Undecided,
            _ => {
                self.state = WitnessState::Voided(round);
                VoidReply::Voided
            }
        }
    }

    fn on_end(&mut self, ending: Ending) -> WitnessNext {
        if matches!(
            self.state,
            WitnessState::Absent | WitnessState::Held(_) | WitnessState::Spent(_)
        ) {
            self.state = WitnessState::Ended(ending);
        }
        WitnessNext::Wait
    }

    fn on_hand_over(&mut self, right: Right) -> WitnessNext {
        match (&self.state, right) {
            // A granted or claimed right moves with the record; so does the sole right to repeat.
            (WitnessState::Held(_) | WitnessState::Spent(_) | WitnessState::Absent, _)
                if self.repeatable || right != Right::None =>
            {
                self.take_over(right)
            }
            // No right was given out yet, and the former owner will never ask again.
            (WitnessState::Held(_) | WitnessState::Absent, Right::None) => {
                self.take_over(Right::Granted)
            }
            _ => WitnessNext::Wait,
        }
    }

    fn on_demand(&mut self) -> WitnessNext {
        match &self.state {
            WitnessState::Absent | WitnessState::Held(_) | WitnessState::Voided(_) => {
                self.take_or_claim()
            }
            WitnessState::Spent(_) if self.repeatable => self.take_over(Right::None),
            WitnessState::Spent(_) => WitnessNext::Tell(Ending::Unknown(Code::OwnerSilent)),
            WitnessState::Claiming => WitnessNext::Tell(Ending::Unknown(Code::Elsewhere)),
            WitnessState::LostTo(entry) | WitnessState::GivenTo(entry) => {
                WitnessNext::Tell(Ending::Follow(entry.clone()))
            }
            WitnessState::Ended(ending) => WitnessNext::Tell(ending.clone()),
            WitnessState::TookOver => WitnessNext::Wait,
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
        // The claim may still take effect, so the state stays: this witness grants nothing.
        if self.state != WitnessState::Claiming {
            return WitnessNext::Wait;
        }
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
