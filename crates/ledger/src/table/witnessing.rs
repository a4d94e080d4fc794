//! The witness's side, and answers to other entries.

use super::Step;
use super::input::{Action, Holder, Response, Ticket};
use super::placing::pick;
use super::record::{Record, Replica, Role};
use crate::Chunk;
use crate::message::{
    AskReply, Ending, HoldReply, Message, MessageReply, RequestSpec, Right, VoidReply,
};
use crate::owner::{Owner, OwnerNext};
use crate::witness::{Witness, WitnessEvent, WitnessNext, WitnessState};
use kernel::{Code, Failure, Key, NodeId};

impl Step<'_> {
    /// Answers a message of another entry.
    pub(super) fn receive(&mut self, ticket: Ticket, message: Message) {
        let reply = match message {
            Message::Submit { terms, round, .. } => {
                return self.submit(ticket, terms, Some(round));
            }
            Message::Hold { terms, round, owner } => self.on_hold(terms, round, owner),
            Message::Ask { key, round } => self.on_ask(&key, round),
            Message::Void { key, round } => self.on_void(key, round),
            Message::Progress { key, round, from, chunks, ending } => {
                self.on_progress(&key, round, from, chunks, ending)
            }
            Message::HandOver { terms, owner, round, right, chunks } => {
                self.on_hand_over(terms, &owner, round, right, chunks)
            }
        };
        self.respond(ticket, Response::Reply(reply));
    }

    /// Finds a record, or makes one that witnesses for `owner`.
    fn witnessed(&mut self, terms: &RequestSpec, owner: &NodeId, round: u64) -> &mut Record {
        let (me, key) = (self.me(), &terms.key);
        let voided = self.table.voided.iter().filter_map(|voided| voided.get(key)).max().copied();
        self.table.records.entry(key.clone()).or_insert_with(|| {
            let witness = match voided {
                Some(round) => Witness::voided(me, terms.repeatable, round),
                None => Witness::new(me, terms.repeatable),
            };
            Record::new(terms.clone(), Role::Witness(witness, owner.clone()), round)
        })
    }

    fn on_hold(&mut self, terms: RequestSpec, round: u64, owner: NodeId) -> MessageReply {
        let me = self.me();
        let record = self.witnessed(&terms, &owner, round);
        let same_body = record.terms.digest == terms.digest;
        let Role::Witness(witness, known) = &mut record.role else {
            return MessageReply::Hold(HoldReply::Taken(me));
        };
        let next = witness.next(WitnessEvent::Hold { round, same_body });
        if next == WitnessNext::Hold(HoldReply::Held) {
            *known = owner;
            record.round = record.round.max(round);
        }
        match next {
            WitnessNext::Hold(reply) => MessageReply::Hold(reply),
            _ => MessageReply::Hold(HoldReply::Undecided),
        }
    }

    fn on_ask(&mut self, key: &Key, round: u64) -> MessageReply {
        let me = self.me();
        let Some(record) = self.record(key) else { return MessageReply::Ask(AskReply::NotHeld) };
        let Role::Witness(witness, _) = &mut record.role else {
            return MessageReply::Ask(AskReply::Taken(me));
        };
        match witness.next(WitnessEvent::Ask { round }) {
            WitnessNext::Ask(reply) => MessageReply::Ask(reply),
            _ => MessageReply::Ask(AskReply::Undecided),
        }
    }

    fn on_void(&mut self, key: Key, round: u64) -> MessageReply {
        let me = self.me();
        let Some(record) = self.table.records.get_mut(&key) else {
            // Remembered, so that a late message does not start what was called not run.
            let voided = self.table.voided[0].entry(key).or_insert(round);
            *voided = round.max(*voided);
            return MessageReply::Void(VoidReply::Voided);
        };
        let Role::Witness(witness, _) = &mut record.role else {
            return MessageReply::Void(VoidReply::Taken(me));
        };
        match witness.next(WitnessEvent::Void { round }) {
            WitnessNext::Void(reply) => MessageReply::Void(reply),
            _ => MessageReply::Void(VoidReply::Undecided),
        }
    }

    fn on_progress(
        &mut self,
        key: &Key,
        round: u64,
        from: usize,
        chunks: Vec<Chunk>,
        ending: Option<Ending>,
    ) -> MessageReply {
        let me = self.me();
        let Some(record) = self.record(key) else {
            return MessageReply::Failure(Failure::new(Code::UnknownKey, key.to_string()));
        };
        let Role::Witness(witness, _) = &mut record.role else { return MessageReply::Taken(me) };
        for (number, chunk) in (from..).zip(chunks) {
            record.answer.append(number, chunk);
        }
        if let Some(ending) = ending {
            witness.next(WitnessEvent::End { round, ending: ending.clone() });
            if matches!(witness.state(), WitnessState::Ended(ended, _) if *ended == round) {
                record.answer.set_alone(true);
                record.ending = Some(ending.clone());
                record.shown = Self::shown_by_witness(&ending);
            }
        }
        let has = record.answer.len();
        self.actions.push(Action::Changed(key.clone()));
        MessageReply::Have(has)
    }

    fn on_hand_over(
        &mut self,
        terms: RequestSpec,
        owner: &NodeId,
        round: u64,
        right: Right,
        chunks: Vec<Chunk>,
    ) -> MessageReply {
        let refused = MessageReply::Failure(Failure::new(Code::Elsewhere, terms.key.to_string()));
        let known = self.table.records.contains_key(&terms.key);
        if self.table.refuses_new && !known {
            return refused;
        }
        let (leaves, me) = (self.table.refuses_new, self.me());
        let record = self.witnessed(&terms, owner, round);
        // The first answer was lost and the leaving owner sent it again.
        if record.taken_from.as_ref() == Some(owner) {
            return MessageReply::Done;
        }
        // The owner got it from this entry, which is leaving as well.
        if record.given_to.contains(owner) {
            return refused;
        }
        // What ended here without a run says nothing of a later round.
        if record.next_round().is_some_and(|next| round >= next) && !leaves {
            record.role = Role::Witness(Witness::new(me, terms.repeatable), owner.clone());
        }
        let over = record.next_round().is_some();
        let Role::Witness(witness, _) = &mut record.role else {
            return if over { refused } else { MessageReply::Done };
        };
        if leaves {
            return refused;
        }
        let WitnessNext::TakeOver(right) = witness.next(WitnessEvent::HandOver(right)) else {
            return refused;
        };
        record.round = round;
        record.taken_from = Some(owner.clone());
        for (number, chunk) in (0..).zip(chunks) {
            record.answer.append(number, chunk);
        }
        self.become_owner(&terms.key, right);
        MessageReply::Done
    }

    /// Takes a request over whose owner is silent or declined it, as far as that is safe.
    pub(super) fn demand(
        &mut self,
        ticket: Ticket,
        terms: RequestSpec,
        owner: &NodeId,
        round: Option<u64>,
        event: WitnessEvent,
    ) {
        if self.table.refuses_new {
            let failure = Failure::new(Code::Leaving, self.table.me.to_string()).rejected();
            return self.respond(ticket, Response::Failed(failure));
        }
        let record = self.witnessed(&terms, owner, round.unwrap_or(1));
        if record.terms.digest != terms.digest {
            let failure = Failure::new(Code::KeyReused, terms.key.to_string());
            return self.respond(ticket, Response::Failed(failure));
        }
        let Role::Witness(witness, _) = &mut record.role else {
            return self.respond(ticket, Response::Located(Holder::Local));
        };
        let over = witness.round_over();
        if let Some(over) = over.filter(|over| round.is_some_and(|round| round <= *over)) {
            return self.respond(ticket, Response::Over(over));
        }
        record.round = record.round.max(over.map_or(1, |over| over + 1));
        let next = witness.next(event);
        record.waiting.push(ticket);
        self.perform_as_witness(&terms.key, next);
    }

    /// Serves a caller that reads while the owner is silent.
    pub(super) fn read(&mut self, ticket: Ticket, key: &Key) {
        let Some(record) = self.record(key) else {
            let failure = Failure::new(Code::UnknownKey, key.to_string());
            return self.respond(ticket, Response::Failed(failure));
        };
        let Role::Witness(witness, _) = &mut record.role else {
            return self.respond(ticket, Response::Located(Holder::Local));
        };
        let next = witness.next(WitnessEvent::Read);
        record.waiting.push(ticket);
        self.perform_as_witness(key, next);
    }

    pub(super) fn perform_as_witness(&mut self, key: &Key, next: WitnessNext) {
        match next {
            WitnessNext::Claim => self.actions.push(Action::Claim(key.clone())),
            WitnessNext::TakeOver(right) => self.become_owner(key, right),
            // What a witness tells is not the end of the record: the owner may come back.
            WitnessNext::Tell(ending) => self.respond_all(key, &told(ending, key)),
            _ => {}
        }
    }

    pub(super) fn take_over_from_gone(&mut self, key: &Key) {
        let members = self.members;
        let Some(record) = self.record(key) else { return };
        let Role::Witness(witness, owner) = &mut record.role else { return };
        if !members.is_gone(owner) {
            return;
        }
        let next = witness.next(WitnessEvent::OwnerGone);
        self.perform_as_witness(key, next);
    }

    /// Turns the record of a witness into that of an owner.
    fn become_owner(&mut self, key: &Key, right: Right) {
        let members = self.members;
        let Some(record) = self.record(key) else { return };
        let repeatable = record.terms.repeatable;
        let Role::Witness(_, former) = &record.role else { return };
        let former = former.clone();
        record.role = Role::Owner(Owner::take_over(repeatable, right));
        record.ending = None;
        record.shown = None;
        // A copy of a request that may not be repeated would be a second candidate for its claim.
        let witness = if repeatable { pick(members, key, &[former]) } else { None };
        record.replica = witness.clone().map_or(Replica::Lost, Replica::Offered);
        // What the former owner was told to be held here may have been shown.
        let held = record.answer.len();
        record.answer.witnessed(held);
        record.answer.set_alone(witness.is_none());
        if let Some(to) = witness {
            self.send_hold(key, to);
        }
        self.perform(key, OwnerNext::Dispatch { attempt: 1 });
        self.actions.push(Action::Changed(key.clone()));
    }
}

/// Returns what a caller is told who asks a witness.
fn told(ending: Ending, key: &Key) -> Response {
    match ending {
        Ending::Answered => Response::Located(Holder::Local),
        Ending::Follow(entry) => Response::Located(Holder::Remote(entry, vec![])),
        Ending::Unknown(code) | Ending::NotRun(code) => {
            Response::Failed(Failure::new(code, key.to_string()))
        }
        Ending::Rejected(code) => Response::Failed(Failure::new(code, key.to_string()).rejected()),
    }
}
