//! Reads the answer of a request, wherever it is.

use crate::perform::Neighbours;
use crate::requests::Requests;
use crate::submit::located;
use kernel::prelude::*;
use ledger::{AnswerPart, Ending, Holder, Home, Input};
use peer::{Reply, Request};

/// Entries asked for one read at most.
const FOLLOWS: usize = 32;

impl Requests {
    /// Finds where the answer of a known request can be read.
    ///
    /// # Errors
    /// [`Code::UnknownKey`] when the key names no home and is not held here.
    pub fn locate(&self, key: &Key) -> Result<Holder, Failure> {
        if self.with_table(|table| table.owns(key)) {
            return Ok(Holder::Local);
        }
        let home = Home::parse(&key.id);
        let home = home.ok_or_else(|| Failure::new(Code::UnknownKey, key.to_string()))?;
        if home.owner == *self.me() {
            return Err(Failure::new(Code::UnknownKey, key.to_string()));
        }
        let mut others = self.hand_over_candidates(key);
        others.push(home.witness);
        Ok(Holder::Remote(home.owner, others))
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
    ) -> Result<AnswerPart, Failure> {
        let mut silent = false;
        for _ in 0..FOLLOWS {
            let (reply, entry) = match holder {
                Holder::Local => (self.read_here(key, from, self.settings.read_wait).await?, None),
                Holder::Remote(entry, _) if entry == self.me() => {
                    (self.read_as_witness(key, from).await?, None)
                }
                Holder::Remote(entry, _) => {
                    let entry = entry.clone();
                    match self.read_at(&entry, key, from, holder, &mut silent).await? {
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
        // Those that gave it on name an entry that is gone.
        Err(Failure::new(Code::HomeLost, key.to_string()))
    }

    /// Answers the read of another entry.
    pub(crate) async fn on_read(
        self: &Arc<Self>,
        key: &Key,
        from: usize,
        wait_ms: u64,
        owner_silent: bool,
    ) -> Reply {
        let wait = Duration::from_millis(wait_ms).min(self.settings.read_wait);
        let read = match owner_silent && self.awaited_owner(key).is_some() {
            true => self.read_as_witness(key, from).await,
            false => self.read_here(key, from, wait).await,
        };
        match read {
            Ok(part) => Reply::Read(part),
            Err(failure) => Reply::Failure(failure),
        }
    }

    fn awaited_owner(&self, key: &Key) -> Option<NodeId> {
        self.with_table(|table| table.awaited_owner(key).cloned())
    }

    /// Reads for a caller whose request this entry witnesses: from the owner, or by taking over.
    async fn read_as_witness(
        self: &Arc<Self>,
        key: &Key,
        from: usize,
    ) -> Result<AnswerPart, Failure> {
        let Some(owner) = self.awaited_owner(key) else {
            return self.read_here(key, from, self.settings.read_wait).await;
        };
        if !self.to.cluster.is_gone(&owner) {
            match self.read_remote(&owner, key, from, false).await {
                Ok(reply) => return Ok(reply),
                Err(failure) if failure.code != Code::PeerUnreachable => return Err(failure),
                Err(_) => {}
            }
        }
        let read = |ticket| Input::Read { ticket, key: key.clone() };
        match located(self.ask(read).await)? {
            Holder::Local => self.read_here(key, from, self.settings.read_wait).await,
            Holder::Remote(entry, _) => Ok(AnswerPart {
                from,
                ending: Some(Ending::Follow(entry)),
                ..AnswerPart::default()
            }),
        }
    }

    /// Reads at another entry; `None` when it is silent and `holder` names the next one.
    ///
    /// `any_silent` notes that an entry did not answer, so that it may know the request.
    async fn read_at(
        &self,
        entry: &NodeId,
        key: &Key,
        from: usize,
        holder: &mut Holder,
        any_silent: &mut bool,
    ) -> Result<Option<AnswerPart>, Failure> {
        let Holder::Remote(_, others) = holder else { return Ok(None) };
        // Whoever is not the owner by the key is its witness, or has the request already.
        let owner_silent = Home::parse(&key.id).is_none_or(|home| home.owner != *entry);
        let gone = self.to.cluster.is_gone(entry);
        let silent = Failure::new(Code::PeerUnreachable, entry.to_string());
        let read = match gone {
            true => Err(silent),
            false => self.read_remote(entry, key, from, owner_silent).await,
        };
        match read {
            Ok(reply) => Ok(Some(reply)),
            Err(failure) if !is_silent(&failure) => Err(failure),
            Err(failure) => {
                *any_silent |= failure.code != Code::UnknownKey;
                let Some(next) = others.pop() else {
                    let code = if *any_silent { Code::HomeLost } else { Code::UnknownKey };
                    return Err(Failure::new(code, failure.context));
                };
                info!(self.log, "holder silent"; "key" => key.to_string(),
                    "entry" => entry.to_string(), "next" => next.to_string());
                let others = std::mem::take(others);
                *holder = self.holder_at(key, next, others);
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
    ) -> Result<AnswerPart, Failure> {
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

    async fn read_here(
        &self,
        key: &Key,
        from: usize,
        wait: Duration,
    ) -> Result<AnswerPart, Failure> {
        let unknown = || Failure::new(Code::UnknownKey, key.to_string());
        let record = self.with_table(|table| self.known(table, key)).ok_or_else(unknown)?;
        let mut changes = record.changes();
        let read = || self.with_table(|table| table.read(key, from)).ok_or_else(unknown);
        let news = async {
            loop {
                let part = read()?;
                if !part.chunks.is_empty() || part.ending.is_some() {
                    return Ok(part);
                }
                if changes.changed().await.is_err() {
                    return Err(unknown());
                }
            }
        };
        // Nothing new in time is an empty reply.
        match tokio::time::timeout(wait, news).await {
            Ok(part) => part,
            Err(_) => read(),
        }
    }

    fn holder_of(&self, key: &Key, entry: NodeId) -> Holder {
        self.holder_at(key, entry, self.hand_over_candidates(key))
    }

    fn hand_over_candidates(&self, key: &Key) -> Vec<NodeId> {
        ledger::hand_over_candidates(&Neighbours(&self.to.cluster), key)
    }

    fn holder_at(&self, key: &Key, entry: NodeId, others: Vec<NodeId>) -> Holder {
        if entry == *self.me() && self.with_table(|table| table.owns(key)) {
            return Holder::Local;
        }
        Holder::Remote(entry, others)
    }
}

/// Tells whether another entry may still have the request.
fn is_silent(failure: &Failure) -> bool {
    matches!(failure.code, Code::PeerUnreachable | Code::UnknownKey)
}
