//! Replicates the answer and the ending of a request from the owner to the witness.

use super::Step;
use super::input::{Action, CallKind};
use super::placement::pick_peer;
use super::record::{Replica, Role};
use crate::message::{Ending, Message, MessageReply};
use crate::owner::OwnerEvent;
use kernel::{Key, NodeId};

impl Step<'_> {
    /// Sends the chunks and the ending that the witness does not have yet. Without a witness, the
    /// ending becomes visible at once.
    pub(super) fn replicate(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        if record.replication_pending || record.owner().is_none() || record.visible_ending.is_some()
        {
            return;
        }
        let (to, from) = match &record.replica {
            Replica::Held(to, has) => (to.clone(), *has),
            // Nothing but the ending is sent before the witness has replied to the offer.
            Replica::Offered(_) if record.ending.is_none() => return,
            Replica::Offered(to) => (to.clone(), 0),
            Replica::Sole | Replica::Lost => return self.publish_decided_ending(key),
        };
        let chunks = record.answer.all_from(from).to_vec();
        let ending = record.ending.clone();
        if chunks.is_empty() && ending.is_none() {
            return;
        }
        record.replication_pending = true;
        let round = record.round;
        let ended = ending.is_some();
        let message = Message::Progress { key: key.clone(), round, from, chunks, ending };
        self.send(key, to.clone(), CallKind::Progress { to, ended }, message);
    }

    fn publish_decided_ending(&mut self, key: &Key) {
        let ending = self.record(key).and_then(|record| record.ending.clone());
        if let Some(ending) = ending {
            self.publish_ending(key, ending);
        }
    }

    pub(super) fn on_progress_reply(
        &mut self,
        key: &Key,
        to: &NodeId,
        ended: bool,
        reply: Option<MessageReply>,
    ) {
        let Some(record) = self.record(key) else { return };
        record.replication_pending = false;
        match reply {
            Some(MessageReply::Have(has)) => {
                record.answer.acknowledge(has);
                if matches!(&record.replica, Replica::Held(held, _) if held == to) {
                    record.replica = Replica::Held(to.clone(), has);
                }
                if ended {
                    self.publish_decided_ending(key);
                }
            }
            Some(MessageReply::Taken(holder)) if !ended => {
                self.apply_owner_event(key, OwnerEvent::Moved(holder));
            }
            _ => self.mark_witness_lost(key, to),
        }
        self.actions.push(Action::Changed(key.clone()));
        self.replicate(key);
    }

    /// Stops waiting for a witness that did not respond, so that the answer becomes visible.
    fn mark_witness_lost(&mut self, key: &Key, to: &NodeId) {
        let Some(record) = self.record(key) else { return };
        let is_current = match &record.replica {
            Replica::Held(held, _) | Replica::Offered(held) => held == to,
            Replica::Sole | Replica::Lost => false,
        };
        if is_current {
            record.replica = Replica::Lost;
            record.answer.set_unreplicated(true);
        }
    }

    pub(super) fn on_membership_change(&mut self) {
        let mut keys: Vec<Key> = self.table.records.keys().cloned().collect();
        keys.sort();
        for key in keys {
            self.take_over_from_gone(&key);
            self.replace_witness(&key);
        }
    }

    /// Picks another witness when the current one is leaving or gone.
    ///
    /// A request that must not run twice keeps its witness: the holder of a second copy could
    /// obtain the dispatch right as well.
    fn replace_witness(&mut self, key: &Key) {
        let members = self.members;
        let Some(record) = self.record(key).filter(|record| record.is_open()) else { return };
        let (Role::Owner(_), Replica::Held(old, _)) = (&record.role, &record.replica) else {
            return;
        };
        let departs = members.is_gone(old) || members.is_leaving(old);
        if !departs || !record.spec.repeatable || record.ending.is_some() {
            return;
        }
        let Some(to) = pick_peer(members, key, std::slice::from_ref(old)) else { return };
        record.replica = Replica::Offered(to.clone());
        record.replication_pending = false;
        self.send_hold(key, to);
    }

    /// Returns `ending` if a witness may show it to callers, which requires that it is final.
    pub(super) fn ending_visible_at_witness(ending: &Ending) -> Option<Ending> {
        // The owner may start another round of a request that did not run.
        let is_final = !matches!(ending, Ending::NotRun(_) | Ending::Rejected(_));
        is_final.then(|| ending.clone())
    }
}
