//! Keeps the witness's copy of an answer up with the owner's.

use crate::record::Record;
use crate::requests::Requests;
use kernel::prelude::*;
use peer::{Reply, Request};

impl Requests {
    /// Sends new chunks to the witness as they come, until cancelled.
    pub(crate) async fn replicate_until_ended(&self, record: &Arc<Record>) {
        let mut changes = record.changes();
        loop {
            self.replicate(record).await;
            let behind = {
                let state = record.state();
                state.answer.shown() < state.answer.len()
            };
            if !behind && changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Sends what the witness lacks, once; a silent witness no longer holds back the answer.
    pub(crate) async fn replicate(&self, record: &Arc<Record>) {
        let (witness, from, chunks, ending) = {
            let state = record.state();
            let from = state.answer.shown();
            (
                state.witness.clone(),
                from,
                state.answer.all_from(from).to_vec(),
                state.ending.clone(),
            )
        };
        if chunks.is_empty() && ending.is_none() {
            return;
        }
        let Some(witness) = witness else {
            record.state().answer.set_alone(true);
            return record.touch();
        };
        let req = Request::Progress { key: record.terms.key.clone(), from, chunks, ending };
        let reply = self.to.cluster.call(&witness, req, Some(self.settings.peer)).await;
        {
            let mut state = record.state();
            match reply {
                Ok(Reply::Have(number)) => state.answer.witnessed(number),
                _ => {
                    warn!(self.log, "witness silent"; "key" => record.terms.key.to_string(),
                        "witness" => witness.to_string());
                    state.witness = None;
                    state.answer.set_alone(true);
                }
            }
        }
        record.touch();
    }
}
