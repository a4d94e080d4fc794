//! Handling of requests, replies and failed exchanges.

use super::{Machine, Purpose, StepContext, names};
use crate::gossip::{Body, MemberState, Message, Update};
use crate::queue::Topic;
use kernel::{Millis, Name, NodeId};
use std::collections::HashSet;

impl Machine {
    pub(super) fn handle_request(
        &mut self,
        cx: &mut StepContext,
        request_id: u64,
        message: Message,
    ) {
        let from = message.from.clone();
        let body = message.body.clone();
        let mut refutations = self.refutations(&message, cx.now);
        self.apply_message(cx, message);
        if self.superseded {
            return;
        }
        let (body, mut updates) = match body {
            Body::ProbeFor(target) => return self.probe_for(cx, request_id, &from, &target),
            Body::Join => (Body::Ack, self.join_updates(cx)),
            Body::Digest(buckets) => {
                let mask = self.digest().differences(&buckets);
                let updates = self.differing_updates(cx, &mask, &HashSet::new());
                (Body::Differences(mask), updates)
            }
            _ => (Body::Ack, Vec::new()),
        };
        updates.append(&mut refutations);
        self.reply(cx, request_id, &from, body, updates);
    }

    /// Returns the known state of each entry that the message reports as suspect or dead although
    /// the entry has refuted this or restarted. The reply carries these states, which end the
    /// outdated suspicion at the sender.
    pub(super) fn refutations(&self, message: &Message, now: Millis) -> Vec<Update> {
        let refutation = |update: &Update| match update {
            Update::Member { member, .. } if self.table.is_refuted(member) => {
                self.update_about(Topic::Member(member.node.name.clone()), now)
            }
            _ => None,
        };
        message
            .updates
            .iter()
            .filter_map(refutation)
            .take(self.settings.max_updates_per_message)
            .collect()
    }

    /// Returns the updates for an entry that joins: this entry and a few random others.
    pub(super) fn join_updates(&self, cx: &mut StepContext) -> Vec<Update> {
        let others = cx.random.sample(self.live_others(), self.settings.max_updates_per_message);
        let all = std::iter::once(self.table.local().clone()).chain(others);
        all.map(|member| Update::Member { member, age: 0 }).collect()
    }

    /// Probes the target on behalf of another entry.
    pub(super) fn probe_for(
        &mut self,
        cx: &mut StepContext,
        request_id: u64,
        from: &NodeId,
        target: &NodeId,
    ) {
        let known = self.table.get(&target.name).filter(|member| member.node == *target);
        let known = known.filter(|member| member.state != MemberState::Dead);
        let address = known.map(|member| member.peer);
        let timeout = self.settings.probe_timeout;
        let started = address.is_some_and(|address| {
            self.start_exchange(
                cx,
                Purpose::Relay(request_id),
                address,
                target.clone(),
                Body::Probe,
                timeout,
            )
        });
        if !started {
            self.reply(cx, request_id, from, Body::Nack, Vec::new());
        }
    }

    pub(super) fn handle_reply(&mut self, cx: &mut StepContext, exchange: u64, message: Message) {
        let Some(purpose) = self.pending.remove(&exchange) else { return };
        let from = message.from.clone();
        let body = message.body.clone();
        let received = names(&message.updates);
        self.apply_message(cx, message);
        match (purpose, body) {
            (Purpose::Indirect(target), Body::Nack) => self.count_indirect_failure(cx, &target),
            (Purpose::Indirect(target), _) => {
                self.indirect.remove(&target);
            }
            (Purpose::Relay(request_id), _) => {
                self.reply(cx, request_id, &NodeId::default(), Body::Ack, Vec::new());
            }
            (Purpose::Probe(target) | Purpose::FinalProbe(target, _), _) => {
                self.table.mark_responsive(&target);
            }
            (Purpose::Sync, Body::Differences(mask)) => {
                self.push_differences(cx, &from, &mask, &received)
            }
            (Purpose::Sync | Purpose::Disseminate, _) => {}
        }
    }

    /// Sends the partner of a sync the rows that it may be missing.
    pub(super) fn push_differences(
        &mut self,
        cx: &mut StepContext,
        to: &NodeId,
        mask: &[u8],
        received: &HashSet<Name>,
    ) {
        if mask.iter().all(|byte| *byte == 0) {
            return;
        }
        let updates = self.differing_updates(cx, mask, received);
        let page_size = self.sync_page_size(mask);
        if received.len() >= page_size || updates.len() >= page_size {
            self.schedule_early_sync(cx);
        }
        let Some(address) = self.table.get(&to.name).map(|member| member.peer) else { return };
        if !updates.is_empty() && self.pending.len() < self.settings.max_open_exchanges {
            let message = self.build_message(Body::Push, updates, cx.now);
            let timeout = self.settings.probe_timeout * 4;
            self.send(cx, Purpose::Disseminate, address, to.clone(), message, timeout);
        }
    }

    pub(super) fn handle_failure(&mut self, cx: &mut StepContext, exchange: u64) {
        match self.pending.remove(&exchange) {
            Some(Purpose::Probe(target)) => self.probe_indirectly(cx, &target),
            Some(Purpose::FinalProbe(target, remaining)) => {
                self.final_probe_failed(cx, &target, remaining)
            }
            Some(Purpose::Indirect(target)) => self.count_indirect_failure(cx, &target),
            Some(Purpose::Relay(request_id)) => {
                self.reply(cx, request_id, &NodeId::default(), Body::Nack, Vec::new());
            }
            Some(Purpose::Disseminate | Purpose::Sync) | None => {}
        }
    }

    /// Asks a few other entries to probe the target; suspects it if none can be asked.
    pub(super) fn probe_indirectly(&mut self, cx: &mut StepContext, target: &NodeId) {
        let mut helpers = self.live_others();
        helpers.retain(|member| member.node != *target && member.state != MemberState::Suspect);
        let helpers = cx.random.sample(helpers, self.settings.indirect_probes);
        let timeout = self.settings.probe_timeout * 3;
        let mut sent = 0;
        for helper in helpers {
            let purpose = Purpose::Indirect(target.clone());
            let body = Body::ProbeFor(target.clone());
            sent += usize::from(self.start_exchange(
                cx,
                purpose,
                helper.peer,
                helper.node,
                body,
                timeout,
            ));
        }
        match sent {
            0 => self.suspect(cx, target),
            _ => drop(self.indirect.insert(target.clone(), sent)),
        }
    }

    /// Records that a helper got no reply from the target or did not report in time. Suspects the
    /// target when no other helper is yet to report.
    pub(super) fn count_indirect_failure(&mut self, cx: &mut StepContext, target: &NodeId) {
        let Some(remaining) = self.indirect.get_mut(target) else { return };
        *remaining -= 1;
        if *remaining == 0 {
            self.indirect.remove(target);
            self.suspect(cx, target);
        }
    }

    pub(super) fn final_probe_failed(
        &mut self,
        cx: &mut StepContext,
        target: &NodeId,
        remaining: u32,
    ) {
        let member = self.table.get(&target.name).filter(|member| member.node == *target);
        match (remaining, member.cloned()) {
            (0, _) | (_, None) => self.declare_dead(cx, target),
            (remaining, Some(member)) => self.send_final_probe(cx, member, remaining - 1),
        }
    }

    /// Declares an entry dead and disseminates this. A receiver that does not suspect the entry yet
    /// treats the report as a suspicion.
    pub(super) fn declare_dead(&mut self, cx: &mut StepContext, target: &NodeId) {
        if let Some(change) = self.table.declare_dead(target, cx.now) {
            self.record_change(cx, change, true);
        }
    }

    pub(super) fn suspect(&mut self, cx: &mut StepContext, target: &NodeId) {
        let timeout = self.suspicion_timeout();
        if let Some(change) = self.table.mark_unresponsive(target, cx.now, timeout) {
            self.record_change(cx, change, true);
        }
    }
}
