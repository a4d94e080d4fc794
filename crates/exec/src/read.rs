//! Reads the answer of a request from the entry that holds it.

use crate::perform::ClusterView;
use crate::requests::Requests;
use crate::submit::holder_of_response;
use kernel::prelude::*;
use ledger::{AnswerPart, Ending, Holder, Home, Input};
use peer::{Reply, Request};

/// Maximum number of entries tried in one read.
const MAX_ENTRIES_TRIED: usize = 32;

impl Requests {
    /// Returns where the answer of a known request can be read.
    ///
    /// # Errors
    /// [`Code::UnknownKey`] when this entry does not own the request and the key names no other
    /// entry as its owner.
    pub fn locate(&self, key: &Key) -> Result<Holder, Failure> {
        if self.with_table(|table| table.owns(key)) {
            return Ok(Holder::Local);
        }
        let home = Home::parse(&key.id);
        let home = home.ok_or_else(|| Failure::new(Code::UnknownKey, key.to_string()))?;
        if home.owner == *self.me() {
            return Err(Failure::new(Code::UnknownKey, key.to_string()));
        }
        let mut alternatives = self.hand_over_candidates(key);
        alternatives.push(home.witness);
        Ok(Holder::Remote(home.owner, alternatives))
    }

    /// Reads the chunks from number `from` on; if there are none yet, waits for the next one up to
    /// `max_read_wait`.
    ///
    /// `holder` is updated when another entry turns out to hold the request.
    ///
    /// # Errors
    /// [`Code::HomeLost`] when no entry that may hold the request answers; otherwise the failure to
    /// report to the caller.
    pub async fn read(
        self: &Arc<Self>,
        key: &Key,
        holder: &mut Holder,
        from: usize,
    ) -> Result<AnswerPart, Failure> {
        let mut any_unreachable = false;
        for _ in 0..MAX_ENTRIES_TRIED {
            let (reply, entry) = match holder {
                Holder::Local => {
                    (self.read_local(key, from, self.settings.max_read_wait).await?, None)
                }
                Holder::Remote(entry, _) if entry == self.me() => {
                    (self.read_as_witness(key, from).await?, None)
                }
                Holder::Remote(entry, _) => {
                    let entry = entry.clone();
                    match self.read_at(&entry, key, from, holder, &mut any_unreachable).await? {
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
        // No entry that was tried holds the request: those that handed it over refer to an entry
        // that is gone.
        Err(Failure::new(Code::HomeLost, key.to_string()))
    }

    /// Handles a read request from another entry.
    pub(crate) async fn handle_read(
        self: &Arc<Self>,
        key: &Key,
        from: usize,
        wait_ms: u64,
        owner_silent: bool,
    ) -> Reply {
        let wait = Duration::from_millis(wait_ms).min(self.settings.max_read_wait);
        let read = match owner_silent && self.awaited_owner(key).is_some() {
            true => self.read_as_witness(key, from).await,
            false => self.read_local(key, from, wait).await,
        };
        match read {
            Ok(part) => Reply::Read(part),
            Err(failure) => Reply::Failure(failure),
        }
    }

    fn awaited_owner(&self, key: &Key) -> Option<NodeId> {
        self.with_table(|table| table.awaited_owner(key).cloned())
    }

    /// Reads a request that this entry witnesses: from its owner or, if the owner does not answer,
    /// after taking the request over.
    async fn read_as_witness(
        self: &Arc<Self>,
        key: &Key,
        from: usize,
    ) -> Result<AnswerPart, Failure> {
        let Some(owner) = self.awaited_owner(key) else {
            return self.read_local(key, from, self.settings.max_read_wait).await;
        };
        if !self.services.cluster.is_gone(&owner) {
            match self.read_remote(&owner, key, from, false).await {
                Ok(reply) => return Ok(reply),
                Err(failure) if failure.code != Code::PeerUnreachable => return Err(failure),
                Err(_) => {}
            }
        }
        let read = |ticket| Input::Read { ticket, key: key.clone() };
        match holder_of_response(self.feed_and_wait(read).await)? {
            Holder::Local => self.read_local(key, from, self.settings.max_read_wait).await,
            Holder::Remote(entry, _) => Ok(AnswerPart {
                from,
                ending: Some(Ending::Follow(entry)),
                ..AnswerPart::default()
            }),
        }
    }

    /// Reads from another entry. Returns `None` when that entry does not answer or does not know
    /// the request; `holder` then names the next entry to try.
    ///
    /// `any_unreachable` is set when an entry did not answer: it might know the request.
    async fn read_at(
        &self,
        entry: &NodeId,
        key: &Key,
        from: usize,
        holder: &mut Holder,
        any_unreachable: &mut bool,
    ) -> Result<Option<AnswerPart>, Failure> {
        let Holder::Remote(_, alternatives) = holder else { return Ok(None) };
        // An entry other than the owner named in the key is the witness or already holds the
        // request.
        let owner_silent = Home::parse(&key.id).is_none_or(|home| home.owner != *entry);
        let gone = self.services.cluster.is_gone(entry);
        let unreachable = Failure::new(Code::PeerUnreachable, entry.to_string());
        let read = match gone {
            true => Err(unreachable),
            false => self.read_remote(entry, key, from, owner_silent).await,
        };
        match read {
            Ok(reply) => Ok(Some(reply)),
            Err(failure) if !may_be_elsewhere(&failure) => Err(failure),
            Err(failure) => {
                *any_unreachable |= failure.code != Code::UnknownKey;
                let Some(next) = alternatives.pop() else {
                    let code = if *any_unreachable { Code::HomeLost } else { Code::UnknownKey };
                    return Err(Failure::new(code, failure.context));
                };
                info!(self.log, "holder unavailable"; "key" => key.to_string(),
                    "entry" => entry.to_string(), "next" => next.to_string());
                let alternatives = std::mem::take(alternatives);
                *holder = self.holder_at(key, next, alternatives);
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
        let wait = self.settings.max_read_wait;
        let req = Request::Read {
            key: key.clone(),
            from,
            wait_ms: wait.as_millis() as u64,
            owner_silent,
        };
        match self
            .services
            .cluster
            .call(entry, req, Some(wait + self.settings.peer_timeout * 4))
            .await?
        {
            Reply::Read(reply) => Ok(reply),
            _ => Err(Failure::new(Code::PeerUnreachable, "unexpected reply to a read request")),
        }
    }

    async fn read_local(
        &self,
        key: &Key,
        from: usize,
        wait: Duration,
    ) -> Result<AnswerPart, Failure> {
        let unknown = || Failure::new(Code::UnknownKey, key.to_string());
        let record = self.with_table(|table| self.record(table, key)).ok_or_else(unknown)?;
        let mut changes = record.changes();
        let read = || self.with_table(|table| table.read(key, from)).ok_or_else(unknown);
        let next_part = async {
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
        // If nothing new arrives in time, the reply is empty.
        match tokio::time::timeout(wait, next_part).await {
            Ok(part) => part,
            Err(_) => read(),
        }
    }

    fn holder_of(&self, key: &Key, entry: NodeId) -> Holder {
        self.holder_at(key, entry, self.hand_over_candidates(key))
    }

    fn hand_over_candidates(&self, key: &Key) -> Vec<NodeId> {
        ledger::hand_over_candidates(&ClusterView(&self.services.cluster), key)
    }

    fn holder_at(&self, key: &Key, entry: NodeId, alternatives: Vec<NodeId>) -> Holder {
        if entry == *self.me() && self.with_table(|table| table.owns(key)) {
            return Holder::Local;
        }
        Holder::Remote(entry, alternatives)
    }
}

/// Whether another entry may still hold the request.
fn may_be_elsewhere(failure: &Failure) -> bool {
    matches!(failure.code, Code::PeerUnreachable | Code::UnknownKey)
}
