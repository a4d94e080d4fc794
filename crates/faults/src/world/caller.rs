//! The callers: they send, read, and try again elsewhere.

use super::*;
use crate::log::Word;
use kernel::{Code, Failure};
use ledger::{AnswerPart, Cursor, Ending, Holder};

/// Tries of one caller.
const TRIES: u32 = 6;
/// Time that a caller waits for anything at all.
const CALLER_TIMEOUT: Time = 4_000;
/// Time between two tries.
const RETRY: Time = 200;
/// Time between two reads.
const READ_EVERY: Time = 20;
/// Entries asked for one read.
const HOPS: usize = 8;

/// One caller with one request.
pub(super) struct Caller {
    pub(super) key: Key,
    pub(super) request: usize,
    repeatable: bool,
    entry: usize,
    tries_left: u32,
    /// Number of the present try; what belongs to an earlier one is ignored.
    serial: u64,
    holder: Option<Holder>,
    cursor: Cursor,
    done: bool,
    waiting: bool,
    /// Entries that it was sent on to since it last saw a chunk.
    follows: usize,
    /// Whether the next try only reads.
    reads: bool,
}

impl Caller {
    pub(super) fn new(entry: usize, request: usize, home: &Home, repeatable: bool) -> Self {
        Self {
            key: Key::new("organisation", format!("{home}{request}")),
            request,
            repeatable,
            entry,
            tries_left: TRIES,
            serial: 0,
            holder: None,
            cursor: Cursor::default(),
            done: false,
            waiting: false,
            follows: 0,
            reads: false,
        }
    }

    pub(super) fn entry(&self) -> usize {
        self.entry
    }

    pub(super) fn is_done(&self) -> bool {
        self.done
    }
}

impl World {
    pub(super) fn on_submit(&mut self, caller: usize) {
        if self.callers[caller].reads {
            return self.read_on(caller);
        }
        self.serial += 1;
        let serial = self.serial;
        let c = &mut self.callers[caller];
        (c.serial, c.holder, c.waiting) = (serial, None, true);
        c.follows = 0;
        let (entry, terms) = (c.entry, terms(&c.key, c.repeatable));
        self.see(Seen::Submitted { caller });
        self.schedule(CALLER_TIMEOUT, Event::GiveUpTry { caller, serial });
        if !self.nodes[entry].up {
            return self.try_elsewhere(caller);
        }
        if self.nodes[entry].paused {
            return;
        }
        self.serial += 1;
        let ticket = self.serial;
        self.tickets.insert(ticket, Waiter::Submit { caller, serial });
        self.feed(entry, Input::Submit { ticket, terms });
    }

    /// Finds the answer by its key, as `GET /v1/requests/<key>` does.
    fn read_on(&mut self, caller: usize) {
        self.serial += 1;
        let serial = self.serial;
        let mut others = self.hand_over_candidates(caller);
        let c = &mut self.callers[caller];
        let here = self.nodes[c.entry].table.owns(&c.key);
        let Some(home) = Home::parse(&c.key.id) else { return };
        others.push(home.witness);
        let holder = if here { Holder::Local } else { Holder::Remote(home.owner, others) };
        (c.serial, c.holder, c.waiting) = (serial, Some(holder), true);
        let up = self.nodes[c.entry].up;
        self.schedule(CALLER_TIMEOUT, Event::GiveUpTry { caller, serial });
        if !up {
            return self.try_elsewhere(caller);
        }
        self.schedule(LATENCY, Event::Poll { caller, serial });
    }

    pub(super) fn on_submitted(&mut self, caller: usize, serial: u64, response: Response) {
        if self.callers[caller].serial != serial {
            return;
        }
        match response {
            Response::Located(holder) => {
                self.callers[caller].holder = Some(holder);
                self.schedule(LATENCY, Event::Poll { caller, serial });
            }
            Response::Failed(failure) => self.told(caller, Word::of(failure.outcome)),
            Response::Over(_) | Response::Reply(_) => self.told(caller, Word::Unknown),
        }
    }

    /// Ends the present try without a word, and tries the next entry.
    fn try_elsewhere(&mut self, caller: usize) {
        self.see(Seen::Dropped { caller });
        let c = &mut self.callers[caller];
        c.reads = self.life.reads_on && (c.reads || c.holder.is_some());
        self.try_again(caller, true);
    }

    fn try_again(&mut self, caller: usize, elsewhere: bool) {
        let c = &mut self.callers[caller];
        c.serial = 0;
        c.waiting = false;
        // An entry that is dead or stands still costs no try: the caller goes on to the next.
        let node = &self.nodes[c.entry];
        if node.up && !node.paused {
            if c.tries_left == 0 {
                c.done = true;
                return;
            }
            c.tries_left -= 1;
        }
        if elsewhere {
            c.entry = (c.entry + 1) % ENTRIES.len();
        }
        self.schedule(RETRY, Event::Submit { caller });
    }

    pub(super) fn on_give_up_try(&mut self, caller: usize, serial: u64) {
        if self.callers[caller].serial == serial {
            self.try_elsewhere(caller);
        }
    }

    pub(super) fn drop_callers(&mut self, entry: usize) {
        for caller in 0..self.callers.len() {
            let c = &self.callers[caller];
            if c.entry == entry && c.waiting && !c.done {
                self.try_elsewhere(caller);
            }
        }
    }

    fn told(&mut self, caller: usize, word: Word) {
        if let Some(Mutation::HoldBack(time)) = self.mutation {
            self.now += time;
        }
        self.see(Seen::Told { caller, word });
        self.callers[caller].reads = false;
        if word == Word::Answered || self.life.goes {
            let c = &mut self.callers[caller];
            (c.done, c.waiting, c.serial) = (true, false, 0);
        } else {
            self.try_again(caller, word == Word::Rejected);
        }
    }

    pub(super) fn on_poll(&mut self, caller: usize, serial: u64) {
        let c = &self.callers[caller];
        if c.serial != serial || c.done {
            return;
        }
        if self.nodes[c.entry].paused {
            return self.schedule(READ_EVERY, Event::Poll { caller, serial });
        }
        match self.read(caller, serial) {
            Some(Ok(part)) => self.on_part(caller, serial, part),
            Some(Err(failure)) => self.told(caller, Word::of(failure.outcome)),
            None => {}
        }
    }

    fn on_part(&mut self, caller: usize, serial: u64, part: AnswerPart) {
        let mut cursor = self.callers[caller].cursor;
        let from = cursor.next;
        if cursor.advance(&part).is_err() {
            self.callers[caller].cursor = Cursor::default();
            return self.told(caller, Word::Unknown);
        }
        self.callers[caller].cursor = cursor;
        for (number, chunk) in (from..).zip(&part.chunks) {
            let text = String::from_utf8_lossy(&chunk.data).into_owned();
            self.see(Seen::Shown { caller, number, text });
        }
        let reads = self.callers[caller].reads;
        match part.ending.map(|ending| if reads { ending.for_reader() } else { ending }) {
            None => self.schedule(READ_EVERY, Event::Poll { caller, serial }),
            Some(Ending::Answered) => self.told(caller, Word::Answered),
            Some(Ending::NotRun(code) | Ending::Unknown(code)) => {
                self.told(caller, Word::of(code.outcome()));
            }
            Some(Ending::Rejected(_)) => self.told(caller, Word::Rejected),
            Some(Ending::Follow(_)) if self.callers[caller].follows >= HOPS => {
                self.told(caller, Word::Unknown);
            }
            Some(Ending::Follow(next)) => {
                self.callers[caller].follows += 1;
                let others = self.hand_over_candidates(caller);
                self.callers[caller].holder = Some(Holder::Remote(next, others));
                self.schedule(LATENCY, Event::Poll { caller, serial });
            }
        }
    }

    fn hand_over_candidates(&self, caller: usize) -> Vec<NodeId> {
        let c = &self.callers[caller];
        let node = &self.nodes[c.entry];
        let view = View { me: c.entry, gone: &node.gone, leaving: &node.leaving, runs: &node.runs };
        ledger::hand_over_candidates(&view, &c.key)
    }

    /// Reads for a caller, wherever the request is; `None` when the witness has to settle it first.
    fn read(&mut self, caller: usize, serial: u64) -> Option<Result<AnswerPart, Failure>> {
        for _ in 0..HOPS {
            let c = &self.callers[caller];
            let (entry, from, key) = (c.entry, c.cursor.next, c.key.clone());
            let unknown = || Failure::new(Code::UnknownKey, key.to_string());
            match c.holder.clone()? {
                Holder::Local => {
                    return Some(self.nodes[entry].table.read(&key, from).ok_or_else(unknown));
                }
                Holder::Remote(holder, mut others) => {
                    let read = self.reach(entry, &holder).map(|at| {
                        let silent = Home::parse(&key.id).is_none_or(|home| home.owner != holder);
                        self.read_at(at, caller, serial, silent)
                    });
                    match (read, others.pop()) {
                        (None | Some(Some(Err(_))), Some(next)) => {
                            self.callers[caller].holder = Some(Holder::Remote(next, others));
                        }
                        (Some(read), _) => return read,
                        (None, None) => {
                            return Some(Err(Failure::new(Code::HomeLost, holder.to_string())));
                        }
                    }
                }
            }
        }
        Some(Err(Failure::new(Code::HomeLost, "too many hops")))
    }

    /// Returns the entry of a run that another entry can reach and hear from.
    fn reach(&self, from: usize, to: &NodeId) -> Option<usize> {
        let at = self.entry_of(to)?;
        let works = at == from || !self.is_cut(from, at) && !self.is_cut(at, from);
        (works && !self.nodes[at].paused).then_some(at)
    }

    fn read_at(
        &mut self,
        at: usize,
        caller: usize,
        serial: u64,
        owner_silent: bool,
    ) -> Option<Result<AnswerPart, Failure>> {
        let c = &self.callers[caller];
        let (key, from) = (c.key.clone(), c.cursor.next);
        let unknown = || Failure::new(Code::UnknownKey, key.to_string());
        let owner = self.nodes[at].table.awaited_owner(&key).cloned();
        let Some(owner) = owner.filter(|_| owner_silent) else {
            return Some(self.nodes[at].table.read(&key, from).ok_or_else(unknown));
        };
        if let Some(owner) = self.reach(at, &owner) {
            return Some(self.nodes[owner].table.read(&key, from).ok_or_else(unknown));
        }
        self.serial += 1;
        let ticket = self.serial;
        let node = self.nodes[at].id.clone();
        self.tickets.insert(ticket, Waiter::Read { caller, serial, at: node });
        self.feed(at, Input::Read { ticket, key });
        None
    }

    pub(super) fn on_witness_read(
        &mut self,
        caller: usize,
        serial: u64,
        at: &NodeId,
        response: Response,
    ) {
        if self.callers[caller].serial != serial {
            return;
        }
        match response {
            Response::Failed(failure) => self.told(caller, Word::of(failure.outcome)),
            Response::Located(Holder::Local) => {
                self.callers[caller].holder = Some(Holder::Remote(at.clone(), vec![]));
                self.schedule(LATENCY, Event::Poll { caller, serial });
            }
            Response::Located(holder) => {
                self.callers[caller].holder = Some(holder);
                self.schedule(LATENCY, Event::Poll { caller, serial });
            }
            Response::Over(_) | Response::Reply(_) => self.told(caller, Word::Unknown),
        }
    }
}
