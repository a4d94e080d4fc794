//! Keeps the witness's copy of an answer up with the owner's.

use super::Step;
use super::input::{Action, CallKind};
use super::placing::pick;
use super::record::{Replica, Role};
use crate::message::{Ending, Message, MessageReply};
use crate::owner::OwnerEvent;
use kernel::{Key, NodeId};

impl Step<'_> {
    /// Sends what the witness lacks; without a witness the ending is shown at once.
    pub(super) fn replicate(&mut self, key: &Key) {
        let Some(record) = self.record(key) else { return };
        if record.replicating || record.owner().is_none() || record.shown.is_some() {
            return;
        }
        let (to, from) = match &record.replica {
            Replica::Held(to, has) => (to.clone(), *has),
            // The reply to the offer comes first.
            Replica::Offered(_) if record.ending.is_none() => return,
            Replica::Offered(to) => (to.clone(), 0),
            Replica::Sole | Replica::Lost => return self.show_decided(key),
        };
        let chunks = record.answer.all_from(from).to_vec();
        let ending = record.ending.clone();
        if chunks.is_empty() && ending.is_none() {
            return;
        }
        record.replicating = true;
        let round = record.round;
        let ended = ending.is_some();
        let message = Message::Progress { key: key.clone(), round, from, chunks, ending };
        self.send(key, to.clone(), CallKind::Progress { to, ended }, message);
    }

    fn show_decided(&mut self, key: &Key) {
        let ending = self.record(key).and_then(|record| record.ending.clone());
        if let Some(ending) = ending {
            self.show(key, ending);
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
        record.replicating = false;
        match reply {
            Some(MessageReply::Have(has)) => {
                record.answer.witnessed(has);
                if matches!(&record.replica, Replica::Held(held, _) if held == to) {
                    record.replica = Replica::Held(to.clone(), has);
                }
                if ended {
                    self.show_decided(key);
                }
            }
            Some(MessageReply::Taken(holder)) if !ended => {
                self.run(key, OwnerEvent::Moved(holder));
            }
            _ => self.witness_lost(key, to),
        }
        self.actions.push(Action::Changed(key.clone()));
        self.replicate(key);
    }

    /// A silent witness no longer holds back the answer.
    fn witness_lost(&mut self, key: &Key, to: &NodeId) {
        let Some(record) = self.record(key) else { return };
        let same = match &record.replica {
            Replica::Held(held, _) | Replica::Offered(held) => held == to,
            Replica::Sole | Replica::Lost => false,
        };
        if same {
            record.replica = Replica::Lost;
            record.answer.set_alone(true);
        }
    }

    pub(super) fn members_changed(&mut self) {
        let mut keys: Vec<Key> = self.table.records.keys().cloned().collect();
        keys.sort();
        for key in keys {
            self.take_over_from_gone(&key);
            self.replace_witness(&key);
        }
    }

    /// Finds another witness when the present one goes.
    ///
    /// A request that may not be repeated keeps its own: a second copy would be a second candidate
    /// for its right.
    fn replace_witness(&mut self, key: &Key) {
        let members = self.members;
        let Some(record) = self.record(key).filter(|record| record.is_open()) else { return };
        let (Role::Owner(_), Replica::Held(old, _)) = (&record.role, &record.replica) else {
            return;
        };
        let goes = members.is_gone(old) || members.is_leaving(old);
        if !goes || !record.terms.repeatable || record.ending.is_some() {
            return;
        }
        let Some(to) = pick(members, key, std::slice::from_ref(old)) else { return };
        record.replica = Replica::Offered(to.clone());
        record.replicating = false;
        self.send_hold(key, to);
    }

    /// Returns the ending that a witness may show of its own: the owner's last word.
    pub(super) fn shown_by_witness(ending: &Ending) -> Option<Ending> {
        // The owner may begin another round of a request that did not run.
        let last = !matches!(ending, Ending::NotRun(_) | Ending::Rejected(_));
        last.then(|| ending.clone())
    }
}
