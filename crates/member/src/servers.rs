//! Backend servers that were announced as leaving.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Backend servers that are leaving; each expires after a retention time.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingServers {
    /// Time of the announcement on the local clock; negative if it was before this process started.
    announced_at: BTreeMap<Name, i64>,
}

impl LeavingServers {
    /// Records that a server is leaving and returns whether this is new. An announcement counts as
    /// new again if it is later than the known one by over a quarter of `retention`.
    pub(crate) fn add(
        &mut self,
        server: &Name,
        age: Millis,
        now: Millis,
        retention: Millis,
    ) -> bool {
        let announced_at = now as i64 - age as i64;
        let is_renewed = |known: &i64| announced_at > known.saturating_add_unsigned(retention / 4);
        if age >= retention || self.announced_at.get(server).is_some_and(|known| !is_renewed(known))
        {
            return false;
        }
        self.announced_at.insert(server.clone(), announced_at);
        true
    }

    /// Removes expired servers and returns whether there were any.
    pub(crate) fn expire(&mut self, now: Millis, retention: Millis) -> bool {
        let before = self.announced_at.len();
        self.announced_at.retain(|_, announced_at| now as i64 - *announced_at < retention as i64);
        self.announced_at.len() < before
    }

    /// Returns the milliseconds since the announcement.
    pub(crate) fn age(&self, server: &str, now: Millis) -> Option<Millis> {
        self.announced_at
            .get(server)
            .map(|announced_at| (now as i64 - announced_at).max(0) as Millis)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.announced_at.keys()
    }
}
