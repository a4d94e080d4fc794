//! The owner's side: takes a request from its offer to its ending.

use crate::record::{Record, Role};
use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Ending, OwnerEvent, OwnerNext, Right, Witness};
use peer::{Reply, Request};

impl Requests {
    /// Offers a new record to its witness and drives it from there.
    pub(crate) async fn drive_offer(self: Arc<Self>, record: Arc<Record>) {
        let event = self.offer(&record).await;
        if event == OwnerEvent::WitnessSilent {
            record.state().answer.set_alone(true);
        }
        let next = self.step(&record, event);
        self.drive(record, next).await;
    }

    /// Drives a record that this entry took over, with the right to dispatch it.
    pub(crate) async fn drive_taken(self: Arc<Self>, record: Arc<Record>) {
        // A copy of a request that may not be repeated would be a second candidate for its claim.
        let witness =
            if record.terms.repeatable { self.to.cluster.pick_witness(&[]) } else { None };
        record.state().witness = witness;
        let held =
            record.terms.repeatable && self.offer(&record).await != OwnerEvent::WitnessSilent;
        record.state().answer.set_alone(!held);
        self.drive(record, OwnerNext::Dispatch { attempt: 1 }).await;
    }

    /// Follows the decisions of the owner until the record ends or is given away.
    async fn drive(self: &Arc<Self>, record: Arc<Record>, mut next: OwnerNext) {
        loop {
            debug!(self.log, "step"; "key" => record.terms.key.to_string(), "next" => format!("{next:?}"));
            record.note(format!("{next:?}"));
            let event = match next {
                OwnerNext::Wait => return,
                OwnerNext::Ask => self.ask(&record).await,
                OwnerNext::Claim => self.claim(&record).await,
                OwnerNext::Void => self.void(&record).await,
                OwnerNext::Dispatch { attempt } => {
                    self.mark_accepted(&record);
                    self.dispatch_or_leave(&record, attempt).await
                }
                OwnerNext::HandOver(right) => return self.hand_over(&record, right).await,
                OwnerNext::End(ending) => return self.end(&record, ending).await,
            };
            next = self.step(&record, event);
        }
    }

    /// Gives the owner one event.
    fn step(&self, record: &Record, event: OwnerEvent) -> OwnerNext {
        record.note(format!("{event:?}"));
        match &mut record.state().role {
            Role::Owner(owner) => owner.next(event),
            Role::Witness(..) => OwnerNext::Wait,
        }
    }

    fn mark_accepted(&self, record: &Record) {
        let newly = !std::mem::replace(&mut record.state().accepted, true);
        if newly {
            self.counters.accepted.add(1, &[]);
            record.touch();
        }
    }

    async fn offer(&self, record: &Record) -> OwnerEvent {
        let (witness, round) = record.witness_and_round();
        let Some(witness) = witness else { return OwnerEvent::WitnessSilent };
        let terms = record.terms_now(self.clock.now());
        let req = Request::Hold { terms, round, owner: self.me().clone() };
        match self.to.cluster.call(&witness, req, Some(self.settings.peer)).await {
            Ok(Reply::Hold(reply)) => OwnerEvent::Hold(reply),
            _ => OwnerEvent::WitnessSilent,
        }
    }

    async fn ask(&self, record: &Record) -> OwnerEvent {
        let (witness, round) = record.witness_and_round();
        let Some(witness) = witness else { return OwnerEvent::WitnessSilent };
        let req = Request::Ask { key: record.terms.key.clone(), round };
        match self.to.cluster.call(&witness, req, Some(self.settings.peer)).await {
            Ok(Reply::Ask(reply)) => OwnerEvent::Ask(reply),
            _ => OwnerEvent::WitnessSilent,
        }
    }

    async fn void(&self, record: &Record) -> OwnerEvent {
        let (witness, round) = record.witness_and_round();
        let Some(witness) = witness else { return OwnerEvent::WitnessSilent };
        let req = Request::Void { key: record.terms.key.clone(), round };
        match self.to.cluster.call(&witness, req, Some(self.settings.peer)).await {
            Ok(Reply::Void(reply)) => OwnerEvent::Void(reply),
            _ => OwnerEvent::WitnessSilent,
        }
    }

    /// Ends a record: the witness learns the ending before any caller does.
    async fn end(&self, record: &Arc<Record>, ending: Ending) {
        info!(self.log, "ended"; "key" => record.terms.key.to_string(), "ending" => format!("{ending:?}"));
        record.state().ending = Some(ending.clone());
        if !matches!(ending, Ending::Follow(_)) {
            self.replicate(record).await;
        }
        self.show_ending(record, ending);
    }

    pub(crate) fn show_ending(&self, record: &Record, ending: Ending) {
        self.count_ending(&ending);
        {
            let mut state = record.state();
            state.answer.set_alone(true);
            state.ending = Some(ending.clone());
            state.shown_ending = Some(ending);
            state.ended_at = Some(self.clock.now());
        }
        record.touch();
    }

    /// Turns the record of a witness into that of an owner.
    pub(crate) fn become_owner(self: &Arc<Self>, record: &Arc<Record>, right: Right) {
        info!(self.log, "took over"; "key" => record.terms.key.to_string(), "right" => format!("{right:?}"));
        let repeatable = record.terms.repeatable;
        record.note(format!("took over with right {right:?}"));
        record.state().role = Role::Owner(ledger::Owner::take_over(repeatable, right));
        let (requests, driven) = (self.clone(), record.clone());
        tokio::spawn(async move { requests.drive_taken(driven).await });
    }

    /// Puts the record back into the hands of a witness that knows nothing.
    pub(crate) fn witness_role(&self, repeatable: bool, owner: &NodeId) -> Role {
        Role::Witness(Witness::new(self.me().clone(), repeatable), owner.clone())
    }
}
