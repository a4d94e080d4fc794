//! Merging and dissemination of updates, and construction of the messages that carry them.

use super::{Action, Machine, Purpose, StepContext};
use crate::digest::{self, Digest};
use crate::gossip::{Body, Member, MemberState, Message, Update};
use crate::queue::{MEMBER_SIZE, Topic};
use crate::table::{Change, Merged};
use kernel::{Millis, Name, NodeId};
use std::collections::HashSet;
use std::net::SocketAddr;

impl Machine {
    pub(super) fn leave(&mut self) {
        self.table.leave();
        self.queue.push(Topic::Member(self.table.local().node.name.clone()));
        self.urgent = true;
    }

    pub(super) fn raise_generation(&mut self, generation: u64) {
        self.urgent |= generation > self.generation;
        self.generation = self.generation.max(generation);
        self.highest_generation = self.highest_generation.max(generation);
    }

    pub(super) fn record_leaving_server(
        &mut self,
        cx: &mut StepContext,
        server: &Name,
        age: Millis,
    ) {
        if self.servers.add(server, age, cx.now, self.settings.leaving_retention) {
            self.queue.push(Topic::Server(server.clone()));
            self.urgent = true;
            self.schedule_early_sync(cx);
            cx.actions.push(Action::LeavingServers(self.leaving_servers()));
        }
    }

    /// Sends urgent updates to a few entries immediately instead of with the next probe.
    pub(super) fn send_urgent(&mut self, cx: &mut StepContext) {
        if !self.urgent || self.superseded || cx.now < self.next_urgent {
            return;
        }
        self.urgent = false;
        self.next_urgent = cx.now + self.settings.urgent_interval;
        let timeout = self.settings.probe_timeout * 2;
        for member in cx.random.sample(self.live_others(), self.settings.urgent_fanout) {
            self.start_exchange(
                cx,
                Purpose::Disseminate,
                member.peer,
                member.node,
                Body::Probe,
                timeout,
            );
        }
    }

    pub(super) fn apply_message(&mut self, cx: &mut StepContext, message: Message) {
        // A join learned from a sync is not disseminated: other entries learn of it from their own
        // syncs.
        let from_sync = matches!(message.body, Body::Push | Body::Differences(_));
        for update in message.updates {
            match update {
                Update::Member { member, age } => self.merge(cx, member, age, from_sync),
                Update::ServerLeaving { server, age } => {
                    self.record_leaving_server(cx, &server, age)
                }
            }
        }
        if message.generation > self.highest_generation {
            self.highest_generation = message.generation;
            let (generation, from) = (message.generation, message.from);
            cx.actions.push(Action::HigherGeneration { generation, from });
        }
    }

    pub(super) fn merge(
        &mut self,
        cx: &mut StepContext,
        member: Member,
        age: Millis,
        from_sync: bool,
    ) {
        if self.superseded || age >= self.settings.dead_retention {
            return;
        }
        let name = member.node.name.clone();
        let unknown = self.table.get(&name).is_none();
        let timeout = self.suspicion_timeout();
        match self.table.merge(member, age, cx.now, timeout) {
            Merged::Known => self.queue.record_known(&Topic::Member(name)),
            Merged::Changed(change) => {
                let joined = matches!(change, Change::Joined(_));
                self.record_change(cx, change, !(from_sync && joined));
                if from_sync && joined && unknown {
                    self.schedule_early_sync(cx);
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

    /// Publishes a change of the table and queues it for dissemination if requested.
    pub(super) fn record_change(
        &mut self,
        cx: &mut StepContext,
        change: Change,
        disseminate: bool,
    ) {
        if disseminate {
            self.queue.push(Topic::Member(change.node().name.clone()));
        }
        self.live_count = self.table.live_count();
        if matches!(change, Change::Leaving(_)) {
            self.urgent = true;
            self.schedule_early_sync(cx);
        }
        cx.actions.push(Action::Publish(change));
    }

    pub(super) fn suspicion_timeout(&self) -> Millis {
        self.settings.suspicion_timeout_for(self.live_count)
    }

    pub(super) fn live_others(&self) -> Vec<Member> {
        self.table.others().cloned().collect()
    }

    pub(super) fn digest(&self) -> Digest {
        let mut digest = Digest::default();
        self.table.members().for_each(|member| digest.add_member(member));
        self.servers.names().for_each(|server| digest.add_server(server));
        digest
    }

    /// Returns random rows of the marked buckets, except those in `exclude`, which the other entry
    /// has just sent.
    pub(super) fn differing_updates(
        &self,
        cx: &mut StepContext,
        mask: &[u8],
        exclude: &HashSet<Name>,
    ) -> Vec<Update> {
        let is_selected = |name: &&Name| digest::is_marked(mask, name) && !exclude.contains(*name);
        let members = self.table.members().map(|member| &member.node.name).filter(is_selected);
        let members = members.map(|name| Topic::Member(name.clone()));
        let servers = self.servers.names().filter(is_selected);
        let servers = servers.map(|name| Topic::Server(name.clone()));
        let page_size = self.sync_page_size(mask);
        let topics = cx.random.sample(members.chain(servers).collect(), page_size);
        topics.into_iter().filter_map(|topic| self.update_about(topic, cx.now)).collect()
    }

    /// Returns the maximum number of rows in one sync message: a third of the configured maximum if
    /// at least half of the buckets are equal.
    pub(super) fn sync_page_size(&self, mask: &[u8]) -> usize {
        let differing = mask.iter().map(|byte| byte.count_ones() as usize).sum::<usize>();
        let mostly_equal = differing * 2 <= digest::BUCKET_COUNT;
        if mostly_equal { self.settings.max_sync_rows / 3 } else { self.settings.max_sync_rows }
    }

    pub(super) fn update_about(&self, topic: Topic, now: Millis) -> Option<Update> {
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

    /// Builds a message with these updates and adds queued ones up to `max_updates_per_message`. A
    /// sync message gets no queued updates, because it has many rows of its own.
    pub(super) fn build_message(
        &mut self,
        body: Body,
        mut updates: Vec<Update>,
        now: Millis,
    ) -> Message {
        let is_sync = matches!(body, Body::Digest(_) | Body::Differences(_) | Body::Push);
        let limit = if is_sync { 0 } else { self.settings.max_updates_per_message };
        let capacity = limit.saturating_sub(updates.len());
        let max_sends = self.settings.max_sends(self.live_count);
        for topic in self.queue.take(capacity * MEMBER_SIZE, max_sends) {
            updates.extend(self.update_about(topic, now));
        }
        let from = self.table.local().node.clone();
        Message { from, generation: self.generation, body, updates }
    }

    /// Replies to a request. If the sender is not recorded as alive, the reply contains its
    /// recorded state for it to refute.
    pub(super) fn reply(
        &mut self,
        cx: &mut StepContext,
        request_id: u64,
        to: &NodeId,
        body: Body,
        mut updates: Vec<Update>,
    ) {
        updates.extend(self.state_to_refute(to, cx.now));
        let message = self.build_message(body, updates, cx.now);
        cx.actions.push(Action::Reply { request_id, message });
    }

    /// Returns the recorded state of an entry unless it is this incarnation and alive.
    pub(super) fn state_to_refute(&self, node: &NodeId, now: Millis) -> Option<Update> {
        let member = self.table.get(&node.name)?;
        let is_alive = member.node == *node && member.state == MemberState::Alive;
        if is_alive { None } else { self.update_about(Topic::Member(node.name.clone()), now) }
    }

    /// Starts an exchange unless too many are open; returns whether it was started.
    pub(super) fn start_exchange(
        &mut self,
        cx: &mut StepContext,
        purpose: Purpose,
        address: SocketAddr,
        to: NodeId,
        body: Body,
        timeout: Millis,
    ) -> bool {
        if self.pending.len() >= self.settings.max_open_exchanges {
            return false;
        }
        let mut updates = vec![Update::Member { member: self.table.local().clone(), age: 0 }];
        updates.extend(self.state_to_refute(&to, cx.now));
        let message = self.build_message(body, updates, cx.now);
        self.send(cx, purpose, address, to, message, timeout);
        true
    }

    pub(super) fn send(
        &mut self,
        cx: &mut StepContext,
        purpose: Purpose,
        address: SocketAddr,
        to: NodeId,
        message: Message,
        timeout: Millis,
    ) {
        self.last_exchange += 1;
        let exchange = self.last_exchange;
        self.pending.insert(exchange, purpose);
        cx.actions.push(Action::Exchange { exchange, address, to, message, timeout });
    }
}
