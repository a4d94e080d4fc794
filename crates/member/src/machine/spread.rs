//! News: what is taken in, passed on, and compared.

use super::{Action, Machine, Purpose, Step};
use crate::digest::{self, Digest};
use crate::gossip::{Body, Member, MemberState, Message, Update};
use crate::queue::{MEMBER_ROOM, Topic};
use crate::table::{Change, Merged};
use kernel::{Millis, Name, NodeId};
use std::collections::HashSet;
use std::net::SocketAddr;

impl Machine {
    pub(super) fn leave(&mut self) {
        self.table.leave();
        self.queue.push(Topic::Member(self.table.me().node.name.clone()));
        self.urgent = true;
    }

    pub(super) fn raise_generation(&mut self, generation: u64) {
        self.urgent |= generation > self.generation;
        self.generation = self.generation.max(generation);
        self.heard = self.heard.max(generation);
    }

    pub(super) fn server_leaving(&mut self, cx: &mut Step, server: &Name, age: Millis) {
        if self.servers.add(server, age, cx.now, self.settings.remember_leaving) {
            self.queue.push(Topic::Server(server.clone()));
            self.urgent = true;
            self.sync_soon(cx);
            cx.actions.push(Action::LeavingServers(self.leaving_servers()));
        }
    }

    /// Sends urgent news to a few entries at once, outside of the usual round.
    pub(super) fn spread(&mut self, cx: &mut Step) {
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

    pub(super) fn take_in(&mut self, cx: &mut Step, message: Message) {
        // What a comparison brought, other comparisons bring to others.
        let compared = matches!(message.body, Body::Push | Body::Differences(_));
        for update in message.updates {
            match update {
                Update::Member { member, age } => self.merge(cx, member, age, compared),
                Update::ServerLeaving { server, age } => self.server_leaving(cx, &server, age),
            }
        }
        if message.generation > self.heard {
            self.heard = message.generation;
            let (generation, from) = (message.generation, message.from);
            cx.actions.push(Action::Heard { generation, from });
        }
    }

    pub(super) fn merge(&mut self, cx: &mut Step, member: Member, age: Millis, compared: bool) {
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

    pub(super) fn note(&mut self, cx: &mut Step, change: Change, pass_on: bool) {
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

    pub(super) fn patience(&self) -> Millis {
        self.settings.suspicion(self.live)
    }

    pub(super) fn live_others(&self) -> Vec<Member> {
        self.table.others().cloned().collect()
    }

    pub(super) fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        self.table.all().for_each(|member| digest.add_member(member));
        self.servers.names().for_each(|server| digest.add_server(server));
        digest
    }

    /// Draws rows of the marked buckets, without those that the other side has just sent.
    pub(super) fn differing(
        &self,
        cx: &mut Step,
        mask: &[u8],
        without: &HashSet<Name>,
    ) -> Vec<Update> {
        let wanted = |name: &&Name| digest::is_marked(mask, name) && !without.contains(*name);
        let members = self.table.all().map(|member| &member.node.name).filter(wanted);
        let members = members.map(|name| Topic::Member(name.clone()));
        let servers = self.servers.names().filter(wanted);
        let servers = servers.map(|name| Topic::Server(name.clone()));
        let rows = self.page(mask);
        let topics = cx.draw.sample(members.chain(servers).collect(), rows);
        topics.into_iter().filter_map(|topic| self.update(topic, cx.now)).collect()
    }

    /// Returns the rows for one message of a comparison: fewer when most is the same already.
    pub(super) fn page(&self, mask: &[u8]) -> usize {
        let differing = mask.iter().map(|byte| byte.count_ones() as usize).sum::<usize>();
        let mostly_same = differing * 2 <= digest::BUCKETS;
        if mostly_same { self.settings.sync_rows / 3 } else { self.settings.sync_rows }
    }

    pub(super) fn update(&self, topic: Topic, now: Millis) -> Option<Update> {
        match topic {
            Topic::Member(name) => {
                let member = self.table.get(&name)?.clone();
                Some(Update::Member { member, age: self.table.age(&name, now) })
            }
            Topic::Server(server) => {
                let age = self.servers.age(&server, now)?;
                Some(Update::ServerLeaving { server, age })
            }
        }
    }

    /// Writes a message with these rows and queued news up to a limit; a comparison has rows enough.
    pub(super) fn message(&mut self, body: Body, mut updates: Vec<Update>, now: Millis) -> Message {
        let compares = matches!(body, Body::Digest(_) | Body::Differences(_) | Body::Push);
        let limit = if compares { 0 } else { self.settings.updates_per_message };
        let room = limit.saturating_sub(updates.len());
        let sends = self.settings.sends(self.live);
        for topic in self.queue.take(room * MEMBER_ROOM, sends) {
            updates.extend(self.update(topic, now));
        }
        let from = self.table.me().node.clone();
        Message { from, generation: self.generation, body, updates }
    }

    /// Answers a request; the asker hears what is believed of it unless that is in order.
    pub(super) fn answer(
        &mut self,
        cx: &mut Step,
        ticket: u64,
        to: &NodeId,
        body: Body,
        mut rows: Vec<Update>,
    ) {
        rows.extend(self.doubt(to, cx.now));
        let message = self.message(body, rows, cx.now);
        cx.actions.push(Action::Answer { ticket, message });
    }

    /// Returns what an entry should refute.
    pub(super) fn doubt(&self, node: &NodeId, now: Millis) -> Option<Update> {
        let member = self.table.get(&node.name)?;
        let in_order = member.node == *node && member.state == MemberState::Alive;
        if in_order { None } else { self.update(Topic::Member(node.name.clone()), now) }
    }

    /// Starts an exchange unless too many are open, and tells whether it did.
    pub(super) fn exchange(
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
        let mut rows = vec![Update::Member { member: self.table.me().clone(), age: 0 }];
        rows.extend(self.doubt(&to, cx.now));
        let message = self.message(body, rows, cx.now);
        self.send(cx, purpose, address, to, message, limit);
        true
    }

    pub(super) fn send(
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
