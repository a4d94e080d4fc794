//! Backend servers that some entry said to be leaving.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Backend servers that are leaving; each is forgotten after a while.
#[derive(Clone, Debug, Default)]
pub(crate) struct LeavingServers {
    /// Time at which it was first said, on this process's clock.
    said_at: BTreeMap<Name, i64>,
}

impl LeavingServers {
    /// Notes that a server is leaving, and tells whether that is new.
    pub(crate) fn add(
        &mut self,
        server: &Name,
        age: Millis,
        now: Millis,
        remember: Millis,
    ) -> bool {
        let said_at = now as i64 - age as i64;
        let renewed = |known: &i64| said_at > known.saturating_add_unsigned(remember / 4);
        if age >= remember || self.said_at.get(server).is_some_and(|known| !renewed(known)) {
            return false;
        }
        self.said_at.insert(server.clone(), said_at);
        true
    }

    /// Forgets what was said long ago, and tells whether there was any.
    pub(crate) fn forget(&mut self, now: Millis, remember: Millis) -> bool {
        let before = self.said_at.len();
        self.said_at.retain(|_, said_at| now as i64 - *said_at < remember as i64);
        self.said_at.len() < before
    }

    pub(crate) fn age(&self, server: &str, now: Millis) -> Option<Millis> {
        self.said_at.get(server).map(|said_at| (now as i64 - said_at).max(0) as Millis)
    }

    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.said_at.keys()
    }
}
