//! Reads the answer of a request, wherever it is.

use crate::record::{Record, Role};
use crate::requests::Requests;
use crate::submit::Holder;
use kernel::prelude::*;
use ledger::{Ending, Home};
use peer::{ReadReply, Reply, Request};

impl Requests {
    /// Finds where the answer of a known request can be read.
    ///
    /// # Errors
    /// [`Code::UnknownKey`] when the key names no home and is not held here.
    pub fn locate(&self, key: &Key) -> Result<Holder, Failure> {
        if let Some(record) =
            self.get(key).filter(|record| matches!(record.state().role, Role::Owner(_)))
        {
            return Ok(Holder::Here(record));
        }
        let home = Home::parse(&key.id);
        let home = home.ok_or_else(|| Failure::new(Code::UnknownKey, key.to_string()))?;
        if home.owner == *self.me() {
            return Err(Failure::new(Code::UnknownKey, key.to_string()));
        }
        Ok(Holder::At(home.owner, vec![home.witness]))
    }

    /// Reads the chunks from `from` on; waits a while for the next one.
    ///
    /// `holder` is changed when another entry turns out to have the request.
    ///
    /// # Errors
    /// [`Code::HomeLost`] when no entry that may have it answers, or the failure that the caller
    /// is told.
    pub async fn read(
        self: &Arc<Self>,
        key: &Key,
        holder: &mut Holder,
        from: usize,
    ) -> Result<ReadReply, Failure> {
        loop {
            let (reply, entry) = match holder {
                Holder::Here(record) => {
                    (self.read_here(record, from, self.settings.read_wait).await, None)
                }
                Holder::At(entry, _) if entry == self.me() => {
                    (self.read_as_witness(key, from).await?, None)
                }
                Holder::At(entry, _) => {
                    let entry = entry.clone();
                    match self.read_at(&entry, key, from, holder).await? {
                        Some(reply) => (reply, Some(entry)),
                        None => continue,
                    }
                }
            };
            match reply.ending {
                Some(Ending::Follow(next)) if entry.as_ref() != Some(&next) => {
                    *holder = self.holder_of(key, next);
                }
                _ => return Ok(reply),
            }
        }
    }

    /// Answers the read of another entry.
    pub(crate) async fn on_read(
        self: &Arc<Self>,
        key: &Key,
        from: usize,
        wait_ms: u64,
        owner_silent: bool,
    ) -> Reply {
        let Some(record) = self.get(key) else {
            return Reply::Failure(Failure::new(Code::UnknownKey, key.to_string()));
        };
        let wait = Duration::from_millis(wait_ms).min(self.settings.read_wait);
        if owner_silent && record.awaited_owner().is_some() {
            return match self.read_as_witness(key, from).await {
                Ok(reply) => Reply::Read(reply),
                Err(failure) => Reply::Failure(failure),
            };
        }
        Reply::Read(self.read_here(&record, from, wait).await)
    }

    /// Reads for a caller whose request this entry witnesses: from the owner, or by taking over.
    async fn read_as_witness(
        self: &Arc<Self>,
        key: &Key,
        from: usize,
    ) -> Result<ReadReply, Failure> {
        let unknown = || Failure::new(Code::UnknownKey, key.to_string());
        let record = self.get(key).ok_or_else(unknown)?;
        let Some(owner) = record.awaited_owner() else {
            return Ok(self.read_here(&record, from, self.settings.read_wait).await);
        };
        if !self.to.cluster.is_gone(&owner) {
            match self.read_remote(&owner, key, from, false).await {
                Ok(reply) => return Ok(reply),
                Err(failure) if failure.code != Code::PeerUnreachable => return Err(failure),
                Err(_) => {}
            }
        }
        match self.witness_demand(&record).await {
            Some(ending) => Ok(ReadReply { from, chunks: Vec::new(), ending: Some(ending) }),
            None => Ok(self.read_here(&record, from, self.settings.read_wait).await),
        }
    }

    /// Reads at another entry; `None` when it is silent and `holder` names the next one.
    async fn read_at(
        &self,
        entry: &NodeId,
        key: &Key,
        from: usize,
        holder: &mut Holder,
    ) -> Result<Option<ReadReply>, Failure> {
        let Holder::At(_, others) = holder else { return Ok(None) };
        // Whoever has no other to turn to is the witness, or has the request already.
        let owner_silent = others.is_empty();
        let gone = self.to.cluster.is_gone(entry);
        let silent = Failure::new(Code::PeerUnreachable, entry.to_string());
        let read = match gone {
            true => Err(silent),
            false => self.read_remote(entry, key, from, owner_silent).await,
        };
        match read {
            Ok(reply) => Ok(Some(reply)),
            Err(failure) if failure.code != Code::PeerUnreachable => Err(failure),
            Err(failure) => {
                let Some(next) = others.pop() else {
                    return Err(Failure::new(Code::HomeLost, failure.context));
                };
                info!(self.log, "holder silent"; "key" => key.to_string(),
                    "entry" => entry.to_string(), "next" => next.to_string());
                *holder = self.holder_of(key, next);
                Ok(None)
            }
        }
    }

    async fn read_remote(
        &self,
        entry: &NodeId,
        key: &Key,
        from: usize,
        owner_silent: bool,
    ) -> Result<ReadReply, Failure> {
        let wait = self.settings.read_wait;
        let req = Request::Read {
            key: key.clone(),
            from,
            wait_ms: wait.as_millis() as u64,
            owner_silent,
        };
        match self.to.cluster.call(entry, req, Some(wait + self.settings.peer * 4)).await? {
            Reply::Read(reply) => Ok(reply),
            _ => Err(Failure::new(Code::PeerUnreachable, "unexpected reply")),
        }
    }

    async fn read_here(&self, record: &Record, from: usize, wait: Duration) -> ReadReply {
        let ready =
            record.wait_for(|state| state.answer.shown() > from || state.shown_ending.is_some());
        // Nothing new in time is an empty reply.
        let _ = tokio::time::timeout(wait, ready).await;
        let state = record.state();
        let chunks = state.answer.visible_from(from).to_vec();
        ReadReply { from, chunks, ending: state.shown_ending.clone() }
    }

    fn holder_of(&self, key: &Key, entry: NodeId) -> Holder {
        match self.get(key) {
            Some(record) if entry == *self.me() => match record.state().role {
                Role::Owner(_) => Holder::Here(record.clone()),
                Role::Witness(..) => Holder::At(entry, vec![]),
            },
            _ => Holder::At(entry, vec![]),
        }
    }
}
