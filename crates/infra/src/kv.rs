//! What fennelfold needs of the key-value service.

use async_trait::async_trait;
use bytes::Bytes;
use kernel::Failure;

/// A stored value and the revision that last changed it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// The value.
    pub value: Bytes,
    /// Revision of the last change; a key that was never written has none.
    pub revision: i64,
}

/// The result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done(i64),
    /// Another value stood there; it is returned if it still exists.
    Other(Option<Stored>),
}

/// Number of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease(pub i64);

/// The key-value service.
///
/// Every method fails with [`kernel::Code::PlatformUnreachable`] when no answer came in time; a
/// write may have taken effect then.
#[async_trait]
pub trait Kv: Send + Sync {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Stored>, Failure>;

    /// Reads every key that starts with `prefix`.
    async fn range(&self, prefix: &str) -> Result<Vec<(String, Stored)>, Failure>;

    /// Writes a key if its revision is still `expected`; 0 means that it must not exist.
    async fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<Lease>,
    ) -> Result<Swap, Failure>;

    /// Creates a lease of this many seconds.
    async fn grant(&self, seconds: i64) -> Result<Lease, Failure>;

    /// Renews a lease; `false` when it has lapsed.
    async fn renew(&self, lease: Lease) -> Result<bool, Failure>;

    /// Waits until the key changes after `revision`, and returns the new value.
    async fn changed(&self, key: &str, revision: i64) -> Result<Stored, Failure>;
}

/// What a prefix holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Listing {
    /// Keys and values.
    pub items: Vec<(String, Stored)>,
    /// Revision of the service when the listing began; changes after it may be missing.
    pub revision: i64,
}

/// A change of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The key.
    pub key: String,
    /// What stands there now; none when the key was removed.
    pub stored: Option<Stored>,
    /// Revision of the change.
    pub revision: i64,
}

/// What a watch has heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Watched {
    /// Changes, maybe none, up to a revision to go on from.
    Changes(Vec<Change>, i64),
    /// The service no longer knows the changes since the revision asked for: list anew.
    Forgotten,
}

/// A value to write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// Lease that the key goes with.
    pub lease: Option<Lease>,
}

/// Changes that are made all or none.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Commit {
    /// Keys and the revisions that they must have; 0 for a key that must not exist.
    pub expected: Vec<(String, i64)>,
    /// Values to write.
    pub puts: Vec<Put>,
    /// Keys to remove.
    pub removes: Vec<String>,
}

/// What became of a commit.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Committed {
    /// It took effect at this revision.
    Done(i64),
    /// A key had another revision; nothing was done.
    Conflict,
    /// The lease has ended; nothing was done.
    NoLease,
}

/// A key-value service that also lists and watches prefixes and changes several keys at once.
///
/// Methods fail as those of [`Kv`] do; a commit without an answer may take effect later.
#[async_trait]
pub trait Store: Kv {
    /// Lists every key that starts with `prefix`; pages are not one snapshot.
    async fn list(&self, prefix: &str) -> Result<Listing, Failure>;

    /// Waits up to `wait_ms` for changes under `prefix` after a revision.
    async fn watch(&self, prefix: &str, after: i64, wait_ms: u64) -> Result<Watched, Failure>;

    /// Makes changes, all or none.
    async fn commit(&self, commit: &Commit) -> Result<Committed, Failure>;

    /// Returns how often the service has been restored from an older copy, as of the newest answer;
    /// `None` before an answer has told.
    ///
    /// A restore undoes changes that were answered with success, and ends leases.
    fn restores(&self) -> Option<u64>;
}
