//! Where a caller's request goes: to its home.

use crate::record::{Record, Role};
use crate::requests::Requests;
use kernel::prelude::*;
use ledger::{Ending, Home, Owner, Terms, Witness};
use peer::{Reply, Request, Submit};
use platform::Swap;
use serde::{Deserialize, Serialize};
use std::sync::atomic::Ordering;

/// Where the answer of a request can be read.
#[derive(Clone)]
pub enum Holder {
    /// Here.
    Here(Arc<Record>),
    /// At another entry; the others are tried when it is silent.
    At(NodeId, Vec<NodeId>),
}

/// The home of a key that a caller made up, as stored in the key-value service.
#[derive(Debug, Deserialize, Serialize)]
struct StoredHome {
    owner: NodeId,
    witness: NodeId,
}

impl Requests {
    /// Takes a caller's request to its home and returns where its answer can be read.
    ///
    /// Returns the key as well: a key that names no home gets one in front of it.
    ///
    /// # Errors
    /// The failure that the caller is told.
    pub async fn submit(self: &Arc<Self>, mut terms: Terms) -> Result<(Key, Holder), Failure> {
        let home = match Home::parse(&terms.key.id) {
            Some(home) => home,
            None => {
                let home = self.find_home(&terms).await?;
                terms.key.id = Name::from(format!("{home}{}", terms.key.id));
                home
            }
        };
        let key = terms.key.clone();
        if home.owner == *self.me() {
            return self
                .submit_here(terms, &home.witness)
                .await
                .map(|record| (key, Holder::Here(record)));
        }
        if home.witness == *self.me() {
            return self
                .submit_at_witness(terms, &home.owner, false)
                .await
                .map(|holder| (key, holder));
        }
        self.relay(terms, home).await.map(|holder| (key, holder))
    }

    /// Takes a request on that another entry relayed.
    pub(crate) async fn on_submit(self: &Arc<Self>, submit: Submit) -> Result<(), Failure> {
        let Submit { terms, owner_silent } = submit;
        let home = Home::parse(&terms.key.id);
        let home = home.ok_or_else(|| Failure::new(Code::MalformedKey, "it names no home"))?;
        if home.owner == *self.me() {
            return self.submit_here(terms, &home.witness).await.map(drop);
        }
        self.submit_at_witness(terms, &home.owner, owner_silent).await.map(drop)
    }

    /// Takes a request on as its owner, or finds the record of an earlier attempt.
    pub(crate) async fn submit_here(
        self: &Arc<Self>,
        terms: Terms,
        witness: &NodeId,
    ) -> Result<Arc<Record>, Failure> {
        let record = self.open(terms, witness)?;
        record.wait_for(|state| state.accepted || state.shown_ending.is_some()).await;
        Ok(record)
    }

    /// Finds or makes the record of a request that this entry owns, and drives a new one.
    fn open(self: &Arc<Self>, terms: Terms, witness: &NodeId) -> Result<Arc<Record>, Failure> {
        let mut records = self.records();
        let known = records.get(&terms.key).cloned();
        if let Some(known) = known {
            if known.terms.digest != terms.digest {
                return Err(Failure::new(Code::KeyReused, terms.key.to_string()));
            }
            let round = known.state().next_round();
            let Some(round) = round else { return Ok(known) };
            let record = self.start(&terms, witness, round)?;
            records.insert(terms.key.clone(), record.clone());
            return Ok(record);
        }
        let record = self.start(&terms, witness, 1)?;
        records.insert(terms.key.clone(), record.clone());
        Ok(record)
    }

    fn start(
        self: &Arc<Self>,
        terms: &Terms,
        witness: &NodeId,
        round: u64,
    ) -> Result<Arc<Record>, Failure> {
        if self.leaving.load(Ordering::SeqCst) {
            return Err(Failure::new(Code::Leaving, self.me().to_string()).rejected());
        }
        self.admit(terms)?;
        let role = Role::Owner(Owner::offer(terms.repeatable));
        let witness = (witness != self.me()).then(|| witness.clone());
        let record = Record::new(terms.clone(), self.clock.now(), role, witness);
        record.state().round = round;
        let (requests, driven) = (self.clone(), record.clone());
        tokio::spawn(async move { requests.drive_offer(driven).await });
        Ok(record)
    }

    /// Serves a request at its witness: by its owner if that answers, else by taking it over.
    async fn submit_at_witness(
        self: &Arc<Self>,
        terms: Terms,
        owner: &NodeId,
        owner_silent: bool,
    ) -> Result<Holder, Failure> {
        let here =
            self.get(&terms.key).filter(|record| matches!(record.state().role, Role::Owner(_)));
        if let Some(record) = here {
            return Ok(Holder::Here(record));
        }
        if self.to.cluster.is_gone(owner) {
            return self.demand(terms, owner).await;
        }
        let req = Request::Submit(Submit { terms: terms.clone(), owner_silent: false });
        match self.to.cluster.call(owner, req, Some(self.settings.peer)).await {
            Ok(Reply::Done) if !owner_silent => Ok(Holder::At(owner.clone(), vec![])),
            // The sender cannot reach the owner, but this entry can: it reads for the sender.
            Ok(Reply::Done) => Ok(Holder::At(owner.clone(), vec![])),
            Err(failure) if failure.code != Code::PeerUnreachable => Err(failure),
            _ => self.demand(terms, owner).await,
        }
    }

    /// Takes a request over whose owner is silent, as far as that is safe.
    async fn demand(self: &Arc<Self>, terms: Terms, owner: &NodeId) -> Result<Holder, Failure> {
        let record = {
            let mut records = self.records();
            let fresh = || {
                let witness = Witness::new(self.me().clone(), terms.repeatable);
                Record::new(
                    terms.clone(),
                    self.clock.now(),
                    Role::Witness(witness, owner.clone()),
                    None,
                )
            };
            records.entry(terms.key.clone()).or_insert_with(fresh).clone()
        };
        if record.terms.digest != terms.digest {
            return Err(Failure::new(Code::KeyReused, terms.key.to_string()));
        }
        match self.witness_demand(&record).await {
            Some(Ending::Follow(entry)) => Ok(Holder::At(entry, vec![])),
            _ => Ok(Holder::Here(record)),
        }
    }

    /// Passes a request to its owner, else to its witness.
    async fn relay(&self, terms: Terms, home: Home) -> Result<Holder, Failure> {
        let Home { owner, witness } = home;
        let limit = Some(self.settings.peer);
        let req = |owner_silent| Request::Submit(Submit { terms: terms.clone(), owner_silent });
        if !self.to.cluster.is_gone(&owner) {
            match self.to.cluster.call(&owner, req(false), limit).await {
                Ok(_) => return Ok(Holder::At(owner, vec![witness])),
                Err(failure) if failure.code != Code::PeerUnreachable => return Err(failure),
                Err(_) => {}
            }
        }
        // The witness may have to claim first, which takes longer.
        match self.to.cluster.call(&witness, req(true), Some(self.settings.peer * 8)).await {
            Ok(_) => Ok(Holder::At(witness, vec![])),
            Err(failure) if failure.code != Code::PeerUnreachable => Err(failure),
            Err(_) => Err(Failure::new(Code::HomeLost, format!("{owner} and {witness}"))),
        }
    }

    /// Gives a home to a key that a caller made up.
    ///
    /// A request that may not be repeated gets it from the key-value service, so that every entry
    /// finds the same one.
    async fn find_home(&self, terms: &Terms) -> Result<Home, Failure> {
        let witness = self.to.cluster.pick_witness(&[]).unwrap_or_else(|| self.me().clone());
        let home = Home { owner: self.me().clone(), witness };
        if terms.repeatable {
            return Ok(home);
        }
        let key = format!("fennelfold/home/{}", terms.key);
        let value = StoredHome { owner: home.owner.clone(), witness: home.witness.clone() };
        let value = serde_json::to_vec(&value).unwrap_or_default();
        match self.to.kv.swap(&key, 0, value.into(), None).await {
            Ok(Swap::Done(_)) | Ok(Swap::Other(None)) => Ok(home),
            Ok(Swap::Other(Some(stored))) => {
                let malformed = |e: serde_json::Error| Failure::new(Code::NoArbiter, e.to_string());
                let StoredHome { owner, witness } =
                    serde_json::from_slice(&stored.value).map_err(malformed)?;
                Ok(Home { owner, witness })
            }
            Err(failure) => Err(Failure::new(Code::NoArbiter, failure.context).rejected()),
        }
    }
}

impl crate::record::State {
    /// Returns the number of the next round when the present one ended without a run.
    fn next_round(&self) -> Option<u64> {
        let over = matches!(self.shown_ending, Some(Ending::NotRun(_) | Ending::Rejected(_)));
        over.then_some(self.round + 1)
    }
}
