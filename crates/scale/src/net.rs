//! The simulated network: entries, messages in flight and virtual time.

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
const REGION_DELAY_MS: Millis = 1;
/// One-way delay between regions, in milliseconds.
const CROSS_REGION_DELAY_MS: Millis = 15;
/// Extra delay of a late message, above every timeout of the protocol, in milliseconds.
const LATE_MS: Millis = 900;
/// Number of regions, as in the expected deployment.
pub(crate) const REGIONS: usize = 3;
/// Number of data centres, as in the expected deployment.
pub(crate) const DATA_CENTRES: usize = 7;
/// Number of entries that act as seeds.
const SEED_COUNT: usize = 3;
/// Initial incarnation number.
const FIRST_INCARNATION: u64 = 1_839_443_134_598_004;

/// Options of a network.
#[derive(Clone, Debug)]
pub struct NetOptions {
    /// Number of entries.
    pub entries: usize,
    /// Settings of each entry; the seeds are overwritten.
    pub settings: Settings,
    /// Seed of the random source.
    pub seed: u64,
    /// Whether messages are encoded and decoded, and their cost counted.
    pub encoded: bool,
}

impl Default for NetOptions {
    fn default() -> Self {
        Self { entries: 8, settings: Settings::default(), seed: 1, encoded: false }
    }
}

/// Cost of the protocol at one entry.
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
    /// CPU time of the state machine and the codec.
    pub busy: Duration,
}

/// One simulated entry.
struct Entry {
    member: Member,
    machine: Option<Machine>,
    /// Virtual time of the start, in milliseconds.
    started: Millis,
    paused: bool,
    /// Deliveries that arrived while the entry was paused.
    deferred: Vec<Delivery>,
    cost: Cost,
}

/// A timer, message or timeout, addressed to one incarnation of an entry.
#[derive(Clone)]
enum Delivery {
    Tick {
        entry: usize,
        incarnation: u64,
    },
    Request {
        from: usize,
        incarnation: u64,
        exchange: u64,
        to: usize,
        node: NodeId,
        message: Message,
    },
    Reply {
        to: usize,
        incarnation: u64,
        exchange: u64,
        message: Message,
    },
    Timeout {
        entry: usize,
        incarnation: u64,
        exchange: u64,
    },
}

impl Delivery {
    fn entry(&self) -> usize {
        match self {
            Self::Tick { entry, .. } | Self::Timeout { entry, .. } => *entry,
            Self::Request { to, .. } | Self::Reply { to, .. } => *to,
        }
    }
}

/// The exchange that a request belongs to.
struct PendingRequest {
    from: usize,
    incarnation: u64,
    exchange: u64,
}

/// A simulated network of entries.
pub struct Net {
    entries: Vec<Entry>,
    by_address: HashMap<SocketAddr, usize>,
    options: NetOptions,
    now: Millis,
    rng: StdRng,
    /// Last number assigned to a delivery or request; breaks ties between equal due times.
    last_sequence: u64,
    /// Due time and sequence number of each delivery.
    in_flight: BinaryHeap<Reverse<(Millis, u64)>>,
    deliveries: HashMap<u64, Delivery>,
    requests: HashMap<u64, PendingRequest>,
    faults: Vec<Fault>,
    history: Vec<(Millis, usize, Change)>,
    generations: Vec<u64>,
    max_updates: usize,
    superseded: Vec<(usize, u64)>,
    violations: Vec<Violation>,
}

impl Net {
    /// Creates a network whose entries are all down.
    pub fn new(options: NetOptions) -> Self {
        let entries: Vec<Entry> = (0..options.entries).map(entry).collect();
        let by_address = entries.iter().enumerate().map(|(i, e)| (e.member.peer, i)).collect();
        Self {
            entries,
            by_address,
            now: 1_000_000,
            rng: StdRng::seed_from_u64(options.seed),
            last_sequence: 0,
            in_flight: BinaryHeap::new(),
            deliveries: HashMap::new(),
            requests: HashMap::new(),
            faults: Vec::new(),
            history: Vec::new(),
            generations: vec![0; options.entries],
            max_updates: 0,
            superseded: Vec::new(),
            violations: Vec::new(),
            options,
        }
    }

    /// Creates a network in which all entries run and know each other.
    pub fn converged(options: NetOptions) -> Self {
        let mut net = Self::new(options);
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

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the membership table of an entry, if it runs.
    pub fn table(&self, i: usize) -> Option<&Table> {
        self.entries[i].machine.as_ref().map(Machine::table)
    }

    /// Lists the backend servers that an entry knows to be leaving.
    pub fn leaving_servers(&self, i: usize) -> Vec<Name> {
        self.entries[i].machine.as_ref().map(Machine::leaving_servers).unwrap_or_default()
    }

    /// Returns the number of updates that an entry has yet to send.
    pub fn queued_updates(&self, i: usize) -> usize {
        self.entries[i].machine.as_ref().map_or(0, Machine::queued_updates)
    }

    /// Returns the current or last incarnation of an entry.
    pub fn node(&self, i: usize) -> &NodeId {
        &self.entries[i].member.node
    }

    /// Lists the running entries.
    pub fn running(&self) -> Vec<usize> {
        (0..self.len()).filter(|i| self.entries[*i].machine.is_some()).collect()
    }

    /// Lists the entries of a data centre.
    pub fn in_data_centre(&self, data_centre: usize) -> Vec<usize> {
        (0..self.len()).filter(|i| i % DATA_CENTRES == data_centre).collect()
    }

    /// Lists the entries of a region.
    pub fn in_region(&self, region: usize) -> Vec<usize> {
        (0..self.len()).filter(|i| region_of(*i) == region).collect()
    }

    /// Returns the cost at an entry.
    pub fn cost(&self, i: usize) -> Cost {
        self.entries[i].cost
    }

    /// Resets the costs of all entries.
    pub fn reset_costs(&mut self) {
        self.entries.iter_mut().for_each(|e| e.cost = Cost::default());
    }

    /// Lists the membership changes published, with the time and the entry.
    pub fn history(&self) -> &[(Millis, usize, Change)] {
        &self.history
    }

    /// Lists the entries that detected a later incarnation of themselves, with its number.
    pub fn superseded(&self) -> &[(usize, u64)] {
        &self.superseded
    }

    /// Returns the maximum number of updates in one message.
    pub fn max_updates_in_message(&self) -> usize {
        self.max_updates
    }

    /// Lists the messages sent to incarnations known to be gone.
    pub fn violations(&self) -> &[Violation] {
        &self.violations
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Removes all faults.
    pub fn clear_faults(&mut self) {
        self.faults.clear();
    }

    /// Starts an entry with the next incarnation.
    pub fn start(&mut self, i: usize) {
        let incarnation = self.entries[i].member.node.incarnation + 1;
        self.start_as(i, incarnation);
    }

    /// Starts an entry with a given incarnation.
    pub fn start_as(&mut self, i: usize, incarnation: u64) {
        let seeds = (0..SEED_COUNT.min(self.len())).map(|i| self.entries[i].member.peer);
        let settings = Settings {
            seeds: seeds.filter(|seed| *seed != self.entries[i].member.peer).collect(),
            ..self.options.settings.clone()
        };
        let entry = &mut self.entries[i];
        entry.member.node.incarnation = incarnation;
        entry.machine = Some(Machine::new(entry.member.clone(), settings));
        entry.started = self.now;
        entry.paused = false;
        entry.deferred.clear();
        let first = self.rng.random_range(0..self.options.settings.probe_interval);
        self.schedule(first, Delivery::Tick { entry: i, incarnation });
    }

    /// Kills the process of an entry.
    pub fn kill(&mut self, i: usize) {
        self.entries[i].machine = None;
        self.entries[i].deferred.clear();
    }

    /// Pauses the process of an entry.
    pub fn pause(&mut self, i: usize) {
        self.entries[i].paused = true;
    }

    /// Resumes a paused entry; messages and timeouts of the pause arrive now.
    pub fn resume(&mut self, i: usize) {
        self.entries[i].paused = false;
        for delivery in std::mem::take(&mut self.entries[i].deferred) {
            self.schedule(0, delivery);
        }
    }

    /// Makes an entry announce that it is leaving.
    pub fn leave(&mut self, i: usize) {
        self.step_and_execute(i, Event::Leave);
    }

    /// Makes an entry announce that a backend server is leaving.
    pub fn announce_leaving_server(&mut self, i: usize, server: &str) {
        self.step_and_execute(i, Event::ServerLeaving(Name::from(server)));
    }

    /// Activates a generation at an entry.
    pub fn set_generation(&mut self, i: usize, generation: u64) {
        self.generations[i] = generation;
        self.step_and_execute(i, Event::Generation(generation));
    }

    /// Returns the active generation of an entry.
    pub fn generation(&self, i: usize) -> u64 {
        self.generations[i]
    }

    /// Advances the virtual time, in milliseconds, and processes all events due.
    pub fn run(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some(Reverse((at, sequence))) = self.in_flight.peek().copied() {
            if at > end {
                break;
            }
            self.in_flight.pop();
            self.now = at;
            if let Some(delivery) = self.deliveries.remove(&sequence) {
                self.handle(delivery);
            }
        }
        self.now = end;
    }

    /// Runs until a condition holds and returns the time it took, or `None` on timeout.
    pub fn run_until(
        &mut self,
        timeout: Millis,
        condition: impl Fn(&Self) -> bool,
    ) -> Option<Millis> {
        let start = self.now;
        while self.now - start <= timeout {
            if condition(self) {
                return Some(self.now - start);
            }
            self.run(50);
        }
        None
    }

    /// Returns whether the condition holds for the tables of all running entries.
    pub fn all_tables(&self, condition: impl Fn(&Table) -> bool) -> bool {
        self.running().into_iter().filter_map(|i| self.table(i)).all(condition)
    }

    fn schedule(&mut self, after: Millis, delivery: Delivery) {
        self.last_sequence += 1;
        self.in_flight.push(Reverse((self.now + after, self.last_sequence)));
        self.deliveries.insert(self.last_sequence, delivery);
    }

    fn handle(&mut self, delivery: Delivery) {
        let i = delivery.entry();
        if self.entries[i].paused {
            self.entries[i].deferred.push(delivery);
            return;
        }
        match delivery {
            Delivery::Tick { entry, incarnation } => {
                if self.is_running(entry, incarnation) {
                    self.step_and_execute(entry, Event::Tick);
                    let interval = self.options.settings.probe_interval;
                    self.schedule(interval, Delivery::Tick { entry, incarnation });
                }
            }
            Delivery::Request { from, incarnation, exchange, to, node, message } => {
                let is_addressed = node.name.is_empty() || node == self.entries[to].member.node;
                if self.entries[to].machine.is_some() && is_addressed {
                    self.last_sequence += 1;
                    let request_id = self.last_sequence;
                    self.requests
                        .insert(request_id, PendingRequest { from, incarnation, exchange });
                    self.step_and_execute(to, Event::Request { request_id, message });
                }
            }
            Delivery::Reply { to, incarnation, exchange, message } => {
                if self.is_running(to, incarnation) {
                    self.step_and_execute(to, Event::Reply { exchange, message });
                }
            }
            Delivery::Timeout { entry, incarnation, exchange } => {
                if self.is_running(entry, incarnation) {
                    self.step_and_execute(entry, Event::Failed { exchange });
                }
            }
        }
    }

    fn is_running(&self, i: usize, incarnation: u64) -> bool {
        let entry = &self.entries[i];
        entry.machine.is_some() && entry.member.node.incarnation == incarnation
    }

    fn step_and_execute(&mut self, i: usize, event: Event) {
        for action in self.step(i, event) {
            self.execute(i, action);
        }
    }

    fn step(&mut self, i: usize, event: Event) -> Vec<Action> {
        let random = self.rng.random();
        let entry = &mut self.entries[i];
        let Some(machine) = &mut entry.machine else { return Vec::new() };
        let start = Instant::now();
        let actions = machine.step(event, self.now - entry.started, random);
        entry.cost.busy += start.elapsed();
        actions
    }

    fn execute(&mut self, i: usize, action: Action) {
        let incarnation = self.entries[i].member.node.incarnation;
        match action {
            Action::Exchange { exchange, address, to, message, timeout } => {
                self.check_destination(i, &to);
                self.schedule(timeout, Delivery::Timeout { entry: i, incarnation, exchange });
                let Some(target) = self.by_address.get(&address).copied() else { return };
                let phase = Phase::of(&message);
                let message = self.transfer(i, target, message, Some(&to));
                let request = |message| Delivery::Request {
                    from: i,
                    incarnation,
                    exchange,
                    to: target,
                    node: to.clone(),
                    message,
                };
                self.send(i, target, phase, request(message));
            }
            Action::Reply { request_id, message } => {
                let Some(PendingRequest { from, incarnation, exchange }) =
                    self.requests.remove(&request_id)
                else {
                    return;
                };
                let phase = Phase::of(&message);
                let message = self.transfer(i, from, message, None);
                self.send(
                    i,
                    from,
                    phase,
                    Delivery::Reply { to: from, incarnation, exchange, message },
                );
            }
            Action::Publish(change) => self.history.push((self.now, i, change)),
            Action::Superseded(incarnation) => self.superseded.push((i, incarnation)),
            Action::HigherGeneration { generation, .. } => self.activate_generation(i, generation),
            Action::LeavingServers(_) => {}
        }
    }

    /// Activates a generation immediately, like an entry that can read it from the sender.
    fn activate_generation(&mut self, i: usize, generation: u64) {
        self.generations[i] = generation;
        self.step_and_execute(i, Event::Generation(generation));
    }

    /// Records a violation if the entry knows that the addressed incarnation is gone.
    fn check_destination(&mut self, i: usize, to: &NodeId) {
        let is_gone = self.table(i).is_some_and(|table| table.is_gone(to));
        if is_gone {
            self.violations.push(Violation::SentToGone { by: i, node: to.clone() });
        }
    }

    /// Encodes and decodes a message, and counts the cost at both entries.
    fn transfer(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
        node: Option<&NodeId>,
    ) -> Message {
        let message = self.strip_refutations(message);
        self.max_updates = self.max_updates.max(message.updates.len());
        if !self.options.encoded {
            return message;
        }
        let start = Instant::now();
        let bytes = match node {
            Some(node) => peer::encode_request(node, &Request::Gossip(message)),
            None => peer::encode_reply(&Reply::Gossip(message)),
        };
        let encoded = Instant::now();
        let decoded = decode(&bytes, node.is_some());
        let cost = &mut self.entries[from].cost;
        cost.sent += 1;
        cost.sent_bytes += bytes.len() as u64;
        cost.busy += encoded - start;
        let cost = &mut self.entries[to].cost;
        cost.received += 1;
        cost.received_bytes += bytes.len() as u64;
        cost.busy += encoded.elapsed();
        decoded
    }

    fn strip_refutations(&self, mut message: Message) -> Message {
        let is_active = self.faults.iter().any(|fault| matches!(fault, Fault::NoRefutation));
        for update in message.updates.iter_mut().filter(|_| is_active) {
            if let Update::Member { member, .. } = update {
                member.refutation = 0;
            }
        }
        message
    }

    fn send(&mut self, from: usize, to: usize, phase: Phase, delivery: Delivery) {
        let same_region = region_of(from) == region_of(to);
        let mut delay = if same_region { REGION_DELAY_MS } else { CROSS_REGION_DELAY_MS };
        let mut is_duplicate = false;
        for fault in self.faults.clone() {
            match fault {
                Fault::Loss(probability) if self.rng.random_bool(probability) => return,
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
                        Effect::Twice => is_duplicate = true,
                    }
                }
                _ => {}
            }
        }
        if is_duplicate {
            self.schedule(delay + 5, delivery.clone());
        }
        self.schedule(delay, delivery);
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
    decoded.ok().flatten().expect("an encoded message decodes")
}

fn entry(i: usize) -> Entry {
    let address = |port| SocketAddr::from(([10, 0, (i / 250) as u8, (i % 250) as u8], port));
    let member = Member {
        node: NodeId::new(format!("entry-{i}"), FIRST_INCARNATION),
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
        deferred: Vec::new(),
        cost: Cost::default(),
    }
}

fn region_of(i: usize) -> usize {
    i % DATA_CENTRES % REGIONS
}
