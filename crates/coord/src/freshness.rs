//! Freshness of the rules of this entry.

use kernel::Millis;

/// How the version in a reply of the store compares with the version in force here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// The version is newer than the one in force here and replaces it; also the first version.
    Newer,
    /// The version in force here is still the newest.
    Same,
    /// The version is older than the one in force here, so the reply confirms nothing.
    Older,
}

/// The newest version of the rules seen by this entry, and the last time at which it was certainly
/// the newest in the store.
///
/// A revoked key must stop working at all entries within a fixed time. An entry that cannot reach
/// the store therefore has to stop serving requests by itself once its rules are too old.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    version: Option<u64>,
    confirmed_at: Millis,
}

impl Freshness {
    /// Records the version in the reply to a call that was sent at `sent`.
    ///
    /// The age is measured from the sending of the call, because the reply need not include changes
    /// made after that.
    pub fn confirm(&mut self, version: u64, sent: Millis) -> Confirmation {
        if self.version.is_some_and(|known| version < known) {
            return Confirmation::Older;
        }
        let confirmation =
            if self.version == Some(version) { Confirmation::Same } else { Confirmation::Newer };
        self.version = Some(version);
        self.confirmed_at = self.confirmed_at.max(sent);
        confirmation
    }

    /// Returns the version in force here; `None` before the first confirmation.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the age of the last confirmation in milliseconds; `None` before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.version.map(|_| now.saturating_sub(self.confirmed_at))
    }

    /// Whether the version in force was confirmed as the newest at most `limit` milliseconds ago.
    pub fn is_fresh(&self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
