//! The protocol state machine. Each step takes an event, the time and a random number, and returns
//! the actions to execute.

mod dissemination;
mod exchanges;

use crate::gossip::{Body, Member, MemberState, Message, Update};
use crate::queue::{Topic, UpdateQueue};
use crate::random::RandomSource;
use crate::servers::LeavingServers;
use crate::settings::Settings;
use crate::table::{Change, Table};
use kernel::{Millis, Name, NodeId};
use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

/// Input of the state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer; due every [`Settings::probe_interval`].
    Tick,
    /// A request of another entry; the reply must carry the same request ID.
    Request {
        /// Identifies the request to the driver of the machine.
        request_id: u64,
        /// The request.
        message: Message,
    },
    /// The reply of an exchange.
    Reply {
        /// Number of the exchange.
        exchange: u64,
        /// The reply.
        message: Message,
    },
    /// An exchange failed or had no reply in time.
    Failed {
        /// Number of the exchange.
        exchange: u64,
    },
    /// This entry is leaving.
    Leave,
    /// A generation of the configuration became active at this entry.
    Generation(u64),
    /// A backend server is leaving.
    ServerLeaving(Name),
}

/// Output of the state machine.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a request, and report the outcome as [`Event::Reply`] or [`Event::Failed`].
    Exchange {
        /// Number of the exchange.
        exchange: u64,
        /// Destination address.
        address: SocketAddr,
        /// The incarnation addressed; an empty name matches any.
        to: NodeId,
        /// The request.
        message: Message,
        /// Time in which the reply must arrive, in milliseconds.
        timeout: Millis,
    },
    /// Reply to a request.
    Reply {
        /// Identifies the request.
        request_id: u64,
        /// The reply.
        message: Message,
    },
    /// Notify subscribers of a change of membership.
    Publish(Change),
    /// Notify subscribers that a higher generation is active at another entry.
    HigherGeneration {
        /// The generation.
        generation: u64,
        /// An entry on which it is active.
        from: NodeId,
    },
    /// Notify subscribers of the backend servers that are leaving.
    LeavingServers(Vec<Name>),
    /// A later incarnation of this entry exists: stop this process.
    Superseded(u64),
}

/// Purpose of an exchange, which decides how its reply or failure is handled.
#[derive(Clone, Debug)]
enum Purpose {
    Probe(NodeId),
    /// Final probe of a suspected entry, with the number of final probes left after it.
    FinalProbe(NodeId, u32),
    /// `ProbeFor` sent to a helper, with the entry to probe.
    Indirect(NodeId),
    /// Probe on behalf of another entry, with the ID of its request.
    Relay(u64),
    /// The reply needs no action beyond merging its updates.
    Disseminate,
    Sync,
}

/// The membership protocol at one entry.
#[derive(Clone, Debug)]
pub struct Machine {
    table: Table,
    servers: LeavingServers,
    queue: UpdateQueue,
    settings: Settings,
    /// Highest generation that became active at this entry.
    generation: u64,
    /// Highest generation that is known to be active at any entry.
    highest_generation: u64,
    /// Open exchanges by number.
    pending: BTreeMap<u64, Purpose>,
    /// For each entry that did not reply to a direct probe, the number of helpers yet to report.
    indirect: BTreeMap<NodeId, usize>,
    last_exchange: u64,
    probe_count: u64,
    /// Entries of this region left to probe in the current round.
    local_round: Vec<Name>,
    /// Entries of other regions left to probe in the current round.
    remote_round: Vec<Name>,
    /// Whether an update is to be sent without waiting for the next probe.
    urgent: bool,
    superseded: bool,
    /// Number of entries that are not declared dead, including this one.
    live_count: usize,
    join_interval: Millis,
    next_join: Millis,
    next_sync: Millis,
    /// Interval to the next sync; doubles with each sync and is reset if more rows may differ.
    sync_interval: Millis,
    next_reconnect: Millis,
    next_urgent: Millis,
    last_step: Millis,
}

/// Maximum interval between two attempts to join while no other entry is known.
const MAX_JOIN_INTERVAL_MS: Millis = 2000;
/// Number of final probes without a reply after which a suspected entry is declared dead.
const FINAL_PROBE_COUNT: u32 = 2;

impl Machine {
    /// Creates the state of an entry that knows only itself.
    pub fn new(local: Member, settings: Settings) -> Self {
        let mut queue = UpdateQueue::default();
        queue.push(Topic::Member(local.node.name.clone()));
        Self {
            table: Table::new(local),
            servers: LeavingServers::default(),
            queue,
            generation: 0,
            highest_generation: 0,
            pending: BTreeMap::new(),
            indirect: BTreeMap::new(),
            last_exchange: 0,
            probe_count: 0,
            local_round: Vec::new(),
            remote_round: Vec::new(),
            urgent: false,
            superseded: false,
            live_count: 1,
            join_interval: settings.probe_interval,
            next_join: 0,
            next_sync: 0,
            sync_interval: settings.min_sync_interval,
            next_reconnect: settings.reconnect_interval,
            next_urgent: 0,
            last_step: 0,
            settings,
        }
    }

    /// Returns the membership table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Lists the backend servers that are leaving.
    pub fn leaving_servers(&self) -> Vec<Name> {
        self.servers.names().cloned().collect()
    }

    /// Returns the number of updates that are still to be sent.
    pub fn queued_updates(&self) -> usize {
        self.queue.len()
    }

    /// Processes an event and returns the actions to execute.
    pub fn step(&mut self, event: Event, now: Millis, random: u64) -> Vec<Action> {
        if self.superseded {
            return Vec::new();
        }
        let cx = &mut StepContext { now, random: RandomSource::new(random), actions: Vec::new() };
        self.detect_pause(now);
        match event {
            Event::Tick => self.tick(cx),
            Event::Request { request_id, message } => self.handle_request(cx, request_id, message),
            Event::Reply { exchange, message } => self.handle_reply(cx, exchange, message),
            Event::Failed { exchange } => self.handle_failure(cx, exchange),
            Event::Leave => self.leave(),
            Event::Generation(generation) => self.raise_generation(generation),
            Event::ServerLeaving(server) => self.record_leaving_server(cx, &server, 0),
        }
        self.send_urgent(cx);
        std::mem::take(&mut cx.actions)
    }

    /// Detects a pause of this process. Timeouts during a pause prove nothing about other entries,
    /// so deadlines are extended and open exchanges are dropped, except probes on behalf of others.
    fn detect_pause(&mut self, now: Millis) {
        let gap = now.saturating_sub(self.last_step);
        self.last_step = now;
        if gap > self.settings.pause_threshold {
            self.table.extend_deadlines(gap);
            self.indirect.clear();
            self.pending.retain(|_, purpose| matches!(purpose, Purpose::Relay(_)));
        }
    }

    fn tick(&mut self, cx: &mut StepContext) {
        self.probe_overdue(cx);
        self.table.expire(cx.now, self.settings.dead_retention);
        if self.servers.expire(cx.now, self.settings.leaving_retention) {
            cx.actions.push(Action::LeavingServers(self.leaving_servers()));
        }
        self.probe_next(cx);
        self.join(cx);
        self.reconnect(cx);
        self.sync(cx);
    }

    /// Sends a final probe to entries that did not refute in time, before they are declared dead:
    /// the refutation may have been lost on its way to this entry.
    fn probe_overdue(&mut self, cx: &mut StepContext) {
        let open = self.pending.values().filter(|p| matches!(p, Purpose::FinalProbe(..))).count();
        let capacity = self.settings.max_open_final_probes.saturating_sub(open);
        let retry = cx.now + self.suspicion_timeout() + 2 * self.settings.final_probe_timeout;
        for member in self.table.overdue(cx.now, retry, capacity) {
            self.send_final_probe(cx, member, FINAL_PROBE_COUNT - 1);
        }
    }

    fn send_final_probe(&mut self, cx: &mut StepContext, member: Member, remaining: u32) {
        let purpose = Purpose::FinalProbe(member.node.clone(), remaining);
        if self.pending.len() >= self.settings.max_open_exchanges {
            return;
        }
        // Queued updates would most likely be wasted on an entry that does not reply.
        let local = Update::Member { member: self.table.local().clone(), age: 0 };
        let updates =
            std::iter::once(local).chain(self.state_to_refute(&member.node, cx.now)).collect();
        let from = self.table.local().node.clone();
        let message = Message { from, generation: self.generation, body: Body::Probe, updates };
        let timeout = self.settings.final_probe_timeout;
        self.send(cx, purpose, member.peer, member.node, message, timeout);
    }

    fn probe_next(&mut self, cx: &mut StepContext) {
        self.probe_count += 1;
        let remote_first = self.probe_count.is_multiple_of(self.settings.probes_per_remote_probe);
        let target =
            self.next_target(cx, remote_first).or_else(|| self.next_target(cx, !remote_first));
        let Some(target) = target else { return };
        let (address, node) = (target.peer, target.node);
        let timeout = self.settings.probe_timeout;
        self.start_exchange(cx, Purpose::Probe(node.clone()), address, node, Body::Probe, timeout);
    }

    /// Returns the next entry of a shuffled round through this region or the other regions.
    fn next_target(&mut self, cx: &mut StepContext, remote: bool) -> Option<Member> {
        let mut round =
            std::mem::take(if remote { &mut self.remote_round } else { &mut self.local_round });
        let mut target = self.pop_live(&mut round);
        if target.is_none() {
            let region = &self.table.local().region;
            let in_scope = |member: &&Member| (member.region != *region) == remote;
            let names = self.table.others().filter(in_scope).map(|member| member.node.name.clone());
            round = names.collect();
            let count = round.len();
            round = cx.random.sample(round, count);
            target = self.pop_live(&mut round);
        }
        *(if remote { &mut self.remote_round } else { &mut self.local_round }) = round;
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

    /// Joins through a seed that is not a known member. This also merges groups that formed around
    /// different seeds.
    fn join(&mut self, cx: &mut StepContext) {
        if cx.now < self.next_join {
            return;
        }
        let max_interval = if self.live_count > 1 {
            self.settings.reconnect_interval
        } else {
            MAX_JOIN_INTERVAL_MS
        };
        self.next_join = cx.now + cx.jitter(self.join_interval);
        self.join_interval = (self.join_interval * 2).min(max_interval);
        let seed = cx.random.pick(self.unknown_seeds());
        self.send_join(cx, seed);
    }

    /// Sends a join to a dead entry, to merge the groups after a network partition.
    fn reconnect(&mut self, cx: &mut StepContext) {
        if cx.now < self.next_reconnect {
            return;
        }
        self.next_reconnect = cx.now + cx.jitter(self.settings.reconnect_interval);
        let dead = self.table.dead().map(|member| member.peer).collect();
        let address = cx.random.pick(dead);
        self.send_join(cx, address);
    }

    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let known: HashSet<SocketAddr> = self.table.members().map(|member| member.peer).collect();
        self.settings.seeds.iter().filter(|seed| !known.contains(*seed)).copied().collect()
    }

    fn send_join(&mut self, cx: &mut StepContext, address: Option<SocketAddr>) {
        let Some(address) = address else { return };
        let timeout = self.settings.probe_timeout * 2;
        self.start_exchange(
            cx,
            Purpose::Disseminate,
            address,
            NodeId::default(),
            Body::Join,
            timeout,
        );
    }

    /// Compares the whole state with a random other entry (anti-entropy).
    fn sync(&mut self, cx: &mut StepContext) {
        if cx.now < self.next_sync {
            return;
        }
        let Some(partner) = cx.random.pick(self.live_others()) else { return };
        self.next_sync = cx.now + cx.jitter(self.sync_interval);
        self.sync_interval = (self.sync_interval * 2).min(self.settings.max_sync_interval);
        let timeout = self.settings.probe_timeout * 4;
        let body = Body::Digest(self.digest().0);
        self.start_exchange(cx, Purpose::Sync, partner.peer, partner.node, body, timeout);
    }

    /// Schedules the next sync early, because more rows may differ.
    fn schedule_early_sync(&mut self, cx: &mut StepContext) {
        self.sync_interval = self.settings.min_sync_interval;
        self.next_sync = self.next_sync.min(cx.now + cx.jitter(self.sync_interval));
    }
}

/// Inputs and collected actions of one step.
struct StepContext {
    now: Millis,
    random: RandomSource,
    actions: Vec<Action>,
}

impl StepContext {
    /// Returns the time with a random jitter of up to 20 % in either direction.
    fn jitter(&mut self, time: Millis) -> Millis {
        let range = (time * 2 / 5) as usize;
        time * 4 / 5 + self.random.below(range + 1) as Millis
    }
}

/// Returns the names of the members and backend servers that the updates are about.
fn names(updates: &[Update]) -> HashSet<Name> {
    let name = |update: &Update| match update {
        Update::Member { member, .. } => member.node.name.clone(),
        Update::ServerLeaving { server, .. } => server.clone(),
    };
    updates.iter().map(name).collect()
}
