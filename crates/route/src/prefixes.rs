//! Estimate of which backend server has cached which prompt prefix.

use kernel::Name;
use std::collections::{HashMap, VecDeque};

/// Maximum number of prompt prefixes that are remembered.
const MAX_PREFIXES: usize = 16_384;

/// The server that last read each prompt prefix.
///
/// This is an estimate: cache events arrive late and some are lost. A wrong guess delays an
/// answer but never makes it fail.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    servers: HashMap<u64, Name>,
    /// Prefixes in the order of their insertion; the oldest is evicted first.
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Records that a server reads a prompt with this prefix.
    pub(crate) fn insert(&mut self, prefix: u64, server: &Name) {
        if self.servers.insert(prefix, server.clone()).is_none() {
            self.order.push_back(prefix);
        }
        while self.order.len() > MAX_PREFIXES {
            let Some(oldest) = self.order.pop_front() else { return };
            self.servers.remove(&oldest);
        }
    }

    /// Whether this server is assumed to have cached the prefix.
    pub(crate) fn is_cached_at(&self, prefix: u64, server: &Name) -> bool {
        self.servers.get(&prefix) == Some(server)
    }

    /// Removes a prefix that a cache event reported as evicted.
    pub(crate) fn remove(&mut self, prefix: u64) {
        if self.servers.remove(&prefix).is_some() {
            self.order.retain(|other| *other != prefix);
        }
    }
}
