//! Requests that this entry witnesses, and replies to messages of other entries.

use super::Step;
use super::input::{Action, Holder, Response, Ticket};
use super::placement::pick_peer;
use super::record::{Record, Replica, Role};
use crate::Chunk;
use crate::message::{
    AskReply, Ending, HoldReply, Message, MessageReply, RequestSpec, Right, VoidReply,
};
use crate::owner::{Owner, OwnerAction};
use crate::witness::{Witness, WitnessAction, WitnessEvent, WitnessState};
use kernel::{Code, Failure, Key, NodeId};

impl Step<'_> {
    /// Handles a message of another entry and responds to it.
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

    /// Returns the record of a request; creates one as the witness of `owner` if there is none.
    fn witness_record(&mut self, spec: &RequestSpec, owner: &NodeId, round: u64) -> &mut Record {
        let (me, key) = (self.me(), &spec.key);
        let voided = self.table.voided.iter().filter_map(|voided| voided.get(key)).max().copied();
        self.table.records.entry(key.clone()).or_insert_with(|| {
            let witness = match voided {
                Some(round) => Witness::voided(me, spec.repeatable, round),
                None => Witness::new(me, spec.repeatable),
            };
            Record::new(spec.clone(), Role::Witness(witness, owner.clone()), round)
        })
    }

    fn on_hold(&mut self, spec: RequestSpec, round: u64, owner: NodeId) -> MessageReply {
        let me = self.me();
        let record = self.witness_record(&spec, &owner, round);
        let same_body = record.spec.digest == spec.digest;
        let Role::Witness(witness, known) = &mut record.role else {
            return MessageReply::Hold(HoldReply::Taken(me));
        };
        let action = witness.handle(WitnessEvent::Hold { round, same_body });
        if action == WitnessAction::ReplyToHold(HoldReply::Held) {
            *known = owner;
            record.round = record.round.max(round);
        }
        match action {
            WitnessAction::ReplyToHold(reply) => MessageReply::Hold(reply),
            _ => MessageReply::Hold(HoldReply::Undecided),
        }
    }

    fn on_ask(&mut self, key: &Key, round: u64) -> MessageReply {
        let me = self.me();
        let Some(record) = self.record(key) else { return MessageReply::Ask(AskReply::NotHeld) };
        let Role::Witness(witness, _) = &mut record.role else {
            return MessageReply::Ask(AskReply::Taken(me));
        };
        match witness.handle(WitnessEvent::Ask { round }) {
            WitnessAction::ReplyToAsk(reply) => MessageReply::Ask(reply),
            _ => MessageReply::Ask(AskReply::Undecided),
        }
    }

    fn on_void(&mut self, key: Key, round: u64) -> MessageReply {
        let me = self.me();
        let Some(record) = self.table.records.get_mut(&key) else {
            // The void is recorded so that a late message cannot start a round that was reported as
            // not run.
            let voided = self.table.voided[0].entry(key).or_insert(round);
            *voided = round.max(*voided);
            return MessageReply::Void(VoidReply::Voided);
        };
        let Role::Witness(witness, _) = &mut record.role else {
            return MessageReply::Void(VoidReply::Taken(me));
        };
        match witness.handle(WitnessEvent::Void { round }) {
            WitnessAction::ReplyToVoid(reply) => MessageReply::Void(reply),
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
            witness.handle(WitnessEvent::End { round, ending: ending.clone() });
            if matches!(witness.state(), WitnessState::Ended(ended, _) if *ended == round) {
                record.answer.set_unreplicated(true);
                record.ending = Some(ending.clone());
                record.visible_ending = Self::ending_visible_at_witness(&ending);
                record.release_body();
            }
        }
        let has = record.answer.len();
        self.actions.push(Action::Changed(key.clone()));
        MessageReply::Have(has)
    }

    fn on_hand_over(
        &mut self,
        spec: RequestSpec,
        owner: &NodeId,
        round: u64,
        right: Right,
        chunks: Vec<Chunk>,
    ) -> MessageReply {
        let refused = MessageReply::Failure(Failure::new(Code::Elsewhere, spec.key.to_string()));
        let known = self.table.records.contains_key(&spec.key);
        if self.table.refuses_new && !known {
            return refused;
        }
        let (leaving, me) = (self.table.refuses_new, self.me());
        let record = self.witness_record(&spec, owner, round);
        // The first reply was lost, and the leaving owner sent the record again.
        if record.handed_over_by.as_ref() == Some(owner) {
            return MessageReply::Done;
        }
        // The owner received the record from this entry, which is leaving as well.
        if record.hand_over_tried.contains(owner) {
            return refused;
        }
        // The known round ended without having run, which does not decide a later round: this entry
        // becomes the witness again to receive it.
        if record.next_round().is_some_and(|next| round >= next) && !leaving {
            record.role = Role::Witness(Witness::new(me, spec.repeatable), owner.clone());
        }
        let over = record.next_round().is_some();
        let Role::Witness(witness, _) = &mut record.role else {
            return if over { refused } else { MessageReply::Done };
        };
        if leaving {
            return refused;
        }
        let WitnessAction::TakeOver(right) = witness.handle(WitnessEvent::HandOver(right)) else {
            return refused;
        };
        record.round = round;
        record.handed_over_by = Some(owner.clone());
        for (number, chunk) in (0..).zip(chunks) {
            record.answer.append(number, chunk);
        }
        self.become_owner(&spec.key, right);
        MessageReply::Done
    }

    /// Handles a request whose owner does not respond or declined it: takes it over or claims it
    /// if its state allows that.
    pub(super) fn submit_to_witness(
        &mut self,
        ticket: Ticket,
        spec: RequestSpec,
        owner: &NodeId,
        round: Option<u64>,
        event: WitnessEvent,
    ) {
        if self.table.refuses_new {
            let failure = Failure::new(Code::Leaving, self.table.me.to_string()).rejected();
            return self.respond(ticket, Response::Failed(failure));
        }
        let record = self.witness_record(&spec, owner, round.unwrap_or(1));
        if record.spec.digest != spec.digest {
            let failure = Failure::new(Code::KeyReused, spec.key.to_string());
            return self.respond(ticket, Response::Failed(failure));
        }
        let Role::Witness(witness, _) = &mut record.role else {
            return self.respond(ticket, Response::Located(Holder::Local));
        };
        let over = witness.round_not_run();
        if let Some(over) = over.filter(|over| round.is_some_and(|round| round <= *over)) {
            return self.respond(ticket, Response::Over(over));
        }
        record.round = record.round.max(over.map_or(1, |over| over + 1));
        let action = witness.handle(event);
        record.waiting_tickets.push(ticket);
        self.perform_witness_action(&spec.key, action);
    }

    /// Handles the read of a caller while the owner does not respond.
    pub(super) fn read(&mut self, ticket: Ticket, key: &Key) {
        let Some(record) = self.record(key) else {
            let failure = Failure::new(Code::UnknownKey, key.to_string());
            return self.respond(ticket, Response::Failed(failure));
        };
        let Role::Witness(witness, _) = &mut record.role else {
            return self.respond(ticket, Response::Located(Holder::Local));
        };
        let action = witness.handle(WitnessEvent::Read);
        record.waiting_tickets.push(ticket);
        self.perform_witness_action(key, action);
    }

    pub(super) fn perform_witness_action(&mut self, key: &Key, action: WitnessAction) {
        match action {
            WitnessAction::Claim => self.actions.push(Action::Claim(key.clone())),
            WitnessAction::TakeOver(right) => self.become_owner(key, right),
            // The record stays open after the report: the owner may respond again.
            WitnessAction::Report(ending) => {
                self.respond_all(key, &response_to_ending(ending, key))
            }
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
        let action = witness.handle(WitnessEvent::OwnerGone);
        self.perform_witness_action(key, action);
    }

    /// Turns the record of a witness into that of an owner, and dispatches the request.
    fn become_owner(&mut self, key: &Key, right: Right) {
        let members = self.members;
        let Some(record) = self.record(key) else { return };
        let repeatable = record.spec.repeatable;
        let Role::Witness(_, former) = &record.role else { return };
        let former = former.clone();
        record.role = Role::Owner(Owner::take_over(repeatable, right));
        record.ending = None;
        record.visible_ending = None;
        // A request that must not run twice gets no new witness: the holder of the copy could claim
        // the dispatch right as well.
        let witness = if repeatable { pick_peer(members, key, &[former]) } else { None };
        record.replica = witness.clone().map_or(Replica::Lost, Replica::Offered);
        // The former owner may have shown every chunk that this entry acknowledged.
        let held = record.answer.len();
        record.answer.acknowledge(held);
        record.answer.set_unreplicated(witness.is_none());
        if let Some(to) = witness {
            self.send_hold(key, to);
        }
        self.perform_owner_action(key, OwnerAction::Dispatch { attempt: 1 });
        self.actions.push(Action::Changed(key.clone()));
    }
}

/// Returns the response to a caller for an ending that a witness reports.
fn response_to_ending(ending: Ending, key: &Key) -> Response {
    match ending {
        Ending::Answered => Response::Located(Holder::Local),
        Ending::Follow(entry) => Response::Located(Holder::Remote(entry, vec![])),
        Ending::Unknown(code) | Ending::NotRun(code) => {
            Response::Failed(Failure::new(code, key.to_string()))
        }
        Ending::Rejected(code) => Response::Failed(Failure::new(code, key.to_string()).rejected()),
    }
}
