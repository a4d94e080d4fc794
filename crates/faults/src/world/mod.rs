//! Several entries, a network, a key-value service and a backend server on a virtual clock.

mod caller;
mod inject;
mod node;
mod platform;

use crate::Time;
use crate::fault::{Fault, Mutation, Plan};
use crate::life::{Life, Serving};
use crate::log::{Log, Seen};
use caller::Caller;
use kernel::{Key, NodeId};
use ledger::{
    Action, AskReply, Call, CallKind, ClaimEvent, Home, Input, Limits, Message, MessageReply,
    RequestSpec, RequestTable, Response, Ticket, VoidReply,
};
use node::{Node, View};
use platform::{KvState, PendingClaim, Run};
use std::collections::{BTreeMap, HashMap, HashSet};

const LATENCY: Time = 1;
const KV_LATENCY: Time = 2;
const PEER_TIMEOUT: Time = 300;
const WITNESS_TIMEOUT: Time = 8 * PEER_TIMEOUT;
const KV_TIMEOUT: Time = 500;
const CLAIM_READS: u32 = 2;
/// Time between two looks at whether a draining entry is idle.
const IDLE_CHECK: Time = 10;
const CHUNKS: usize = 4;
const STALL: Time = 1_000;
const ATTEMPTS: u32 = 4;
/// Time after which a silent entry is held for dead.
const SUSPECT: Time = 2_000;
const PAUSE: Time = 5_000;
const CUT: Time = 3_000;
const KV_OUTAGE: Time = 10_000;
const NOTICE: Time = 2_000;
const NEWS: Time = 20;
const END: Time = 60_000;

/// Name and data centre of each entry.
const ENTRIES: [(&str, &str); 4] =
    [("n-1", "north"), ("s-1", "south"), ("n-2", "north"), ("s-2", "south")];

/// What happens at a time.
#[derive(Clone, Debug)]
enum Event {
    Message { from: NodeId, to: NodeId, call: u64, message: Message, answered: bool },
    Answer { from: NodeId, to: NodeId, call: u64, reply: MessageReply },
    Timeout { at: NodeId, call: u64 },
    Kv { from: NodeId, claim: u64, create: bool, answered: bool },
    KvAnswer { to: NodeId, claim: u64, number: u32, event: ClaimEvent },
    Dispatch { at: NodeId, key: Key, attempt: u32 },
    Run { from: NodeId, run: u64, answered: bool },
    Piece { to: NodeId, run: u64, number: usize, text: String },
    RunEnd { to: NodeId, run: u64 },
    Stalled { to: NodeId, run: u64, pieces: usize },
    Submit { caller: usize },
    Poll { caller: usize, serial: u64 },
    GiveUpTry { caller: usize, serial: u64 },
    News { to: usize, about: NodeId, news: News },
    Reclaim { entry: usize },
    Drain { entry: usize },
    Die { node: NodeId },
    Wake { node: NodeId },
}

/// News of membership.
#[derive(Clone, Copy, Debug)]
enum News {
    Gone,
    Back,
    Leaving,
}

/// A call that waits for its answer.
struct Pending {
    call: Call,
    from: NodeId,
}

/// A deterministic run of one life under a plan of faults.
pub struct World {
    life: Life,
    plan: Plan,
    mutation: Option<Mutation>,
    now: Time,
    serial: u64,
    steps: usize,
    events: BTreeMap<(Time, u64), Event>,
    nodes: Vec<Node>,
    calls: HashMap<u64, Pending>,
    /// Whom a ticket belongs to: a call of another entry, or a caller's try.
    tickets: HashMap<Ticket, Waiter>,
    claims: HashMap<u64, PendingClaim>,
    runs: HashMap<u64, Run>,
    kv: KvState,
    cuts: Vec<(usize, usize, Time)>,
    callers: Vec<Caller>,
    broken_once: bool,
    log: Log,
}

enum Waiter {
    Entry { call: u64, from: NodeId, at: NodeId, answered: bool },
    Submit { caller: usize, serial: u64 },
    Read { caller: usize, serial: u64, at: NodeId },
}

impl World {
    /// Prepares a run.
    pub fn new(life: Life, plan: Plan, mutation: Option<Mutation>) -> Self {
        let nodes: Vec<Node> = (0..ENTRIES.len()).map(|entry| Node::new(entry, 1)).collect();
        let home = Home { owner: nodes[0].id.clone(), witness: nodes[1].id.clone() };
        let callers: Vec<Caller> = life
            .callers
            .iter()
            .map(|(_, entry, request)| Caller::new(*entry, *request, &home, life.repeatable))
            .collect();
        let movable = life.repeatable || life.step * CHUNKS as Time <= NOTICE / 2;
        let survivable = |fault: Fault| movable && fault.is_survivable(life.repeatable);
        let announced = plan.iter().all(|(_, fault)| survivable(*fault));
        let stays = life.reclaim.is_none() && life.drain.is_none();
        // One crash costs a request that may be repeated nothing, if no other entry goes as well.
        let one_crash = life.repeatable && stays && plan.len() == 1 && plan[0].1.is_crash();
        let log = Log {
            request_of: callers.iter().map(|caller| caller.request).collect(),
            repeatable: life.repeatable,
            chunks: CHUNKS,
            announced_only: (announced || one_crash)
                && !matches!(life.serving, Serving::RefuseUntil(_)),
            ..Log::default()
        };
        let mut world = Self {
            life,
            plan,
            mutation,
            now: 0,
            serial: 0,
            steps: 0,
            events: BTreeMap::new(),
            nodes,
            calls: HashMap::new(),
            tickets: HashMap::new(),
            claims: HashMap::new(),
            runs: HashMap::new(),
            kv: KvState::default(),
            cuts: Vec::new(),
            callers,
            broken_once: false,
            log,
        };
        for (caller, (at, _, _)) in life.callers.iter().enumerate() {
            world.schedule(*at, Event::Submit { caller });
        }
        if let Some(at) = life.reclaim {
            world.schedule(at, Event::Reclaim { entry: 0 });
        }
        if let Some(at) = life.drain {
            world.schedule(at, Event::Drain { entry: 0 });
        }
        world
    }

    /// Runs to the end and returns what was seen, and the number of steps.
    pub fn run(mut self) -> (Log, usize) {
        while let Some(((at, _), event)) = self.events.pop_first() {
            let quiet = is_idle(&event) && self.events.values().all(is_idle);
            if at > END || quiet && self.callers.iter().all(|caller| caller.is_done()) {
                break;
            }
            self.now = at;
            self.take(event);
        }
        self.log.entries_left = self.nodes.iter().any(|node| node.up && !node.reclaimed);
        (self.log, self.steps)
    }

    fn schedule(&mut self, after: Time, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + after, self.serial), event);
    }

    fn take(&mut self, event: Event) {
        if let Some(event) = self.inject(event) {
            self.process(event);
        }
    }

    fn process(&mut self, event: Event) {
        let Some(event) = self.hold_while_paused(event) else { return };
        match event {
            Event::Message { from, to, call, message, answered } => {
                self.on_message(from, to, call, message, answered);
            }
            Event::Answer { to, call, reply, .. } => self.on_answer(&to, call, Some(reply)),
            Event::Timeout { at, call } => self.on_answer(&at, call, None),
            Event::Kv { from, claim, create, answered } => {
                self.on_kv(&from, claim, create, answered);
            }
            Event::KvAnswer { to, claim, number, event } => {
                self.on_kv_answer(&to, claim, number, event);
            }
            Event::Dispatch { at, key, attempt } => self.on_dispatch(&at, key, attempt),
            Event::Run { run, answered, .. } => self.on_run(run, answered),
            Event::Piece { to, run, number, text } => self.on_piece(&to, run, number, text),
            Event::RunEnd { to, run } => self.on_run_end(&to, run),
            Event::Stalled { to, run, pieces } => self.on_stalled(&to, run, pieces),
            Event::Submit { caller } => self.on_submit(caller),
            Event::Poll { caller, serial } => self.on_poll(caller, serial),
            Event::GiveUpTry { caller, serial } => self.on_give_up_try(caller, serial),
            Event::News { to, about, news } => self.on_news(to, &about, news),
            Event::Reclaim { entry } => self.reclaim(entry),
            Event::Drain { entry } => self.drain(entry),
            Event::Die { node } => self.crash(&node),
            Event::Wake { node } => self.wake(&node),
        }
    }

    /// Returns the entry whose present run this is.
    fn entry_of(&self, node: &NodeId) -> Option<usize> {
        self.nodes.iter().position(|n| n.id == *node && n.up)
    }

    fn index_of(&self, node: &NodeId) -> usize {
        self.nodes.iter().position(|n| n.id.name == node.name).unwrap_or(0)
    }

    fn feed(&mut self, entry: usize, input: Input) {
        let node = &mut self.nodes[entry];
        let view = View { me: entry, gone: &node.gone, leaving: &node.leaving, runs: &node.runs };
        let actions = node.table.handle(input, &view);
        for action in actions {
            self.carry_out(entry, action);
        }
    }

    fn carry_out(&mut self, entry: usize, action: Action) {
        let id = self.nodes[entry].id.clone();
        match action {
            Action::Send { to, call, message } => self.send(id, to, call, message),
            Action::Claim(key) => self.start_claim(id, key),
            Action::Dispatch { key, attempt } => {
                self.schedule(0, Event::Dispatch { at: id, key, attempt });
            }
            Action::Cancel(key) => {
                self.runs
                    .values_mut()
                    .filter(|run| run.from == id && run.key == key)
                    .for_each(|run| run.open = false);
            }
            Action::Respond(ticket, response) => self.on_response(ticket, response),
            Action::Changed(_) | Action::Accepted(_) | Action::Ended(..) => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, call: Call, message: Message) {
        self.serial += 1;
        let number = self.serial;
        let slow = matches!(message, Message::Submit { owner_silent: true, .. });
        let limit = if slow { WITNESS_TIMEOUT } else { PEER_TIMEOUT };
        let kind = call.kind.clone();
        self.calls.insert(number, Pending { call, from: from.clone() });
        self.schedule(limit, Event::Timeout { at: from.clone(), call: number });
        match self.fake_answer(&message) {
            Some(reply) => {
                let answer = Event::Answer { from: to, to: from, call: number, reply };
                self.schedule(LATENCY, answer);
            }
            None => {
                let call = number;
                let message = Event::Message { from, to, call, message, answered: true };
                self.schedule(LATENCY, message);
            }
        }
        if let (CallKind::HandOver { .. }, Some(Mutation::GiveTwice)) = (kind, self.mutation) {
            self.give_twice(number);
        }
    }

    /// Returns the answer that a switched-off mechanism pretends to have got.
    fn fake_answer(&self, message: &Message) -> Option<MessageReply> {
        match (self.mutation?, message) {
            (Mutation::PretendHeld, Message::Progress { from, chunks, .. }) => {
                Some(MessageReply::Have(from + chunks.len()))
            }
            (Mutation::PretendVoided, Message::Void { .. }) => {
                Some(MessageReply::Void(VoidReply::Voided))
            }
            _ => None,
        }
    }

    /// Sends the same hand-over to another entry as well.
    fn give_twice(&mut self, call: u64) {
        let sent = self.events.values().find_map(|event| match event {
            Event::Message { call: c, message, from, .. } if *c == call => {
                Some((from.clone(), message.clone()))
            }
            _ => None,
        });
        if let Some((from, message)) = sent {
            let to = self.nodes[2].id.clone();
            let message = Event::Message { from, to, call: 0, message, answered: false };
            self.schedule(LATENCY, message);
        }
    }

    fn on_message(
        &mut self,
        from: NodeId,
        to: NodeId,
        call: u64,
        message: Message,
        answered: bool,
    ) {
        let Some(entry) = self.entry_of(&to) else {
            return self.on_wrong_run(from, to, call, &message);
        };
        self.serial += 1;
        let ticket = self.serial;
        let waiter = Waiter::Entry { call, from, at: to, answered };
        self.tickets.insert(ticket, waiter);
        let before = self.forgetful(&message).then(|| self.nodes[entry].table.clone());
        let message = self.without_round(entry, message);
        self.feed(entry, Input::Message { ticket, message });
        if let Some(before) = before {
            self.nodes[entry].table = before;
        }
    }

    fn forgetful(&self, message: &Message) -> bool {
        self.mutation == Some(Mutation::ForgetGrant) && matches!(message, Message::Ask { .. })
    }

    fn without_round(&self, entry: usize, message: Message) -> Message {
        match message {
            Message::Submit { terms, owner_silent, .. }
                if self.mutation == Some(Mutation::IgnoreRound)
                    && self.nodes[entry].table.spec(&terms.key).is_some() =>
            {
                Message::Submit { terms, owner_silent, round: u64::MAX / 2 }
            }
            other => other,
        }
    }

    /// Another run of the entry answers what was meant for an earlier one; a dead one does not.
    fn on_wrong_run(&mut self, from: NodeId, to: NodeId, call: u64, message: &Message) {
        let reply = match message {
            Message::Hold { .. } => MessageReply::Hold(ledger::HoldReply::OtherRun),
            Message::Ask { .. } => MessageReply::Ask(AskReply::NotHeld),
            Message::Void { .. } => MessageReply::Void(VoidReply::Undecided),
            _ => return,
        };
        if self.nodes[self.index_of(&to)].up {
            self.schedule(LATENCY, Event::Answer { from: to, to: from, call, reply });
        }
    }

    fn on_answer(&mut self, to: &NodeId, call: u64, reply: Option<MessageReply>) {
        let Some(entry) = self.entry_of(to) else { return };
        if self.calls.get(&call).is_none_or(|pending| pending.from != *to) {
            return;
        }
        let Some(Pending { call, .. }) = self.calls.remove(&call) else { return };
        self.feed(entry, Input::Reply { call, reply });
    }

    fn on_response(&mut self, ticket: Ticket, response: Response) {
        match self.tickets.remove(&ticket) {
            Some(Waiter::Entry { call, from, at, answered: true }) => {
                let reply = match response {
                    Response::Located(_) => MessageReply::Done,
                    Response::Over(round) => MessageReply::Over(round),
                    Response::Failed(failure) => MessageReply::Failure(failure),
                    Response::Reply(reply) => reply,
                };
                self.schedule(LATENCY, Event::Answer { from: at, to: from, call, reply });
            }
            Some(Waiter::Submit { caller, serial }) => {
                self.on_submitted(caller, serial, response);
            }
            Some(Waiter::Read { caller, serial, at }) => {
                self.on_witness_read(caller, serial, &at, response);
            }
            Some(Waiter::Entry { .. }) | None => {}
        }
    }

    fn see(&mut self, seen: Seen) {
        self.log.seen.push((self.now, seen));
    }
}

/// Tells whether an event can start nothing.
fn is_idle(event: &Event) -> bool {
    matches!(event, Event::Poll { .. } | Event::GiveUpTry { .. } | Event::Timeout { .. })
}

fn terms(key: &Key, repeatable: bool) -> RequestSpec {
    RequestSpec {
        key: key.clone(),
        service: "service".into(),
        path: "".into(),
        body: bytes::Bytes::new(),
        digest: 1,
        repeatable,
        left_ms: END,
    }
}
