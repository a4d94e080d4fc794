//! Account of the memory that clients make a process hold.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Memory that is in use, in bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Account(Arc<AtomicUsize>);

impl Account {
    pub(crate) fn used(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    pub(crate) fn charge(&self, bytes: usize) -> ClientCharge {
        self.0.fetch_add(bytes, Ordering::Relaxed);
        ClientCharge { account: self.clone(), bytes }
    }
}

/// Memory that is charged for as long as this exists.
#[derive(Debug)]
pub struct ClientCharge {
    account: Account,
    bytes: usize,
}

impl ClientCharge {
    /// Returns the charged memory, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds another charge to this one.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Takes a part of this charge.
    pub(crate) fn split(&mut self, bytes: usize) -> Self {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Self { account: self.account.clone(), bytes }
    }
}

impl Drop for ClientCharge {
    fn drop(&mut self) {
        self.account.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
