//! The protocol as a pure machine: an event, the time and a drawn number give actions.

mod exchanges;
mod spread;

use crate::draw::Draw;
use crate::gossip::{Body, Member, MemberState, Message, Update};
use crate::queue::{Queue, Topic};
use crate::servers::LeavingServers;
use crate::settings::Settings;
use crate::table::{Change, Table};
use kernel::{Millis, Name, NodeId};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed; comes every [`Settings::probe_every`].
    Tick,
    /// Another entry asks; the answer must name the ticket.
    Asked {
        /// Names this request towards the shell.
        ticket: u64,
        /// The request.
        message: Message,
    },
    /// An exchange was answered.
    Answered {
        /// Number of the exchange.
        exchange: u64,
        /// The answer.
        message: Message,
    },
    /// An exchange was not answered in time.
    Failed {
        /// Number of the exchange.
        exchange: u64,
    },
    /// This entry is leaving.
    Leave,
    /// A generation of the configuration is in force here.
    Generation(u64),
    /// A backend server is leaving.
    ServerLeaving(Name),
}

/// What to do next.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a message and report the answer, or the lack of one within the limit.
    Exchange {
        /// Number of the exchange.
        exchange: u64,
        /// Where to send it.
        address: SocketAddr,
        /// The run addressed; an empty name addresses any run.
        to: NodeId,
        /// The message.
        message: Message,
        /// Time for the answer, in milliseconds.
        limit: Millis,
    },
    /// Answer a request.
    Answer {
        /// Names the request.
        ticket: u64,
        /// The answer.
        message: Message,
    },
    /// Tell the other services about a change.
    Publish(Change),
    /// Tell the other services that an entry has a later generation in force.
    Heard {
        /// The generation.
        generation: u64,
        /// An entry that has it.
        from: NodeId,
    },
    /// Tell the other services which backend servers are leaving.
    LeavingServers(Vec<Name>),
    /// A later run of this entry's name exists: stop.
    Superseded(u64),
}

/// Why an exchange was started.
#[derive(Clone, Debug)]
enum Purpose {
    Probe(NodeId),
    /// With the calls left after this one.
    LastCall(NodeId, u32),
    Indirect(NodeId),
    Relay(u64),
    Spread,
    Sync,
}

/// Membership as one entry sees it.
#[derive(Clone, Debug)]
pub struct Machine {
    table: Table,
    servers: LeavingServers,
    queue: Queue,
    settings: Settings,
    generation: u64,
    heard: u64,
    pending: BTreeMap<u64, Purpose>,
    /// Helpers that have not reported yet on an entry which did not answer.
    indirect: BTreeMap<NodeId, usize>,
    exchanges: u64,
    probes: u64,
    near: Vec<Name>,
    far: Vec<Name>,
    urgent: bool,
    superseded: bool,
    /// Entries that are not believed dead, this one too.
    live: usize,
    join_pause: Millis,
    next_join: Millis,
    next_sync: Millis,
    /// Time to the next comparison; doubles while nothing differs.
    sync_pause: Millis,
    next_reconnect: Millis,
    next_urgent: Millis,
    last_step: Millis,
}

/// Longest time between two attempts to join while no other entry is known.
const JOIN_PAUSE_MS: Millis = 2000;
/// Probes that a suspected entry must leave without an answer before it counts as dead.
const LAST_CALLS: u32 = 2;

impl Machine {
    /// Creates an entry that knows only itself.
    pub fn new(me: Member, settings: Settings) -> Self {
        let mut queue = Queue::default();
        queue.push(Topic::Member(me.node.name.clone()));
        Self {
            table: Table::new(me),
            servers: LeavingServers::default(),
            queue,
            generation: 0,
            heard: 0,
            pending: BTreeMap::new(),
            indirect: BTreeMap::new(),
            exchanges: 0,
            probes: 0,
            near: Vec::new(),
            far: Vec::new(),
            urgent: false,
            superseded: false,
            live: 1,
            join_pause: settings.probe_every,
            next_join: 0,
            next_sync: 0,
            sync_pause: settings.sync_again,
            next_reconnect: settings.reconnect_every,
            next_urgent: 0,
            last_step: 0,
            settings,
        }
    }

    /// Returns the members known.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Lists the backend servers that are leaving.
    pub fn leaving_servers(&self) -> Vec<Name> {
        self.servers.names().cloned().collect()
    }

    /// Counts the topics that still have to be passed on.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Takes an event in and returns what to do.
    pub fn step(&mut self, event: Event, now: Millis, drawn: u64) -> Vec<Action> {
        if self.superseded {
            return Vec::new();
        }
        let cx = &mut Step { now, draw: Draw::new(drawn), actions: Vec::new() };
        self.notice_pause(now);
        match event {
            Event::Tick => self.tick(cx),
            Event::Asked { ticket, message } => self.asked(cx, ticket, message),
            Event::Answered { exchange, message } => self.answered(cx, exchange, message),
            Event::Failed { exchange } => self.failed(cx, exchange),
            Event::Leave => self.leave(),
            Event::Generation(generation) => self.raise_generation(generation),
            Event::ServerLeaving(server) => self.server_leaving(cx, &server, 0),
        }
        self.spread(cx);
        std::mem::take(&mut cx.actions)
    }

    /// After a pause of this process, what it waited for proves nothing about others.
    fn notice_pause(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.last_step);
        self.last_step = now;
        if gap > self.settings.pause {
            self.table.extend(gap);
            self.indirect.clear();
            self.pending.retain(|_, purpose| matches!(purpose, Purpose::Relay(_)));
        }
    }

    fn tick(&mut self, cx: &mut Step) {
        self.call_suspects(cx);
        self.table.forget(cx.now, self.settings.remember_dead);
        if self.servers.forget(cx.now, self.settings.remember_leaving) {
            cx.actions.push(Action::LeavingServers(self.leaving_servers()));
        }
        self.probe_next(cx);
        self.join(cx);
        self.reconnect(cx);
        self.sync(cx);
    }

    /// Probes each entry that did not refute in time once more, before it counts as dead: the
    /// refutation may only have missed this entry.
    fn call_suspects(&mut self, cx: &mut Step) {
        let open = self.pending.values().filter(|p| matches!(p, Purpose::LastCall(..))).count();
        let room = self.settings.open_last_calls.saturating_sub(open);
        let retry = cx.now + self.patience() + 2 * self.settings.last_call;
        for member in self.table.overdue(cx.now, retry, room) {
            self.last_call(cx, member, LAST_CALLS - 1);
        }
    }

    fn last_call(&mut self, cx: &mut Step, member: Member, left: u32) {
        let purpose = Purpose::LastCall(member.node.clone(), left);
        if self.pending.len() >= self.settings.open_exchanges {
            return;
        }
        // Queued news would most likely be lost on an entry that does not answer.
        let me = Update::Member { member: self.table.me().clone(), age: 0 };
        let updates = std::iter::once(me).chain(self.doubt(&member.node, cx.now)).collect();
        let from = self.table.me().node.clone();
        let message = Message { from, generation: self.generation, body: Body::Probe, updates };
        let limit = self.settings.last_call;
        self.send(cx, purpose, member.peer, member.node, message, limit);
    }

    fn probe_next(&mut self, cx: &mut Step) {
        self.probes += 1;
        let far_first = self.probes.is_multiple_of(self.settings.far_probe_every);
        let target = self.next_target(cx, far_first).or_else(|| self.next_target(cx, !far_first));
        let Some(target) = target else { return };
        let (address, node) = (target.peer, target.node);
        let limit = self.settings.probe_timeout;
        self.exchange(cx, Purpose::Probe(node.clone()), address, node, Body::Probe, limit);
    }

    /// Returns the next entry of a shuffled round through this region or through the others.
    fn next_target(&mut self, cx: &mut Step, far: bool) -> Option<Member> {
        let mut round = std::mem::take(if far { &mut self.far } else { &mut self.near });
        let mut target = self.pop_live(&mut round);
        if target.is_none() {
            let region = &self.table.me().region;
            let fits = |member: &&Member| (member.region != *region) == far;
            let names = self.table.others().filter(fits).map(|member| member.node.name.clone());
            round = names.collect();
            let count = round.len();
            round = cx.draw.sample(round, count);
            target = self.pop_live(&mut round);
        }
        *(if far { &mut self.far } else { &mut self.near }) = round;
        target
    }

    fn pop_live(&self, round: &mut Vec<Name>) -> Option<Member> {
        while let Some(name) = round.pop() {
            let member = self.table.get(&name);
            if let Some(member) = member.filter(|member| member.state != MemberState::Dead) {
                return Some(member.clone());
            }
        }
        None
    }

    /// Asks a seed that is not known for the way in; groups that formed around different seeds
    /// find together so.
    fn join(&mut self, cx: &mut Step) {
        if cx.now < self.next_join {
            return;
        }
        let limit = if self.live > 1 { self.settings.reconnect_every } else { JOIN_PAUSE_MS };
        self.next_join = cx.now + cx.jitter(self.join_pause);
        self.join_pause = (self.join_pause * 2).min(limit);
        let seed = cx.draw.pick(self.strange_seeds());
        self.ask_stranger(cx, seed);
    }

    /// Tries a dead entry, so that groups which lost each other find together.
    fn reconnect(&mut self, cx: &mut Step) {
        if cx.now < self.next_reconnect {
            return;
        }
        self.next_reconnect = cx.now + cx.jitter(self.settings.reconnect_every);
        let dead = self.table.dead().map(|member| member.peer).collect();
        let address = cx.draw.pick(dead);
        self.ask_stranger(cx, address);
    }

    fn strange_seeds(&self) -> Vec<SocketAddr> {
        let known: HashSet<SocketAddr> = self.table.all().map(|member| member.peer).collect();
        self.settings.seeds.iter().filter(|seed| !known.contains(*seed)).copied().collect()
    }

    fn ask_stranger(&mut self, cx: &mut Step, address: Option<SocketAddr>) {
        let Some(address) = address else { return };
        let limit = self.settings.probe_timeout * 2;
        self.exchange(cx, Purpose::Spread, address, NodeId::default(), Body::Join, limit);
    }

    /// Compares the whole state with one other entry.
    fn sync(&mut self, cx: &mut Step) {
        if cx.now < self.next_sync {
            return;
        }
        let Some(partner) = cx.draw.pick(self.live_others()) else { return };
        self.next_sync = cx.now + cx.jitter(self.sync_pause);
        self.sync_pause = (self.sync_pause * 2).min(self.settings.sync_every);
        let limit = self.settings.probe_timeout * 4;
        let body = Body::Digest(self.digest().0);
        self.exchange(cx, Purpose::Sync, partner.peer, partner.node, body, limit);
    }

    /// Compares again soon, because more may differ.
    fn sync_soon(&mut self, cx: &mut Step) {
        self.sync_pause = self.settings.sync_again;
        self.next_sync = self.next_sync.min(cx.now + cx.jitter(self.sync_pause));
    }
}

/// What one step works with.
struct Step {
    now: Millis,
    draw: Draw,
    actions: Vec<Action>,
}

impl Step {
    /// Spreads a time by a fifth to either side.
    fn jitter(&mut self, time: Millis) -> Millis {
        let spread = (time * 2 / 5) as usize;
        time * 4 / 5 + self.draw.below(spread + 1) as Millis
    }
}

fn names(updates: &[Update]) -> HashSet<Name> {
    let name = |update: &Update| match update {
        Update::Member { member, .. } => member.node.name.clone(),
        Update::ServerLeaving { server, .. } => server.clone(),
    };
    updates.iter().map(name).collect()
}
