//! Requests that this entry owns, from the offer to the witness to the ending.

use super::Step;
use super::input::{Action, Call, CallKind, ClaimResult, Holder, Response};
use super::placement::pick_peer;
use super::record::{Replica, Role};
use crate::message::{AskReply, Ending, HoldReply, Message, MessageReply, Right, VoidReply};
use crate::owner::{OwnerAction, OwnerEvent};
use crate::witness::WitnessEvent;
use crate::{Chunk, Home};
use kernel::{Code, Key, NodeId};
use std::hash::{DefaultHasher, Hash, Hasher};

/// Maximum number of entries that one record is offered to in a hand-over.
const MAX_HAND_OVER_ENTRIES: usize = 3;
/// Maximum number of times that a record is sent to one entry that does not reply.
const MAX_HAND_OVER_ATTEMPTS: u32 = 3;

impl Step<'_> {
    /// Passes an event to the owner and carries out the resulting action.
    pub(super) fn apply_owner_event(&mut self, key: &Key, event: OwnerEvent) {
        let Some(owner) = self.record(key).and_then(|record| record.owner()) else { return };
        let action = owner.handle(event);
        self.perform_owner_action(key, action);
    }

    pub(super) fn perform_owner_action(&mut self, key: &Key, action: OwnerAction) {
        match action {
            OwnerAction::Wait => {}
            OwnerAction::Ask => self.request_right(key),
            OwnerAction::Claim => self.actions.push(Action::Claim(key.clone())),
            OwnerAction::Void => self.request_void(key),
            OwnerAction::Dispatch { attempt } => self.dispatch(key, attempt),
            OwnerAction::HandOver(right) => self.hand_over(key, right),
            OwnerAction::End(ending) => self.end(key, ending),
        }
    }

    pub(super) fn send_hold(&mut self, key: &Key, to: NodeId) {
        let owner = self.me();
        let Some(record) = self.record(key) else { return };
        let message = Message::Hold { terms: record.spec.clone(), round: record.round, owner };
        self.send(key, to.clone(), CallKind::Hold(to), message);
    }

    pub(super) fn send(&mut self, key: &Key, to: NodeId, kind: CallKind, message: Message) {
        let Some(round) = self.record(key).map(|record| record.round) else { return };
        let call = Call { key: key.clone(), round, kind };
        self.actions.push(Action::Send { to, call, message });
    }

    fn request_right(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        let round = record.round;
        match record.replica.clone() {
            // Without a witness, no other entry can dispatch the request.
            Replica::Sole => self.apply_owner_event(key, OwnerEvent::Ask(AskReply::Granted)),
            Replica::Held(to, _) | Replica::Offered(to) => {
                let message = Message::Ask { key: key.clone(), round };
                self.send(key, to, CallKind::Ask, message);
            }
            Replica::Lost => self.apply_owner_event(key, OwnerEvent::WitnessSilent),
        }
    }

    fn request_void(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        let round = record.round;
        match record.replica.clone() {
            Replica::Sole => self.apply_owner_event(key, OwnerEvent::Void(VoidReply::Voided)),
            Replica::Held(to, _) | Replica::Offered(to) => {
                let message = Message::Void { key: key.clone(), round };
                self.send(key, to, CallKind::Void, message);
            }
            Replica::Lost => self.apply_owner_event(key, OwnerEvent::WitnessSilent),
        }
    }

    fn dispatch(&mut self, key: &Key, attempt: u32) {
        self.accept(key);
        if self.table.handing_over && self.try_hand_over(key) {
            return;
        }
        if let Some(record) = self.record(key) {
            record.attempt_running = true;
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
        if std::mem::take(&mut record.attempt_running) {
            self.actions.push(Action::Cancel(key.clone()));
        }
    }

    /// Ends a request: the ending is sent to the witness before it becomes visible to callers.
    fn end(&mut self, key: &Key, ending: Ending) {
        self.cancel(key);
        let Some(record) = self.record(key) else { return };
        record.ending = Some(ending.clone());
        if matches!(ending, Ending::Follow(_)) {
            return self.publish_ending(key, ending);
        }
        self.replicate(key);
    }

    /// Makes the ending visible to callers.
    pub(super) fn publish_ending(&mut self, key: &Key, ending: Ending) {
        let Some(record) = self.record(key) else { return };
        if record.visible_ending.is_some() {
            return;
        }
        // Unacknowledged chunks stay hidden when the request moved: the new holder may not have
        // them.
        if !matches!(ending, Ending::Follow(_)) {
            record.answer.set_unreplicated(true);
        }
        record.ending = Some(ending.clone());
        record.visible_ending = Some(ending.clone());
        record.release_body();
        self.respond_all(key, &Response::Located(Holder::Local));
        self.actions.push(Action::Ended(key.clone(), ending));
        self.actions.push(Action::Changed(key.clone()));
    }

    pub(super) fn on_chunk(&mut self, key: &Key, attempt: u32, number: usize, chunk: Chunk) {
        let limit = self.table.limits.max_answer_bytes;
        let me = self.me();
        let Some(record) = self.record(key) else { return };
        let origin = record.answer.origin().unwrap_or_else(|| origin(&me, record.round, attempt));
        let chunk = Chunk { origin, ..chunk };
        if !record.is_current_attempt(attempt) || !record.answer.append(number, chunk) {
            return;
        }
        if record.answer.bytes() > limit {
            let event = OwnerEvent::Broke { code: Code::Incomplete, again: false };
            return self.apply_owner_event(key, event);
        }
        self.actions.push(Action::Changed(key.clone()));
        self.replicate(key);
    }

    pub(super) fn on_attempt_ended(&mut self, key: &Key, attempt: u32, event: OwnerEvent) {
        let Some(record) = self.record(key) else { return };
        if !record.is_current_attempt(attempt) {
            return;
        }
        record.attempt_running = false;
        self.apply_owner_event(key, event);
    }

    pub(super) fn on_reply(&mut self, call: Call, reply: Option<MessageReply>) {
        if let CallKind::Submit(ticket) = call.kind {
            return self.on_submit_reply(ticket, reply);
        }
        let key = &call.key;
        let current_round = self.record(key).is_some_and(|record| record.round == call.round);
        if !current_round {
            return;
        }
        match call.kind {
            CallKind::Hold(to) => self.on_hold_reply(key, &to, reply),
            CallKind::Ask => {
                let event = self.ask_event(reply);
                self.apply_owner_event(key, event);
            }
            CallKind::Void => {
                let event = self.void_event(reply);
                self.apply_owner_event(key, event);
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
            // The witness names this entry as the holder because it lost its claim to this entry.
            Some(MessageReply::Hold(HoldReply::Taken(holder))) if holder == me => {
                OwnerEvent::Hold(HoldReply::Undecided)
            }
            Some(MessageReply::Hold(reply)) => OwnerEvent::Hold(reply),
            _ => OwnerEvent::WitnessSilent,
        };
        let held = event == OwnerEvent::Hold(HoldReply::Held);
        record.replica = if held { Replica::Held(to.clone(), 0) } else { Replica::Lost };
        record.answer.set_unreplicated(!held);
        self.apply_owner_event(key, event);
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

    pub(super) fn on_claim_result(&mut self, key: &Key, result: ClaimResult) {
        let Some(record) = self.record(key) else { return };
        let Role::Witness(witness, _) = &mut record.role else {
            let event = match result {
                ClaimResult::Won => OwnerEvent::ClaimWon,
                ClaimResult::LostTo(holder) => OwnerEvent::ClaimLost(holder),
                ClaimResult::Undecided => OwnerEvent::ClaimUndecided,
            };
            return self.apply_owner_event(key, event);
        };
        let action = witness.handle(match result {
            ClaimResult::Won => WitnessEvent::ClaimWon,
            ClaimResult::LostTo(holder) => WitnessEvent::ClaimLost(holder),
            ClaimResult::Undecided => WitnessEvent::ClaimUndecided,
        });
        self.perform_witness_action(key, action);
    }

    pub(super) fn hand_over_all(&mut self) {
        self.table.refuses_new = true;
        self.table.handing_over = true;
        let mut keys: Vec<Key> = self.table.records.keys().cloned().collect();
        keys.sort();
        for key in keys {
            self.try_hand_over(&key);
        }
    }

    /// Starts to hand a request over if another entry can take it; returns whether it did.
    fn try_hand_over(&mut self, key: &Key) -> bool {
        if self.hand_over_target(key).is_none() {
            return false;
        }
        let Some(record) = self.record(key).filter(|record| record.is_open()) else { return false };
        let Some(owner) = record.owner() else { return false };
        let action = owner.handle(OwnerEvent::Leave);
        let started = action != OwnerAction::Wait;
        self.perform_owner_action(key, action);
        started
    }

    fn hand_over_target(&mut self, key: &Key) -> Option<NodeId> {
        let members = self.members;
        let record = self.record(key)?;
        let tried = &record.hand_over_tried;
        if tried.len() >= MAX_HAND_OVER_ENTRIES {
            return None;
        }
        let witness = match &record.replica {
            Replica::Held(to, _) => Some(to.clone()),
            _ => None,
        };
        let available = |node: &NodeId| !members.is_gone(node) && !members.is_leaving(node);
        let witness = witness.filter(|node| available(node) && !tried.contains(node));
        witness.or_else(|| pick_peer(members, key, tried))
    }

    fn hand_over(&mut self, key: &Key, right: Right) {
        self.cancel(key);
        match self.hand_over_target(key) {
            Some(to) => self.send_hand_over(key, to, right, 1),
            None => self.publish_ending(key, Ending::Unknown(Code::Elsewhere)),
        }
    }

    fn send_hand_over(&mut self, key: &Key, to: NodeId, right: Right, tries: u32) {
        let me = self.me();
        let Some(record) = self.record(key) else { return };
        if !record.hand_over_tried.contains(&to) {
            record.hand_over_tried.push(to.clone());
        }
        let message = Message::HandOver {
            terms: record.spec.clone(),
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
            Some(MessageReply::Done) => self.finish_hand_over(key, to),
            Some(MessageReply::Failure(failure)) if failure.code != Code::PeerUnreachable => {
                self.hand_over(key, right);
            }
            _ if tries < MAX_HAND_OVER_ATTEMPTS => self.send_hand_over(key, to, right, tries + 1),
            // The record may have arrived although no reply did, and the dispatch right must not be
            // handed to two entries.
            _ if right != Right::None => self.finish_hand_over(key, to),
            _ => self.hand_over(key, right),
        }
    }

    fn finish_hand_over(&mut self, key: &Key, to: NodeId) {
        let home = Home::parse(&key.id);
        let Some(round) = self.record(key).map(|record| record.round) else { return };
        self.publish_ending(key, Ending::Follow(to.clone()));
        // Entries that look for the request ask the witness that its key names.
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

/// Returns the origin of an answer started by this attempt.
fn origin(me: &NodeId, round: u64, attempt: u32) -> u64 {
    let mut hasher = DefaultHasher::new();
    (me, round, attempt).hash(&mut hasher);
    hasher.finish()
}
