//! The witness's side, and answers to other entries.

use crate::record::{Record, Role};
use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{
    Chunk, ClaimNext, Ending, HoldReply, Right, Terms, Witness, WitnessEvent, WitnessNext,
};
use peer::{Reply, Request};

impl Requests {
    /// Answers a request of another entry that concerns records.
    pub async fn on_peer(self: &Arc<Self>, req: Request) -> Reply {
        match req {
            Request::Hold { terms, round, owner } => self.on_hold(terms, round, owner),
            Request::Ask { key, round } => self.on_ask(&key, round),
            Request::Void { key, round } => self.on_void(&key, round),
            Request::Progress { key, from, chunks, ending } => {
                self.on_progress(&key, from, chunks, ending)
            }
            Request::HandOver { terms, right, chunks } => self.on_hand_over(terms, right, chunks),
            Request::Submit(submit) => match self.on_submit(submit).await {
                Ok(()) => Reply::Done,
                Err(failure) => Reply::Failure(failure),
            },
            Request::Read { key, from, wait_ms, owner_silent } => {
                self.on_read(&key, from, wait_ms, owner_silent).await
            }
            Request::Gossip(_) | Request::Configuration => Reply::Done,
        }
    }

    /// Takes over what a dead owner left.
    pub(crate) fn owner_gone(self: &Arc<Self>, node: &NodeId) {
        let records: Vec<Arc<Record>> = self.records().values().cloned().collect();
        for record in records {
            let next = match &mut record.state().role {
                Role::Witness(witness, owner) if self.to.cluster.is_gone(owner) => {
                    witness.next(WitnessEvent::OwnerGone)
                }
                _ => continue,
            };
            info!(self.log, "owner gone"; "key" => record.terms.key.to_string(),
                "entry" => node.to_string(), "next" => format!("{next:?}"));
            if let WitnessNext::TakeOver(right) = next {
                self.become_owner(&record, right);
            }
        }
    }

    /// Serves a caller whose request's owner is silent; returns the ending to tell, if any.
    pub(crate) async fn witness_demand(self: &Arc<Self>, record: &Arc<Record>) -> Option<Ending> {
        let next = self.witness_step(record, WitnessEvent::Demand)?;
        let next = match next {
            WitnessNext::Claim => {
                let event = match self.run_claim(&record.terms.key).await {
                    ClaimNext::Won => WitnessEvent::ClaimWon,
                    ClaimNext::LostTo(holder) => WitnessEvent::ClaimLost(holder),
                    _ => WitnessEvent::ClaimUndecided,
                };
                self.witness_step(record, event)?
            }
            next => next,
        };
        match next {
            WitnessNext::TakeOver(right) => {
                self.become_owner(record, right);
                None
            }
            WitnessNext::Tell(ending) => {
                // What a witness tells is not the end of the record: the owner may come back.
                record.note(format!("told {ending:?}"));
                Some(ending)
            }
            _ => None,
        }
    }

    fn witness_step(&self, record: &Record, event: WitnessEvent) -> Option<WitnessNext> {
        match &mut record.state().role {
            Role::Witness(witness, _) => Some(witness.next(event)),
            Role::Owner(_) => None,
        }
    }

    fn on_hold(&self, terms: Terms, round: u64, owner: NodeId) -> Reply {
        let record = {
            let mut records = self.records();
            let fresh = || {
                let role = self.witness_role(terms.repeatable, &owner);
                Record::new(terms.clone(), self.clock.now(), role, None)
            };
            records.entry(terms.key.clone()).or_insert_with(fresh).clone()
        };
        let same_body = record.terms.digest == terms.digest;
        let mut state = record.state();
        let reply = match &mut state.role {
            Role::Witness(witness, _) => witness.next(WitnessEvent::Hold { round, same_body }),
            Role::Owner(_) => WitnessNext::Hold(HoldReply::Taken(self.me().clone())),
        };
        match reply {
            WitnessNext::Hold(reply) => Reply::Hold(reply),
            _ => Reply::Hold(HoldReply::Undecided),
        }
    }

    fn on_ask(&self, key: &Key, round: u64) -> Reply {
        let taken = || Reply::Ask(ledger::AskReply::Taken(self.me().clone()));
        let Some(record) = self.get(key) else { return Reply::Ask(ledger::AskReply::NotHeld) };
        match self.witness_step(&record, WitnessEvent::Ask { round }) {
            Some(WitnessNext::Ask(reply)) => Reply::Ask(reply),
            _ => taken(),
        }
    }

    fn on_void(&self, key: &Key, round: u64) -> Reply {
        let taken = || Reply::Void(ledger::VoidReply::Taken(self.me().clone()));
        let Some(record) = self.get(key) else { return Reply::Void(ledger::VoidReply::Voided) };
        match self.witness_step(&record, WitnessEvent::Void { round }) {
            Some(WitnessNext::Void(reply)) => Reply::Void(reply),
            _ => taken(),
        }
    }

    fn on_progress(
        &self,
        key: &Key,
        from: usize,
        chunks: Vec<Chunk>,
        ending: Option<Ending>,
    ) -> Reply {
        let unknown = || Reply::Failure(Failure::new(Code::UnknownKey, key.to_string()));
        let Some(record) = self.get(key) else { return unknown() };
        let have = {
            let mut state = record.state();
            let state = &mut *state;
            let Role::Witness(witness, _) = &mut state.role else { return unknown() };
            for (number, chunk) in (from..).zip(chunks) {
                state.answer.append(number, chunk);
            }
            if let Some(ending) = ending {
                witness.next(WitnessEvent::End(ending.clone()));
                state.ending = Some(ending.clone());
                state.shown_ending = Some(ending);
                state.ended_at = Some(self.clock.now());
            }
            state.answer.len()
        };
        record.touch();
        Reply::Have(have)
    }

    fn on_hand_over(self: &Arc<Self>, terms: Terms, right: Right, chunks: Vec<Chunk>) -> Reply {
        let record = {
            let mut records = self.records();
            let fresh = || {
                let witness = Witness::new(self.me().clone(), terms.repeatable);
                let role = Role::Witness(witness, NodeId::default());
                Record::new(terms.clone(), self.clock.now(), role, None)
            };
            records.entry(terms.key.clone()).or_insert_with(fresh).clone()
        };
        let next = {
            let mut state = record.state();
            let state = &mut *state;
            for (number, chunk) in (0..).zip(chunks) {
                state.answer.append(number, chunk);
            }
            match &mut state.role {
                Role::Witness(witness, _) => witness.next(WitnessEvent::HandOver(right)),
                // The first answer was lost and the leaving owner sent it again.
                Role::Owner(_) => return Reply::Done,
            }
        };
        match next {
            WitnessNext::TakeOver(right) => {
                self.become_owner(&record, right);
                Reply::Done
            }
            _ => Reply::Failure(Failure::new(Code::Elsewhere, terms.key.to_string())),
        }
    }
}
