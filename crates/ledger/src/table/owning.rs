//! The owner's side: takes a request from its offer to its ending.

use super::Step;
use super::input::{Action, Call, CallKind, ClaimResult, Holder, Response};
use super::placing::pick;
use super::record::{Replica, Role};
use crate::message::{AskReply, Ending, HoldReply, Message, MessageReply, Right, VoidReply};
use crate::owner::{OwnerEvent, OwnerNext};
use crate::witness::WitnessEvent;
use crate::{Chunk, Home};
use kernel::{Code, Key, NodeId};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Entries tried for one record that is given away.
const HAND_OVER_ENTRIES: usize = 3;
/// Times that a record is sent to one entry that stays silent.
const HAND_OVER_TRIES: u32 = 3;

impl Step<'_> {
    /// Gives the owner one event and carries out its decision.
    pub(super) fn run(&mut self, key: &Key, event: OwnerEvent) {
        let Some(owner) = self.record(key).and_then(|record| record.owner()) else { return };
        let next = owner.next(event);
        self.perform(key, next);
    }

    pub(super) fn perform(&mut self, key: &Key, next: OwnerNext) {
        match next {
            OwnerNext::Wait => {}
            OwnerNext::Ask => self.ask(key),
            OwnerNext::Claim => self.actions.push(Action::Claim(key.clone())),
            OwnerNext::Void => self.void(key),
            OwnerNext::Dispatch { attempt } => self.dispatch(key, attempt),
            OwnerNext::HandOver(right) => self.hand_over(key, right),
            OwnerNext::End(ending) => self.end(key, ending),
        }
    }

    pub(super) fn send_hold(&mut self, key: &Key, to: NodeId) {
        let owner = self.me();
        let Some(record) = self.record(key) else { return };
        let message = Message::Hold { terms: record.terms.clone(), round: record.round, owner };
        self.send(key, to.clone(), CallKind::Hold(to), message);
    }

    pub(super) fn send(&mut self, key: &Key, to: NodeId, kind: CallKind, message: Message) {
        let Some(round) = self.record(key).map(|record| record.round) else { return };
        let call = Call { key: key.clone(), round, kind };
        self.actions.push(Action::Send { to, call, message });
    }

    fn ask(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        let round = record.round;
        match record.replica.clone() {
            // Nobody else can dispatch what has no other home.
            Replica::Sole => self.run(key, OwnerEvent::Ask(AskReply::Granted)),
            Replica::Held(to, _) | Replica::Offered(to) => {
                let message = Message::Ask { key: key.clone(), round };
                self.send(key, to, CallKind::Ask, message);
            }
            Replica::Lost => self.run(key, OwnerEvent::WitnessSilent),
        }
    }

    fn void(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        let round = record.round;
        match record.replica.clone() {
            Replica::Sole => self.run(key, OwnerEvent::Void(VoidReply::Voided)),
            Replica::Held(to, _) | Replica::Offered(to) => {
                let message = Message::Void { key: key.clone(), round };
                self.send(key, to, CallKind::Void, message);
            }
            Replica::Lost => self.run(key, OwnerEvent::WitnessSilent),
        }
    }

    fn dispatch(&mut self, key: &Key, attempt: u32) {
        self.accept(key);
        if self.table.hands_over && self.leave(key) {
            return;
        }
        if let Some(record) = self.record(key) {
            record.running = true;
        }
        self.actions.push(Action::Dispatch { key: key.clone(), attempt });
    }

    fn accept(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        if !std::mem::replace(&mut record.accepted, true) {
            self.actions.push(Action::Accepted(key.clone()));
        }
        self.respond_all(key, &Response::Located(Holder::Local));
    }

    fn cancel(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        if std::mem::take(&mut record.running) {
            self.actions.push(Action::Cancel(key.clone()));
        }
    }

    /// Ends a request: the witness learns the ending before any caller does.
    fn end(&mut self, key: &Key, ending: Ending) {
        self.cancel(key);
        let Some(record) = self.record(key) else { return };
        record.ending = Some(ending.clone());
        if matches!(ending, Ending::Follow(_)) {
            return self.show(key, ending);
        }
        self.replicate(key);
    }

    /// Shows the ending to callers.
    pub(super) fn show(&mut self, key: &Key, ending: Ending) {
        let Some(record) = self.record(key) else { return };
        if record.shown.is_some() {
            return;
        }
        // Chunks that the new holder lacks are not part of its answer.
        if !matches!(ending, Ending::Follow(_)) {
            record.answer.set_alone(true);
        }
        record.ending = Some(ending.clone());
        record.shown = Some(ending.clone());
        self.respond_all(key, &Response::Located(Holder::Local));
        self.actions.push(Action::Ended(key.clone(), ending));
        self.actions.push(Action::Changed(key.clone()));
    }

    pub(super) fn chunk(&mut self, key: &Key, attempt: u32, number: usize, chunk: Chunk) {
        let limit = self.table.limits.max_answer_bytes;
        let me = self.me();
        let Some(record) = self.record(key) else { return };
        let origin = record.answer.origin().unwrap_or_else(|| origin(&me, record.round, attempt));
        let chunk = Chunk { origin, ..chunk };
        if !record.is_attempt(attempt) || !record.answer.append(number, chunk) {
            return;
        }
        if record.answer.bytes() > limit {
            let event = OwnerEvent::Broke { code: Code::Incomplete, again: false };
            return self.run(key, event);
        }
        self.actions.push(Action::Changed(key.clone()));
        self.replicate(key);
    }

    pub(super) fn attempt_ended(&mut self, key: &Key, attempt: u32, event: OwnerEvent) {
        let Some(record) = self.record(key) else { return };
        if !record.is_attempt(attempt) {
            return;
        }
        record.running = false;
        self.run(key, event);
    }

    pub(super) fn reply(&mut self, call: Call, reply: Option<MessageReply>) {
        if let CallKind::Submit(ticket) = call.kind {
            return self.on_submit_reply(ticket, reply);
        }
        let key = &call.key;
        let current = self.record(key).is_some_and(|record| record.round == call.round);
        if !current {
            return;
        }
        match call.kind {
            CallKind::Hold(to) => self.on_hold_reply(key, &to, reply),
            CallKind::Ask => {
                let event = self.ask_event(reply);
                self.run(key, event);
            }
            CallKind::Void => {
                let event = self.void_event(reply);
                self.run(key, event);
            }
            CallKind::Progress { to, ended } => self.on_progress_reply(key, &to, ended, reply),
            CallKind::HandOver { to, right, tries } => {
                self.on_hand_over_reply(key, to, right, tries, reply);
            }
            CallKind::Submit(_) | CallKind::Notify => {}
        }
    }

    fn on_hold_reply(&mut self, key: &Key, to: &NodeId, reply: Option<MessageReply>) {
        let me = self.me();
        let Some(record) = self.record(key) else { return };
        if record.replica != Replica::Offered(to.clone()) {
            return;
        }
        let event = match reply {
            // An entry that was told that this one holds the claim.
            Some(MessageReply::Hold(HoldReply::Taken(holder))) if holder == me => {
                OwnerEvent::Hold(HoldReply::Undecided)
            }
            Some(MessageReply::Hold(reply)) => OwnerEvent::Hold(reply),
            _ => OwnerEvent::WitnessSilent,
        };
        let held = event == OwnerEvent::Hold(HoldReply::Held);
        record.replica = if held { Replica::Held(to.clone(), 0) } else { Replica::Lost };
        record.answer.set_alone(!held);
        self.run(key, event);
        self.replicate(key);
        self.actions.push(Action::Changed(key.clone()));
    }

    fn ask_event(&self, reply: Option<MessageReply>) -> OwnerEvent {
        match reply {
            Some(MessageReply::Ask(AskReply::Taken(holder))) if holder == self.table.me => {
                OwnerEvent::Ask(AskReply::Undecided)
            }
            Some(MessageReply::Ask(reply)) => OwnerEvent::Ask(reply),
            _ => OwnerEvent::WitnessSilent,
        }
    }

    fn void_event(&self, reply: Option<MessageReply>) -> OwnerEvent {
        match reply {
            Some(MessageReply::Void(VoidReply::Taken(holder))) if holder == self.table.me => {
                OwnerEvent::Void(VoidReply::Undecided)
            }
            Some(MessageReply::Void(reply)) => OwnerEvent::Void(reply),
            _ => OwnerEvent::WitnessSilent,
        }
    }

    pub(super) fn claimed(&mut self, key: &Key, result: ClaimResult) {
        let Some(record) = self.record(key) else { return };
        let Role::Witness(witness, _) = &mut record.role else {
            let event = match result {
                ClaimResult::Won => OwnerEvent::ClaimWon,
                ClaimResult::LostTo(holder) => OwnerEvent::ClaimLost(holder),
                ClaimResult::Undecided => OwnerEvent::ClaimUndecided,
            };
            return self.run(key, event);
        };
        let next = witness.next(match result {
            ClaimResult::Won => WitnessEvent::ClaimWon,
            ClaimResult::LostTo(holder) => WitnessEvent::ClaimLost(holder),
            ClaimResult::Undecided => WitnessEvent::ClaimUndecided,
        });
        self.perform_as_witness(key, next);
    }

    pub(super) fn hand_over_all(&mut self) {
        self.table.refuses_new = true;
        self.table.hands_over = true;
        let mut keys: Vec<Key> = self.table.records.keys().cloned().collect();
        keys.sort();
        for key in keys {
            self.leave(&key);
        }
    }

    /// Gives a request away if another entry can take it; returns whether it goes.
    fn leave(&mut self, key: &Key) -> bool {
        if self.hand_over_target(key).is_none() {
            return false;
        }
        let Some(record) = self.record(key).filter(|record| record.is_open()) else { return false };
        let Some(owner) = record.owner() else { return false };
        let next = owner.next(OwnerEvent::Leave);
        let goes = next != OwnerNext::Wait;
        self.perform(key, next);
        goes
    }

    fn hand_over_target(&mut self, key: &Key) -> Option<NodeId> {
        let members = self.members;
        let record = self.record(key)?;
        let tried = &record.given_to;
        if tried.len() >= HAND_OVER_ENTRIES {
            return None;
        }
        let witness = match &record.replica {
            Replica::Held(to, _) => Some(to.clone()),
            _ => None,
        };
        let fit = |node: &NodeId| !members.is_gone(node) && !members.is_leaving(node);
        let witness = witness.filter(|node| fit(node) && !tried.contains(node));
        witness.or_else(|| pick(members, key, tried))
    }

    fn hand_over(&mut self, key: &Key, right: Right) {
        self.cancel(key);
        match self.hand_over_target(key) {
            Some(to) => self.send_hand_over(key, to, right, 1),
            None => self.show(key, Ending::Unknown(Code::Elsewhere)),
        }
    }

    fn send_hand_over(&mut self, key: &Key, to: NodeId, right: Right, tries: u32) {
        let me = self.me();
        let Some(record) = self.record(key) else { return };
        if !record.given_to.contains(&to) {
            record.given_to.push(to.clone());
        }
        let message = Message::HandOver {
            terms: record.terms.clone(),
            owner: me,
            round: record.round,
            right,
            chunks: record.answer.all_from(0).to_vec(),
        };
        self.send(key, to.clone(), CallKind::HandOver { to, right, tries }, message);
    }

    fn on_hand_over_reply(
        &mut self,
        key: &Key,
        to: NodeId,
        right: Right,
        tries: u32,
        reply: Option<MessageReply>,
    ) {
        match reply {
            Some(MessageReply::Done) => self.moved(key, to),
            Some(MessageReply::Failure(failure)) if failure.code != Code::PeerUnreachable => {
                self.hand_over(key, right);
            }
            _ if tries < HAND_OVER_TRIES => self.send_hand_over(key, to, right, tries + 1),
            // The message may have arrived, and a right must not be given out twice.
            _ if right != Right::None => self.moved(key, to),
            _ => self.hand_over(key, right),
        }
    }

    fn moved(&mut self, key: &Key, to: NodeId) {
        let home = Home::parse(&key.id);
        let Some(round) = self.record(key).map(|record| record.round) else { return };
        self.show(key, Ending::Follow(to.clone()));
        // Whoever looks for the request asks its first witness.
        let witness = home.map(|home| home.witness).filter(|witness| *witness != to);
        if let Some(witness) = witness.filter(|witness| *witness != self.table.me) {
            let message = Message::Progress {
                key: key.clone(),
                round,
                from: 0,
                chunks: vec![],
                ending: Some(Ending::Follow(to)),
            };
            self.send(key, witness, CallKind::Notify, message);
        }
    }
}

/// Names the answer that an attempt begins.
fn origin(me: &NodeId, round: u64, attempt: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (me, round, attempt).hash(&mut hasher);
    hasher.finish()
}
