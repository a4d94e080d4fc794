//! A leaving entry gives its records away.

use crate::record::{Record, Role};
use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Ending, Right};
use peer::{Reply, Request};
use std::sync::atomic::Ordering;

/// Entries tried for one record.
const HAND_OVER_TRIES: usize = 3;

impl Requests {
    /// Takes nothing new from now on.
    pub fn refuse_new(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Tells whether this entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Gives every open record away, and waits until all have ended or moved.
    pub async fn hand_over_all(&self) {
        self.refuse_new();
        let records: Vec<Arc<Record>> = self.records().values().cloned().collect();
        for record in &records {
            record.state().leaving = true;
            record.touch();
        }
        self.wait_until_idle().await;
    }

    /// Waits until every request that this entry owns has ended or moved.
    pub async fn wait_until_idle(&self) {
        let records: Vec<Arc<Record>> = self.records().values().cloned().collect();
        for record in records {
            record
                .wait_for(|state| {
                    matches!(state.role, Role::Witness(..)) || state.ended_at.is_some()
                })
                .await;
        }
    }

    /// Gives a record to its witness, else to another entry.
    pub(crate) async fn hand_over(&self, record: &Arc<Record>, right: Right) {
        let mut tried: Vec<NodeId> = Vec::new();
        let mut next = record.state().witness.clone();
        for _ in 0..HAND_OVER_TRIES {
            let entry = next.take().or_else(|| self.to.cluster.pick_witness(&tried));
            let Some(entry) = entry else { break };
            let req = Request::HandOver {
                terms: record.terms_now(self.clock.now()),
                right,
                chunks: record.state().answer.all_from(0).to_vec(),
            };
            let reply = self.to.cluster.call(&entry, req, Some(self.settings.peer)).await;
            info!(self.log, "handed over"; "key" => record.terms.key.to_string(),
                "to" => entry.to_string(), "done" => matches!(reply, Ok(Reply::Done)));
            if matches!(reply, Ok(Reply::Done)) {
                return self.show_ending(record, Ending::Follow(entry));
            }
            tried.push(entry);
        }
        self.show_ending(record, Ending::Unknown(Code::Elsewhere));
    }
}
