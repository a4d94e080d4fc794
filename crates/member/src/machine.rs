//! The protocol as a pure machine: an event, the time and a drawn number give actions.

use crate::digest::{self, Digest};
use crate::draw::Draw;
use crate::gossip::{Body, Member, MemberState, Message, News};
use crate::queue::{MEMBER_ROOM, Queue, Topic};
use crate::servers::LeavingServers;
use crate::settings::Settings;
use crate::table::{Change, Merged, Table};
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
        let me = News::Member { member: self.table.me().clone(), age: 0 };
        let news = std::iter::once(me).chain(self.doubt(&member.node, cx.now)).collect();
        let from = self.table.me().node.clone();
        let message = Message { from, generation: self.generation, body: Body::Probe, news };
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

    fn asked(&mut self, cx: &mut Step, ticket: u64, message: Message) {
        let from = message.from.clone();
        let body = message.body.clone();
        let mut corrections = self.corrections(&message, cx.now);
        self.take_in(cx, message);
        if self.superseded {
            return;
        }
        let (body, mut rows) = match body {
            Body::ProbeFor(target) => return self.relay(cx, ticket, &from, &target),
            Body::Join => (Body::Ack, self.welcome(cx)),
            Body::Digest(buckets) => {
                let mask = self.digest().differences(&buckets);
                let rows = self.differing(cx, &mask, &HashSet::new());
                (Body::Differences(mask), rows)
            }
            _ => (Body::Ack, Vec::new()),
        };
        rows.append(&mut corrections);
        self.answer(cx, ticket, &from, body, rows);
    }

    /// Returns what refutes the accusations of a message; so a suspicion that was refuted already
    /// ends where it is still held.
    fn corrections(&self, message: &Message, now: Millis) -> Vec<News> {
        let better = |news: &News| match news {
            News::Member { member, .. } if self.table.is_refuted(member) => {
                self.news(Topic::Member(member.node.name.clone()), now)
            }
            _ => None,
        };
        message.news.iter().filter_map(better).take(self.settings.news_per_message).collect()
    }

    /// Returns rows for an entry that joins: this one and a few others.
    fn welcome(&self, cx: &mut Step) -> Vec<News> {
        let others = cx.draw.sample(self.live_others(), self.settings.news_per_message);
        let all = std::iter::once(self.table.me().clone()).chain(others);
        all.map(|member| News::Member { member, age: 0 }).collect()
    }

    fn relay(&mut self, cx: &mut Step, ticket: u64, from: &NodeId, target: &NodeId) {
        let known = self.table.get(&target.name).filter(|member| member.node == *target);
        let known = known.filter(|member| member.state != MemberState::Dead);
        let address = known.map(|member| member.peer);
        let limit = self.settings.probe_timeout;
        let started = address.is_some_and(|address| {
            self.exchange(cx, Purpose::Relay(ticket), address, target.clone(), Body::Probe, limit)
        });
        if !started {
            self.answer(cx, ticket, from, Body::Nack, Vec::new());
        }
    }

    fn answered(&mut self, cx: &mut Step, exchange: u64, message: Message) {
        let Some(purpose) = self.pending.remove(&exchange) else { return };
        let from = message.from.clone();
        let body = message.body.clone();
        let had = names(&message.news);
        self.take_in(cx, message);
        match (purpose, body) {
            (Purpose::Indirect(target), Body::Nack) => self.no_report(cx, &target),
            (Purpose::Indirect(target), _) => {
                self.indirect.remove(&target);
            }
            (Purpose::Relay(ticket), _) => {
                self.answer(cx, ticket, &NodeId::default(), Body::Ack, Vec::new());
            }
            (Purpose::Probe(target) | Purpose::LastCall(target, _), _) => {
                self.table.answered(&target);
            }
            (Purpose::Sync, Body::Differences(mask)) => self.push(cx, &from, &mask, &had),
            (Purpose::Sync | Purpose::Spread, _) => {}
        }
    }

    /// Hands over the rows that the other side of a comparison may lack.
    fn push(&mut self, cx: &mut Step, to: &NodeId, mask: &[u8], had: &HashSet<Name>) {
        if mask.iter().all(|byte| *byte == 0) {
            return;
        }
        let rows = self.differing(cx, mask, had);
        let page = self.page(mask);
        if had.len() >= page || rows.len() >= page {
            self.sync_soon(cx);
        }
        let Some(address) = self.table.get(&to.name).map(|member| member.peer) else { return };
        if !rows.is_empty() && self.pending.len() < self.settings.open_exchanges {
            let message = self.message(Body::Push, rows, cx.now);
            let limit = self.settings.probe_timeout * 4;
            self.send(cx, Purpose::Spread, address, to.clone(), message, limit);
        }
    }

    fn failed(&mut self, cx: &mut Step, exchange: u64) {
        match self.pending.remove(&exchange) {
            Some(Purpose::Probe(target)) => self.probe_indirectly(cx, &target),
            Some(Purpose::LastCall(target, left)) => self.unanswered(cx, &target, left),
            Some(Purpose::Indirect(target)) => self.no_report(cx, &target),
            Some(Purpose::Relay(ticket)) => {
                self.answer(cx, ticket, &NodeId::default(), Body::Nack, Vec::new());
            }
            Some(Purpose::Spread | Purpose::Sync) | None => {}
        }
    }

    fn probe_indirectly(&mut self, cx: &mut Step, target: &NodeId) {
        let mut helpers = self.live_others();
        helpers.retain(|member| member.node != *target && member.state != MemberState::Suspect);
        let helpers = cx.draw.sample(helpers, self.settings.indirect_probes);
        let limit = self.settings.probe_timeout * 3;
        let mut asked = 0;
        for helper in helpers {
            let purpose = Purpose::Indirect(target.clone());
            let body = Body::ProbeFor(target.clone());
            asked += usize::from(self.exchange(cx, purpose, helper.peer, helper.node, body, limit));
        }
        match asked {
            0 => self.suspect(cx, target),
            _ => drop(self.indirect.insert(target.clone(), asked)),
        }
    }

    /// Counts a helper that did not see the target answer.
    fn no_report(&mut self, cx: &mut Step, target: &NodeId) {
        let Some(left) = self.indirect.get_mut(target) else { return };
        *left -= 1;
        if *left == 0 {
            self.indirect.remove(target);
            self.suspect(cx, target);
        }
    }

    fn unanswered(&mut self, cx: &mut Step, target: &NodeId, left: u32) {
        let member = self.table.get(&target.name).filter(|member| member.node == *target);
        match (left, member.cloned()) {
            (0, _) | (_, None) => self.die(cx, target),
            (left, Some(member)) => self.last_call(cx, member, left - 1),
        }
    }

    /// Declares an entry dead and passes it on; to whoever did not hear of the suspicion, it is one.
    fn die(&mut self, cx: &mut Step, target: &NodeId) {
        if let Some(change) = self.table.die(target, cx.now) {
            self.note(cx, change, true);
        }
    }

    fn suspect(&mut self, cx: &mut Step, target: &NodeId) {
        let patience = self.patience();
        if let Some(change) = self.table.silent(target, cx.now, patience) {
            self.note(cx, change, true);
        }
    }

    fn leave(&mut self) {
        self.table.leave();
        self.queue.push(Topic::Member(self.table.me().node.name.clone()));
        self.urgent = true;
    }

    fn raise_generation(&mut self, generation: u64) {
        self.urgent |= generation > self.generation;
        self.generation = self.generation.max(generation);
        self.heard = self.heard.max(generation);
    }

    fn server_leaving(&mut self, cx: &mut Step, server: &Name, age: Millis) {
        if self.servers.add(server, age, cx.now, self.settings.remember_leaving) {
            self.queue.push(Topic::Server(server.clone()));
            self.urgent = true;
            self.sync_soon(cx);
            cx.actions.push(Action::LeavingServers(self.leaving_servers()));
        }
    }

    /// Sends urgent news to a few entries at once, outside of the usual round.
    fn spread(&mut self, cx: &mut Step) {
        if !self.urgent || self.superseded || cx.now < self.next_urgent {
            return;
        }
        self.urgent = false;
        self.next_urgent = cx.now + self.settings.urgent_every;
        let limit = self.settings.probe_timeout * 2;
        for member in cx.draw.sample(self.live_others(), self.settings.urgent_fanout) {
            self.exchange(cx, Purpose::Spread, member.peer, member.node, Body::Probe, limit);
        }
    }

    fn take_in(&mut self, cx: &mut Step, message: Message) {
        // What a comparison brought, other comparisons bring to others.
        let compared = matches!(message.body, Body::Push | Body::Differences(_));
        for news in message.news {
            match news {
                News::Member { member, age } => self.merge(cx, member, age, compared),
                News::ServerLeaving { server, age } => self.server_leaving(cx, &server, age),
            }
        }
        if message.generation > self.heard {
            self.heard = message.generation;
            let (generation, from) = (message.generation, message.from);
            cx.actions.push(Action::Heard { generation, from });
        }
    }

    fn merge(&mut self, cx: &mut Step, member: Member, age: Millis, compared: bool) {
        if self.superseded || age >= self.settings.remember_dead {
            return;
        }
        let name = member.node.name.clone();
        let stranger = self.table.get(&name).is_none();
        let patience = self.patience();
        match self.table.merge(member, age, cx.now, patience) {
            Merged::Known => self.queue.heard(&Topic::Member(name)),
            Merged::Changed(change) => {
                let joined = matches!(change, Change::Joined(_));
                self.note(cx, change, !(compared && joined));
                if compared && joined && stranger {
                    self.sync_soon(cx);
                }
            }
            Merged::Refuted => {
                self.queue.push(Topic::Member(name));
                self.urgent = true;
            }
            Merged::Superseded(incarnation) => {
                self.superseded = true;
                cx.actions.push(Action::Superseded(incarnation));
            }
        }
    }

    fn note(&mut self, cx: &mut Step, change: Change, pass_on: bool) {
        if pass_on {
            self.queue.push(Topic::Member(change.node().name.clone()));
        }
        self.live = self.table.live();
        if matches!(change, Change::Leaving(_)) {
            self.urgent = true;
            self.sync_soon(cx);
        }
        cx.actions.push(Action::Publish(change));
    }

    fn patience(&self) -> Millis {
        self.settings.suspicion(self.live)
    }

    fn live_others(&self) -> Vec<Member> {
        self.table.others().cloned().collect()
    }

    fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        self.table.all().for_each(|member| digest.add_member(member));
        self.servers.names().for_each(|server| digest.add_server(server));
        digest
    }

    /// Draws rows of the marked buckets, without those that the other side has just sent.
    fn differing(&self, cx: &mut Step, mask: &[u8], without: &HashSet<Name>) -> Vec<News> {
        let wanted = |name: &&Name| digest::is_marked(mask, name) && !without.contains(*name);
        let members = self.table.all().map(|member| &member.node.name).filter(wanted);
        let members = members.map(|name| Topic::Member(name.clone()));
        let servers = self.servers.names().filter(wanted);
        let servers = servers.map(|name| Topic::Server(name.clone()));
        let rows = self.page(mask);
        let topics = cx.draw.sample(members.chain(servers).collect(), rows);
        topics.into_iter().filter_map(|topic| self.news(topic, cx.now)).collect()
    }

    /// Returns the rows for one message of a comparison: fewer when most is the same already.
    fn page(&self, mask: &[u8]) -> usize {
        let differing = mask.iter().map(|byte| byte.count_ones() as usize).sum::<usize>();
        let mostly_same = differing * 2 <= digest::BUCKETS;
        if mostly_same { self.settings.sync_rows / 3 } else { self.settings.sync_rows }
    }

    fn news(&self, topic: Topic, now: Millis) -> Option<News> {
        match topic {
            Topic::Member(name) => {
                let member = self.table.get(&name)?.clone();
                Some(News::Member { member, age: self.table.age(&name, now) })
            }
            Topic::Server(server) => {
                let age = self.servers.age(&server, now)?;
                Some(News::ServerLeaving { server, age })
            }
        }
    }

    /// Writes a message with these rows and queued news up to a limit; a comparison has rows enough.
    fn message(&mut self, body: Body, mut news: Vec<News>, now: Millis) -> Message {
        let compares = matches!(body, Body::Digest(_) | Body::Differences(_) | Body::Push);
        let limit = if compares { 0 } else { self.settings.news_per_message };
        let room = limit.saturating_sub(news.len());
        let sends = self.settings.sends(self.live);
        for topic in self.queue.take(room * MEMBER_ROOM, sends) {
            news.extend(self.news(topic, now));
        }
        let from = self.table.me().node.clone();
        Message { from, generation: self.generation, body, news }
    }

    /// Answers a request; the asker hears what is believed of it unless that is in order.
    fn answer(&mut self, cx: &mut Step, ticket: u64, to: &NodeId, body: Body, mut rows: Vec<News>) {
        rows.extend(self.doubt(to, cx.now));
        let message = self.message(body, rows, cx.now);
        cx.actions.push(Action::Answer { ticket, message });
    }

    /// Returns what an entry should refute.
    fn doubt(&self, node: &NodeId, now: Millis) -> Option<News> {
        let member = self.table.get(&node.name)?;
        let in_order = member.node == *node && member.state == MemberState::Alive;
        if in_order { None } else { self.news(Topic::Member(node.name.clone()), now) }
    }

    /// Starts an exchange unless too many are open, and tells whether it did.
    fn exchange(
        &mut self,
        cx: &mut Step,
        purpose: Purpose,
        address: SocketAddr,
        to: NodeId,
        body: Body,
        limit: Millis,
    ) -> bool {
        if self.pending.len() >= self.settings.open_exchanges {
            return false;
        }
        let mut rows = vec![News::Member { member: self.table.me().clone(), age: 0 }];
        rows.extend(self.doubt(&to, cx.now));
        let message = self.message(body, rows, cx.now);
        self.send(cx, purpose, address, to, message, limit);
        true
    }

    fn send(
        &mut self,
        cx: &mut Step,
        purpose: Purpose,
        address: SocketAddr,
        to: NodeId,
        message: Message,
        limit: Millis,
    ) {
        self.exchanges += 1;
        let exchange = self.exchanges;
        self.pending.insert(exchange, purpose);
        cx.actions.push(Action::Exchange { exchange, address, to, message, limit });
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

fn names(news: &[News]) -> HashSet<Name> {
    let name = |news: &News| match news {
        News::Member { member, .. } => member.node.name.clone(),
        News::ServerLeaving { server, .. } => server.clone(),
    };
    news.iter().map(name).collect()
}
