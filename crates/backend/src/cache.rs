//! What fennelfold needs of the prefix caches of model engines.

use async_trait::async_trait;
use bytes::Bytes;
use kernel::Failure;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A block came into the cache of an engine or left it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a lost event.
    pub number: u64,
    /// Number of the block; it stands for the prompt up to its end.
    pub block: u64,
    /// Whether it came in.
    pub stored: bool,
}

/// The blocks that an engine holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheSnapshot {
    /// Number of the last event before it.
    pub number: u64,
    /// The blocks.
    pub blocks: Vec<u64>,
}

/// Tells whether events follow the last known one without a gap; after a gap a snapshot is needed.
///
/// # Examples
/// ```
/// let event = |number| backend::CacheEvent { number, block: 7, stored: true };
/// assert!(backend::is_gapless(4, &[event(5), event(6)]));
/// assert!(!backend::is_gapless(4, &[event(6)]));
/// ```
pub fn is_gapless(after: u64, events: &[CacheEvent]) -> bool {
    (after + 1..).zip(events).all(|(number, event)| number == event.number)
}

/// The prefix caches of model engines.
///
/// Every method fails with [`kernel::Code::NotDispatched`] or [`kernel::Code::BackendBroke`] when
/// the engine does not answer.
#[async_trait]
pub trait Caches: Send + Sync {
    /// Reads the events after a number; they come late, and some are lost.
    async fn events(&self, engine: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Failure>;

    /// Reads all blocks.
    async fn snapshot(&self, engine: SocketAddr) -> Result<CacheSnapshot, Failure>;

    /// Exports the KV cache of those of the blocks that the engine holds.
    async fn export(&self, engine: SocketAddr, blocks: &[u64]) -> Result<Bytes, Failure>;

    /// Imports what another engine exported, and returns the number of blocks that were new.
    async fn import(&self, engine: SocketAddr, exported: Bytes) -> Result<usize, Failure>;
}
