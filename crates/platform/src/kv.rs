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
