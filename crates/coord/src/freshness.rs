//! How fresh the rules of this entry are.

use kernel::Millis;

/// What an answer of the store says about the version in force here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Confirmation {
    /// The version is newer than the one in force here and replaces it.
    Newer,
    /// The version in force here is still the newest.
    Same,
    /// The answer is older than what is known; it confirms nothing.
    Older,
}

/// The newest version that this entry has seen, and when it was the newest for certain.
///
/// A key that was taken away must stop working everywhere in a fixed time, so that an entry that
/// cannot ask the store has to stop by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    version: Option<u64>,
    at: Millis,
}

impl Freshness {
    /// Takes in an answer to a call that was sent at `sent`.
    ///
    /// The age counts from the sending: the answer says nothing about later changes.
    pub fn confirm(&mut self, version: u64, sent: Millis) -> Confirmation {
        if self.version.is_some_and(|known| version < known) {
            return Confirmation::Older;
        }
        let confirmed =
            if self.version == Some(version) { Confirmation::Same } else { Confirmation::Newer };
        self.version = Some(version);
        self.at = self.at.max(sent);
        confirmed
    }

    /// Returns the version in force here.
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Returns the age of the last confirmation; none before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.version.map(|_| now.saturating_sub(self.at))
    }

    /// Tells whether the version was the newest within the last `limit` milliseconds.
    pub fn is_fresh(&self, now: Millis, limit: Millis) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
