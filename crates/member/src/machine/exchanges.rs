//! Exchanges with other entries: answers, silence, and what follows from them.

use super::{Machine, Purpose, Step, names};
use crate::gossip::{Body, MemberState, Message, Update};
use crate::queue::Topic;
use kernel::{Millis, Name, NodeId};
use std::collections::HashSet;

impl Machine {
    pub(super) fn asked(&mut self, cx: &mut Step, ticket: u64, message: Message) {
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
    pub(super) fn corrections(&self, message: &Message, now: Millis) -> Vec<Update> {
        let better = |update: &Update| match update {
            Update::Member { member, .. } if self.table.is_refuted(member) => {
                self.update(Topic::Member(member.node.name.clone()), now)
            }
            _ => None,
        };
        message.updates.iter().filter_map(better).take(self.settings.updates_per_message).collect()
    }

    /// Returns rows for an entry that joins: this one and a few others.
    pub(super) fn welcome(&self, cx: &mut Step) -> Vec<Update> {
        let others = cx.draw.sample(self.live_others(), self.settings.updates_per_message);
        let all = std::iter::once(self.table.me().clone()).chain(others);
        all.map(|member| Update::Member { member, age: 0 }).collect()
    }

    pub(super) fn relay(&mut self, cx: &mut Step, ticket: u64, from: &NodeId, target: &NodeId) {
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

    pub(super) fn answered(&mut self, cx: &mut Step, exchange: u64, message: Message) {
        let Some(purpose) = self.pending.remove(&exchange) else { return };
        let from = message.from.clone();
        let body = message.body.clone();
        let had = names(&message.updates);
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
    pub(super) fn push(&mut self, cx: &mut Step, to: &NodeId, mask: &[u8], had: &HashSet<Name>) {
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

    pub(super) fn failed(&mut self, cx: &mut Step, exchange: u64) {
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

    pub(super) fn probe_indirectly(&mut self, cx: &mut Step, target: &NodeId) {
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
    pub(super) fn no_report(&mut self, cx: &mut Step, target: &NodeId) {
        let Some(left) = self.indirect.get_mut(target) else { return };
        *left -= 1;
        if *left == 0 {
            self.indirect.remove(target);
            self.suspect(cx, target);
        }
    }

    pub(super) fn unanswered(&mut self, cx: &mut Step, target: &NodeId, left: u32) {
        let member = self.table.get(&target.name).filter(|member| member.node == *target);
        match (left, member.cloned()) {
            (0, _) | (_, None) => self.die(cx, target),
            (left, Some(member)) => self.last_call(cx, member, left - 1),
        }
    }

    /// Declares an entry dead and passes it on; to whoever did not hear of the suspicion, it is one.
    pub(super) fn die(&mut self, cx: &mut Step, target: &NodeId) {
        if let Some(change) = self.table.die(target, cx.now) {
            self.note(cx, change, true);
        }
    }

    pub(super) fn suspect(&mut self, cx: &mut Step, target: &NodeId) {
        let patience = self.patience();
        if let Some(change) = self.table.silent(target, cx.now, patience) {
            self.note(cx, change, true);
        }
    }
}
