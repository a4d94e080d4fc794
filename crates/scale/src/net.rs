//! The network: entries, messages under way, and virtual time.

use crate::check::Violation;
use crate::fault::{Effect, Fault, Phase};
use kernel::{Millis, Name, NodeId};
use member::{
    Action, Change, Event, Machine, Member, MemberState, Message, Settings, Table, Update,
};
use peer::{Reply, Request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One-way delay within a region, in milliseconds.
const NEAR_MS: Millis = 1;
/// One-way delay between regions, in milliseconds.
const FAR_MS: Millis = 15;
/// Delay of a message that comes too late for every limit, in milliseconds.
const LATE_MS: Millis = 900;
/// Regions, as in the expected deployment.
pub(crate) const REGIONS: usize = 3;
/// Data centres, as in the expected deployment.
pub(crate) const DATA_CENTRES: usize = 7;
/// Entries whose addresses are known to all.
const SEEDS: usize = 3;
/// Incarnation of first runs.
const FIRST_RUN: u64 = 1_839_443_134_598_004;

/// Size and settings of a network.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Entries.
    pub entries: usize,
    /// Settings of each entry; the seeds are filled in.
    pub settings: Settings,
    /// Seed of the random source.
    pub seed: u64,
    /// Whether each message is encoded, counted and decoded.
    pub encoded: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self { entries: 8, settings: Settings::default(), seed: 1, encoded: false }
    }
}

/// What one entry cost.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// Bytes of the messages sent.
    pub sent_bytes: u64,
    /// Bytes of the messages received.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent: u64,
    /// Messages received.
    pub received: u64,
    /// Processor time of the machine and the codec.
    pub busy: Duration,
}

struct Entry {
    member: Member,
    machine: Option<Machine>,
    started: Millis,
    paused: bool,
    held: Vec<Delivery>,
    cost: Cost,
}

#[derive(Clone)]
enum Delivery {
    Tick { entry: usize, run: u64 },
    Request { from: usize, run: u64, exchange: u64, to: usize, node: NodeId, message: Message },
    Reply { to: usize, run: u64, exchange: u64, message: Message },
    Timeout { entry: usize, run: u64, exchange: u64 },
}

impl Delivery {
    fn entry(&self) -> usize {
        match self {
            Self::Tick { entry, .. } | Self::Timeout { entry, .. } => *entry,
            Self::Request { to, .. } | Self::Reply { to, .. } => *to,
        }
    }
}

struct Ticket {
    from: usize,
    run: u64,
    exchange: u64,
}

/// A network of entries.
pub struct Net {
    entries: Vec<Entry>,
    by_address: HashMap<SocketAddr, usize>,
    shape: Shape,
    now: Millis,
    rng: StdRng,
    order: u64,
    under_way: BinaryHeap<Reverse<(Millis, u64)>>,
    deliveries: HashMap<u64, Delivery>,
    tickets: HashMap<u64, Ticket>,
    faults: Vec<Fault>,
    history: Vec<(Millis, usize, Change)>,
    heard: Vec<u64>,
    longest: usize,
    superseded: Vec<(usize, u64)>,
    violations: Vec<Violation>,
}

impl Net {
    /// Creates a network whose entries are all down.
    pub fn new(shape: Shape) -> Self {
        let entries: Vec<Entry> = (0..shape.entries).map(entry).collect();
        let by_address = entries.iter().enumerate().map(|(i, e)| (e.member.peer, i)).collect();
        Self {
            entries,
            by_address,
            now: 1_000_000,
            rng: StdRng::seed_from_u64(shape.seed),
            order: 0,
            under_way: BinaryHeap::new(),
            deliveries: HashMap::new(),
            tickets: HashMap::new(),
            faults: Vec::new(),
            history: Vec::new(),
            heard: vec![0; shape.entries],
            longest: 0,
            superseded: Vec::new(),
            violations: Vec::new(),
            shape,
        }
    }

    /// Creates a network whose entries all run and know each other.
    pub fn settled(shape: Shape) -> Self {
        let mut net = Self::new(shape);
        (0..net.len()).for_each(|i| net.start(i));
        let members: Vec<Member> = net.entries.iter().map(|e| e.member.clone()).collect();
        let updates =
            members.iter().map(|m| Update::Member { member: m.clone(), age: 0 }).collect();
        let from = NodeId::default();
        let all = Message { from, generation: 0, body: member::Body::Push, updates };
        for i in 0..net.len() {
            let event = Event::Request { request_id: u64::MAX, message: all.clone() };
            drop(net.step(i, event));
        }
        net.history.clear();
        net
    }

    /// Returns the virtual time, in milliseconds.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Counts the entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Tells whether there is no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns what an entry knows, if it runs.
    pub fn table(&self, i: usize) -> Option<&Table> {
        self.entries[i].machine.as_ref().map(Machine::table)
    }

    /// Lists the backend servers that an entry knows to be leaving.
    pub fn leaving_servers(&self, i: usize) -> Vec<Name> {
        self.entries[i].machine.as_ref().map(Machine::leaving_servers).unwrap_or_default()
    }

    /// Counts the topics that an entry still has to pass on.
    pub fn queued(&self, i: usize) -> usize {
        self.entries[i].machine.as_ref().map_or(0, Machine::queued_updates)
    }

    /// Returns the present or last run of an entry.
    pub fn node(&self, i: usize) -> &NodeId {
        &self.entries[i].member.node
    }

    /// Lists the entries that run.
    pub fn running(&self) -> Vec<usize> {
        (0..self.len()).filter(|i| self.entries[*i].machine.is_some()).collect()
    }

    /// Lists the entries of a data centre.
    pub fn in_data_centre(&self, centre: usize) -> Vec<usize> {
        (0..self.len()).filter(|i| i % DATA_CENTRES == centre).collect()
    }

    /// Lists the entries of a region.
    pub fn in_region(&self, region: usize) -> Vec<usize> {
        (0..self.len()).filter(|i| region_of(*i) == region).collect()
    }

    /// Returns what an entry cost.
    pub fn cost(&self, i: usize) -> Cost {
        self.entries[i].cost
    }

    /// Forgets what the entries cost so far.
    pub fn reset_costs(&mut self) {
        self.entries.iter_mut().for_each(|e| e.cost = Cost::default());
    }

    /// Lists what entries published, with the time and the entry.
    pub fn history(&self) -> &[(Millis, usize, Change)] {
        &self.history
    }

    /// Lists the runs that learned of a later run of their name, with its incarnation.
    pub fn superseded(&self) -> &[(usize, u64)] {
        &self.superseded
    }

    /// Returns the most news that one message held.
    pub fn longest_message(&self) -> usize {
        self.longest
    }

    /// Lists the promises broken on the way.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Adds a fault.
    pub fn fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Removes all faults.
    pub fn heal(&mut self) {
        self.faults.clear();
    }

    /// Starts an entry; a later start is a later run.
    pub fn start(&mut self, i: usize) {
        let run = self.entries[i].member.node.incarnation + 1;
        self.start_as(i, run);
    }

    /// Starts an entry with a given incarnation.
    pub fn start_as(&mut self, i: usize, run: u64) {
        let seeds = (0..SEEDS.min(self.len())).map(|i| self.entries[i].member.peer);
        let settings = Settings {
            seeds: seeds.filter(|seed| *seed != self.entries[i].member.peer).collect(),
            ..self.shape.settings.clone()
        };
        let entry = &mut self.entries[i];
        entry.member.node.incarnation = run;
        entry.machine = Some(Machine::new(entry.member.clone(), settings));
        entry.started = self.now;
        entry.paused = false;
        entry.held.clear();
        let first = self.rng.random_range(0..self.shape.settings.probe_interval);
        self.deliver(first, Delivery::Tick { entry: i, run });
    }

    /// Ends the process of an entry.
    pub fn kill(&mut self, i: usize) {
        self.entries[i].machine = None;
        self.entries[i].held.clear();
    }

    /// Stops an entry without ending it.
    pub fn pause(&mut self, i: usize) {
        self.entries[i].paused = true;
    }

    /// Lets a paused entry go on; what was under way arrives now.
    pub fn wake(&mut self, i: usize) {
        self.entries[i].paused = false;
        for delivery in std::mem::take(&mut self.entries[i].held) {
            self.deliver(0, delivery);
        }
    }

    /// Says that an entry leaves.
    pub fn leave(&mut self, i: usize) {
        self.step_and_act(i, Event::Leave);
    }

    /// Tells an entry that a backend server is leaving.
    pub fn server_leaves(&mut self, i: usize, server: &str) {
        self.step_and_act(i, Event::ServerLeaving(Name::from(server)));
    }

    /// Puts a generation in force at an entry.
    pub fn set_generation(&mut self, i: usize, generation: u64) {
        self.heard[i] = generation;
        self.step_and_act(i, Event::Generation(generation));
    }

    /// Returns the generation in force at an entry.
    pub fn generation(&self, i: usize) -> u64 {
        self.heard[i]
    }

    /// Runs for a time, in milliseconds.
    pub fn run(&mut self, time: Millis) {
        let end = self.now + time;
        while let Some(Reverse((at, number))) = self.under_way.peek().copied() {
            if at > end {
                break;
            }
            self.under_way.pop();
            self.now = at;
            if let Some(delivery) = self.deliveries.remove(&number) {
                self.handle(delivery);
            }
        }
        self.now = end;
    }

    /// Runs until a condition holds, and returns the time it took, or `None` after the limit.
    pub fn run_until(&mut self, limit: Millis, holds: impl Fn(&Self) -> bool) -> Option<Millis> {
        let start = self.now;
        while self.now - start <= limit {
            if holds(self) {
                return Some(self.now - start);
            }
            self.run(50);
        }
        None
    }

    /// Tells whether every running entry sees another as the test says.
    pub fn all_see(&self, sees: impl Fn(&Table) -> bool) -> bool {
        self.running().into_iter().filter_map(|i| self.table(i)).all(sees)
    }

    fn deliver(&mut self, after: Millis, delivery: Delivery) {
        self.order += 1;
        self.under_way.push(Reverse((self.now + after, self.order)));
        self.deliveries.insert(self.order, delivery);
    }

    fn handle(&mut self, delivery: Delivery) {
        let i = delivery.entry();
        if self.entries[i].paused {
            self.entries[i].held.push(delivery);
            return;
        }
        match delivery {
            Delivery::Tick { entry, run } => {
                if self.runs(entry, run) {
                    self.step_and_act(entry, Event::Tick);
                    let every = self.shape.settings.probe_interval;
                    self.deliver(every, Delivery::Tick { entry, run });
                }
            }
            Delivery::Request { from, run, exchange, to, node, message } => {
                let addressed = node.name.is_empty() || node == self.entries[to].member.node;
                if self.entries[to].machine.is_some() && addressed {
                    self.order += 1;
                    let request_id = self.order;
                    self.tickets.insert(request_id, Ticket { from, run, exchange });
                    self.step_and_act(to, Event::Request { request_id, message });
                }
            }
            Delivery::Reply { to, run, exchange, message } => {
                if self.runs(to, run) {
                    self.step_and_act(to, Event::Reply { exchange, message });
                }
            }
            Delivery::Timeout { entry, run, exchange } => {
                if self.runs(entry, run) {
                    self.step_and_act(entry, Event::Failed { exchange });
                }
            }
        }
    }

    fn runs(&self, i: usize, run: u64) -> bool {
        let entry = &self.entries[i];
        entry.machine.is_some() && entry.member.node.incarnation == run
    }

    fn step_and_act(&mut self, i: usize, event: Event) {
        for action in self.step(i, event) {
            self.act(i, action);
        }
    }

    fn step(&mut self, i: usize, event: Event) -> Vec<Action> {
        let drawn = self.rng.random();
        let entry = &mut self.entries[i];
        let Some(machine) = &mut entry.machine else { return Vec::new() };
        let begin = Instant::now();
        let actions = machine.step(event, self.now - entry.started, drawn);
        entry.cost.busy += begin.elapsed();
        actions
    }

    fn act(&mut self, i: usize, action: Action) {
        let run = self.entries[i].member.node.incarnation;
        match action {
            Action::Exchange { exchange, address, to, message, timeout: limit } => {
                self.check_target(i, &to);
                self.deliver(limit, Delivery::Timeout { entry: i, run, exchange });
                let Some(target) = self.by_address.get(&address).copied() else { return };
                let phase = Phase::of(&message);
                let message = self.transfer(i, target, message, Some(&to));
                let request = |message| Delivery::Request {
                    from: i,
                    run,
                    exchange,
                    to: target,
                    node: to.clone(),
                    message,
                };
                self.send(i, target, phase, request(message));
            }
            Action::Reply { request_id, message } => {
                let Some(Ticket { from, run, exchange }) = self.tickets.remove(&request_id) else {
                    return;
                };
                let phase = Phase::of(&message);
                let message = self.transfer(i, from, message, None);
                self.send(i, from, phase, Delivery::Reply { to: from, run, exchange, message });
            }
            Action::Publish(change) => self.history.push((self.now, i, change)),
            Action::Superseded(incarnation) => self.superseded.push((i, incarnation)),
            Action::HigherGeneration { generation, .. } => self.hear(i, generation),
            Action::LeavingServers(_) => {}
        }
    }

    /// Puts a generation in force at once, as an entry does that can read it from the sender.
    fn hear(&mut self, i: usize, generation: u64) {
        self.heard[i] = generation;
        self.step_and_act(i, Event::Generation(generation));
    }

    /// Nobody may turn to a run that it knows to be over.
    fn check_target(&mut self, i: usize, to: &NodeId) {
        let gone = self.table(i).is_some_and(|table| table.is_gone(to));
        if gone {
            self.violations.push(Violation::UsedOverRun { by: i, run: to.clone() });
        }
    }

    /// Encodes and decodes a message, and counts what that costs on both sides.
    fn transfer(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        node: Option<&NodeId>,
    ) -> Message {
        let message = self.strip(message);
        self.longest = self.longest.max(message.updates.len());
        if !self.shape.encoded {
            return message;
        }
        let begin = Instant::now();
        let bytes = match node {
            Some(node) => peer::encode_request(node, &Request::Gossip(message)),
            None => peer::encode_reply(&Reply::Gossip(message)),
        };
        let encoded = Instant::now();
        let decoded = decode(&bytes, node.is_some());
        let cost = &mut self.entries[from].cost;
        cost.sent += 1;
        cost.sent_bytes += bytes.len() as u64;
        cost.busy += encoded - begin;
        let cost = &mut self.entries[to].cost;
        cost.received += 1;
        cost.received_bytes += bytes.len() as u64;
        cost.busy += encoded.elapsed();
        decoded
    }

    fn strip(&self, mut message: Message) -> Message {
        let strips = self.faults.iter().any(|fault| matches!(fault, Fault::NoRefutation));
        for update in message.updates.iter_mut().filter(|_| strips) {
            if let Update::Member { member, .. } = update {
                member.refutation = 0;
            }
        }
        message
    }

    fn send(&mut self, from: usize, to: usize, phase: Phase, delivery: Delivery) {
        let near = region_of(from) == region_of(to);
        let mut delay = if near { NEAR_MS } else { FAR_MS };
        let mut twice = false;
        for fault in self.faults.clone() {
            match fault {
                Fault::Loss(share) if self.rng.random_bool(share) => return,
                Fault::OneWay(a, b) if (from, to) == (a, b) => return,
                Fault::RegionCut(region)
                    if (region_of(from) == region) != (region_of(to) == region) =>
                {
                    return;
                }
                Fault::Slow(entry, by) if entry == from || entry == to => delay += by,
                Fault::Step(entry, step, effect)
                    if step == phase && (entry == from || entry == to) =>
                {
                    match effect {
                        Effect::Lost => return,
                        Effect::Late => delay += LATE_MS,
                        Effect::Twice => twice = true,
                    }
                }
                _ => {}
            }
        }
        if twice {
            self.deliver(delay + 5, delivery.clone());
        }
        self.deliver(delay, delivery);
    }
}

fn decode(bytes: &[u8], request: bool) -> Message {
    let decoded = if request {
        peer::decode_request(bytes).map(|(_, req)| match req {
            Request::Gossip(message) => Some(message),
            _ => None,
        })
    } else {
        peer::decode_reply(bytes).map(|reply| match reply {
            Reply::Gossip(message) => Some(message),
            _ => None,
        })
    };
    decoded.ok().flatten().expect("what was encoded can be decoded")
}

fn entry(i: usize) -> Entry {
    let address = |port| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], port));
    let member = Member {
        node: NodeId::new(format!("entry-{i}"), FIRST_RUN),
        http: address(8080),
        peer: address(8081),
        region: Name::from(format!("region-{}", region_of(i))),
        data_centre: Name::from(format!("data-centre-{}", i % DATA_CENTRES)),
        state: MemberState::Alive,
        refutation: 0,
    };
    Entry {
        member,
        machine: None,
        started: 0,
        paused: false,
        held: Vec::new(),
        cost: Cost::default(),
    }
}

fn region_of(i: usize) -> usize {
    i % DATA_CENTRES % REGIONS
}
