//! Index of the prompt parts that servers are expected to have cached.

use kernel::Name;
use std::collections::{HashMap, VecDeque};

/// Maximum number of prompt parts in the index.
const MAX_PARTS: usize = 4_096;
/// Maximum number of servers recorded for each part.
const MAX_SERVERS_PER_PART: usize = 4;

/// Index from prompt parts to the servers that this entry recently sent them to.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCacheIndex {
    /// Servers of each part, the most recent first.
    servers: HashMap<u64, VecDeque<Name>>,
    /// Parts in the order of their insertion.
    order: VecDeque<u64>,
}

impl PromptCacheIndex {
    /// Records that a part was sent to a server; evicts the part that was inserted first when the
    /// index is full.
    pub(crate) fn record(&mut self, part: u64, server: &Name) {
        let servers = self.servers.entry(part).or_insert_with(|| {
            self.order.push_back(part);
            VecDeque::new()
        });
        if servers.front() == Some(server) {
            return;
        }
        servers.retain(|other| other != server);
        servers.push_front(server.clone());
        servers.truncate(MAX_SERVERS_PER_PART);
        while self.order.len() > MAX_PARTS {
            let Some(oldest) = self.order.pop_front() else { return };
            self.servers.remove(&oldest);
        }
    }

    /// Removes a server that no longer has anything cached.
    pub(crate) fn remove_server(&mut self, server: &Name) {
        for servers in self.servers.values_mut() {
            servers.retain(|other| other != server);
        }
    }

    /// Whether the part was recently sent to the server.
    pub(crate) fn contains(&self, part: u64, server: &Name) -> bool {
        self.servers.get(&part).is_some_and(|servers| servers.contains(server))
    }
}
