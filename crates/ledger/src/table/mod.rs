//! Every request that one entry holds, and what the entry does about it next.
//!
//! [`RequestTable::next`] takes an [`Input`] and returns the [`Action`]s to carry out. It decides which
//! entry a request goes to, who may dispatch it, when it is given away and what a caller is told.

mod input;
mod owning;
mod placing;
mod record;
mod relay;
mod replicate;
mod witnessing;

pub use input::{
    Action, Call, CallKind, ClaimResult, Holder, Input, MembershipView, PeerEntry, Response, Ticket,
};
pub use placing::hand_over_candidates;
pub use record::{AnswerPart, Cursor};

use crate::message::Ending;
use kernel::{Key, NodeId};
use record::{Record, Role};
use relay::Relay;
use std::collections::HashMap;

/// Limits of a [`RequestTable`].
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Requests that may be open at once.
    pub max_open: usize,
    /// Longest answer in bytes.
    pub max_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_open: 4096, max_answer_bytes: 4 << 20 }
    }
}

/// The requests that one entry holds.
#[derive(Clone, Debug)]
pub struct RequestTable {
    me: NodeId,
    limits: Limits,
    records: HashMap<Key, Record>,
    relays: HashMap<Ticket, Relay>,
    /// Rounds that were voided before their record came, in two generations.
    voided: [HashMap<Key, u64>; 2],
    refuses_new: bool,
    hands_over: bool,
}

/// One step of a book.
struct Step<'a> {
    table: &'a mut RequestTable,
    members: &'a dyn MembershipView,
    actions: Vec<Action>,
}

impl RequestTable {
    /// Creates the book of one run of an entry.
    pub fn new(me: NodeId, limits: Limits) -> Self {
        Self {
            me,
            limits,
            records: HashMap::new(),
            relays: HashMap::new(),
            voided: Default::default(),
            refuses_new: false,
            hands_over: false,
        }
    }

    /// Returns the run that it belongs to.
    pub fn me(&self) -> &NodeId {
        &self.me
    }

    /// Decides what to do about an input.
    pub fn handle(&mut self, input: Input, members: &dyn MembershipView) -> Vec<Action> {
        let mut step = Step { table: self, members, actions: Vec::new() };
        step.take(input);
        step.actions
    }

    /// Notes that the first byte of an attempt is about to leave.
    ///
    /// Returns whether it may leave at all.
    pub fn may_send(&mut self, key: &Key, attempt: u32) -> bool {
        let Some(record) = self.records.get_mut(key) else { return false };
        record.is_attempt(attempt) && record.owner().is_some_and(|owner| owner.may_send())
    }

    /// Returns the chunks and the ending that a caller may see, if the request is held here.
    pub fn read(&self, key: &Key, from: usize) -> Option<AnswerPart> {
        self.records.get(key).map(|record| record.part(from))
    }

    /// Returns what the caller asked for, if the request is held here.
    pub fn spec(&self, key: &Key) -> Option<&crate::RequestSpec> {
        self.records.get(key).map(|record| &record.terms)
    }

    /// Returns every chunk of the answer so far, shown or not.
    pub fn chunks(&self, key: &Key) -> &[crate::Chunk] {
        self.records.get(key).map(|record| record.answer.all_from(0)).unwrap_or_default()
    }

    /// Tells whether this entry runs the request.
    pub fn owns(&self, key: &Key) -> bool {
        self.records.get(key).is_some_and(|record| matches!(record.role, Role::Owner(_)))
    }

    /// Returns the owner whose ending this entry waits for as the witness.
    pub fn awaited_owner(&self, key: &Key) -> Option<&NodeId> {
        let record = self.records.get(key)?;
        match &record.role {
            Role::Witness(_, owner) if record.is_open() => Some(owner),
            _ => None,
        }
    }

    /// Returns how many requests are held, and how many of them have not ended.
    pub fn counts(&self) -> (usize, usize) {
        let open = self.records.values().filter(|record| record.is_open()).count();
        (self.records.len(), open)
    }

    /// Tells whether every request that this entry runs has ended or moved.
    pub fn is_idle(&self) -> bool {
        let busy = |record: &Record| matches!(record.role, Role::Owner(_)) && record.is_open();
        !self.records.values().any(busy)
    }

    /// Tells whether nothing new is taken.
    pub fn refuses_new(&self) -> bool {
        self.refuses_new
    }

    /// Describes the role of this entry and the ending of a request.
    pub fn describe(&self, key: &Key) -> Option<(String, usize, Option<Ending>)> {
        let record = self.records.get(key)?;
        let role = match &record.role {
            Role::Owner(owner) => format!("owner {:?}", owner.state()),
            Role::Witness(witness, owner) => format!("witness {:?} for {owner}", witness.state()),
        };
        Some((role, record.answer.len(), record.ending.clone()))
    }

    /// Changes the bounds.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Forgets a request.
    pub fn forget(&mut self, key: &Key) {
        self.records.remove(key);
    }

    /// Forgets the rounds voided without a record before the last call of this.
    pub fn forget_voided(&mut self) {
        self.voided.swap(0, 1);
        self.voided[0].clear();
    }
}

impl Step<'_> {
    fn take(&mut self, input: Input) {
        match input {
            Input::Submit { ticket, terms } => self.submit(ticket, terms, None),
            Input::Read { ticket, key } => self.read(ticket, &key),
            Input::Message { ticket, message } => self.receive(ticket, message),
            Input::Reply { call, reply } => self.reply(call, reply),
            Input::Claim { key, result } => self.claimed(&key, result),
            Input::Chunk { key, attempt, number, chunk } => {
                self.chunk(&key, attempt, number, chunk);
            }
            Input::Attempt { key, attempt, event } => self.attempt_ended(&key, attempt, event),
            Input::Members => self.members_changed(),
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

    /// Tells everyone who waits for this request.
    fn respond_all(&mut self, key: &Key, response: &Response) {
        let waiting = self.record(key).map(|record| std::mem::take(&mut record.waiting));
        for ticket in waiting.unwrap_or_default() {
            self.respond(ticket, response.clone());
        }
    }
}
