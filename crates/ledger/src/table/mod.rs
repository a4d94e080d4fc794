//! All requests that one entry holds, and the actions that each input leads to.
//!
//! [`RequestTable::handle`] takes an [`Input`] and returns the [`Action`]s to carry out. It decides
//! which entry a request is sent to, which entry may dispatch it, when it is handed over and what
//! is reported to the caller.

mod forward;
mod input;
mod owner_role;
mod placement;
mod record;
mod replication;
mod witness_role;

pub use input::{
    Action, Call, CallKind, ClaimResult, Holder, Input, MembershipView, PeerEntry, Response, Ticket,
};
pub use placement::hand_over_candidates;
pub use record::{AnswerPart, Cursor};

use crate::message::Ending;
use forward::Forward;
use kernel::{Key, NodeId};
use record::{Record, Role};
use std::collections::HashMap;

/// Limits of a [`RequestTable`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of open requests.
    pub max_open: usize,
    /// Maximum size of an answer in bytes.
    pub max_answer_bytes: usize,
    /// Size of the bodies and answers of all records, in bytes, from which requests with a large body are refused. Others
    /// are from twice that.
    pub max_kept_bytes: usize,
}

/// Size from which a body is large, in bytes.
const LARGE_BODY_BYTES: usize = 16 << 10;

impl Default for Limits {
    fn default() -> Self {
        Self { max_open: 4096, max_answer_bytes: 4 << 20, max_kept_bytes: 40 << 20 }
    }
}

/// The requests that one entry holds.
#[derive(Clone, Debug)]
pub struct RequestTable {
    me: NodeId,
    limits: Limits,
    records: HashMap<Key, Record>,
    /// Requests forwarded to another entry, by the ticket that waits for the reply.
    forwards: HashMap<Ticket, Forward>,
    /// Rounds that were voided before their record arrived: first those since the latest call of
    /// [`RequestTable::forget_voided`], then those between the two latest calls.
    voided: [HashMap<Key, u64>; 2],
    /// Whether new requests are refused.
    refuses_new: bool,
    /// Whether open requests are handed over because this entry is leaving.
    handing_over: bool,
}

/// Handles one input and collects the resulting actions.
struct Step<'a> {
    table: &'a mut RequestTable,
    members: &'a dyn MembershipView,
    actions: Vec<Action>,
}

impl RequestTable {
    /// Creates the table of one incarnation of an entry.
    pub fn new(me: NodeId, limits: Limits) -> Self {
        Self {
            me,
            limits,
            records: HashMap::new(),
            forwards: HashMap::new(),
            voided: Default::default(),
            refuses_new: false,
            handing_over: false,
        }
    }

    /// Returns the name and incarnation of the entry that the table belongs to.
    pub fn me(&self) -> &NodeId {
        &self.me
    }

    /// Handles an input and returns the actions to carry out.
    pub fn handle(&mut self, input: Input, members: &dyn MembershipView) -> Vec<Action> {
        let mut step = Step { table: self, members, actions: Vec::new() };
        step.handle(input);
        step.actions
    }

    /// Records that the first byte of an attempt is about to be sent.
    ///
    /// Returns whether the attempt may be sent at all.
    pub fn may_send(&mut self, key: &Key, attempt: u32) -> bool {
        let Some(record) = self.records.get_mut(key) else { return false };
        record.is_current_attempt(attempt) && record.owner().is_some_and(|owner| owner.may_send())
    }

    /// Returns the chunks from number `from` and the ending that are visible to callers, if this
    /// entry holds the request.
    pub fn read(&self, key: &Key, from: usize) -> Option<AnswerPart> {
        self.records.get(key).map(|record| record.visible_part(from))
    }

    /// Returns the specification of a request, if this entry holds the request.
    pub fn spec(&self, key: &Key) -> Option<&crate::RequestSpec> {
        self.records.get(key).map(|record| &record.spec)
    }

    /// Whether the records leave room for one with this body.
    fn has_room(&self, body: usize) -> bool {
        let kept = |record: &Record| record.spec.body.len() + record.answer.bytes();
        let kept: usize = self.records.values().map(kept).sum();
        let limit = self.limits.max_kept_bytes;
        kept + body <= if body < LARGE_BODY_BYTES { 2 * limit } else { limit }
    }

    /// Returns all chunks of the answer so far, visible to callers or not.
    pub fn chunks(&self, key: &Key) -> &[crate::Chunk] {
        self.records.get(key).map(|record| record.answer.all_from(0)).unwrap_or_default()
    }

    /// Returns whether this entry is the owner of the request.
    pub fn owns(&self, key: &Key) -> bool {
        self.records.get(key).is_some_and(|record| matches!(record.role, Role::Owner(_)))
    }

    /// Returns the owner of a request that this entry witnesses and whose ending is not known here.
    pub fn awaited_owner(&self, key: &Key) -> Option<&NodeId> {
        let record = self.records.get(key)?;
        match &record.role {
            Role::Witness(_, owner) if record.is_open() => Some(owner),
            _ => None,
        }
    }

    /// Returns the number of requests held, and the number of those that have not ended.
    pub fn counts(&self) -> (usize, usize) {
        let open = self.records.values().filter(|record| record.is_open()).count();
        (self.records.len(), open)
    }

    /// Returns whether every request that this entry owns has ended or was handed over.
    pub fn is_idle(&self) -> bool {
        let busy = |record: &Record| matches!(record.role, Role::Owner(_)) && record.is_open();
        !self.records.values().any(busy)
    }

    /// Returns whether new requests are refused.
    pub fn refuses_new(&self) -> bool {
        self.refuses_new
    }

    /// Describes a request: the role and state of this entry, the number of chunks and the ending.
    pub fn describe(&self, key: &Key) -> Option<(String, usize, Option<Ending>)> {
        let record = self.records.get(key)?;
        let role = match &record.role {
            Role::Owner(owner) => format!("owner {:?}", owner.state()),
            Role::Witness(witness, owner) => format!("witness {:?} for {owner}", witness.state()),
        };
        Some((role, record.answer.len(), record.ending.clone()))
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Removes the record of a request.
    pub fn forget(&mut self, key: &Key) {
        self.records.remove(key);
    }

    /// Removes the rounds that were voided without a record before the previous call.
    pub fn forget_voided(&mut self) {
        self.voided.swap(0, 1);
        self.voided[0].clear();
    }
}

impl Step<'_> {
    fn handle(&mut self, input: Input) {
        match input {
            Input::Submit { ticket, terms } => self.submit(ticket, terms, None),
            Input::Read { ticket, key } => self.read(ticket, &key),
            Input::Message { ticket, message } => self.receive(ticket, message),
            Input::Reply { call, reply } => self.on_reply(call, reply),
            Input::Claim { key, result } => self.on_claim_result(&key, result),
            Input::Chunk { key, attempt, number, chunk } => {
                self.on_chunk(&key, attempt, number, chunk);
            }
            Input::Attempt { key, attempt, event } => self.on_attempt_ended(&key, attempt, event),
            Input::Members => self.on_membership_change(),
            Input::RefuseNew => self.table.refuses_new = true,
            Input::HandOverAll => self.hand_over_all(),
        }
    }

    fn record(&mut self, key: &Key) -> Option<&mut Record> {
        self.table.records.get_mut(key)
    }

    fn me(&self) -> NodeId {
        self.table.me.clone()
    }

    fn respond(&mut self, ticket: Ticket, response: Response) {
        self.actions.push(Action::Respond(ticket, response));
    }

    /// Sends a response to every ticket that waits for this request.
    fn respond_all(&mut self, key: &Key, response: &Response) {
        let waiting_tickets =
            self.record(key).map(|record| std::mem::take(&mut record.waiting_tickets));
        for ticket in waiting_tickets.unwrap_or_default() {
            self.respond(ticket, response.clone());
        }
    }
}
