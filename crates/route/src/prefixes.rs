//! Where the starts of prompts are thought to be cached.

use kernel::Name;
use std::collections::{HashMap, VecDeque};

/// Starts of prompts that are remembered.
const REMEMBERED: usize = 16_384;

/// The server that last read each start of a prompt.
///
/// Cache events come late and with gaps, so that this is a guess; a wrong one costs time, never
/// an answer.
#[derive(Clone, Debug, Default)]
pub(crate) struct Prefixes {
    held: HashMap<u64, Name>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Notes that a server reads a prompt with this start.
    pub(crate) fn put(&mut self, prefix: u64, server: &Name) {
        if self.held.insert(prefix, server.clone()).is_none() {
            self.order.push_back(prefix);
        }
        while self.order.len() > REMEMBERED {
            let Some(oldest) = self.order.pop_front() else { return };
            self.held.remove(&oldest);
        }
    }

    /// Tells whether a server is thought to hold the start.
    pub(crate) fn is_at(&self, prefix: u64, server: &Name) -> bool {
        self.held.get(&prefix) == Some(server)
    }

    /// Forgets a start, as a cache event says that it is no longer held.
    pub(crate) fn remove(&mut self, prefix: u64) {
        if self.held.remove(&prefix).is_some() {
            self.order.retain(|other| *other != prefix);
        }
    }
}
