//! Which servers have read the parts of prompts.

use kernel::Name;
use std::collections::{HashMap, VecDeque};

/// Parts that are remembered.
const MAX_PARTS: usize = 4_096;
/// Servers that are remembered for a part.
const MAX_SERVERS_PER_PART: usize = 4;

/// The servers that this entry sent a part of a prompt to lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct PromptCacheIndex {
    servers: HashMap<u64, VecDeque<Name>>,
    order: VecDeque<u64>,
}

impl PromptCacheIndex {
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

    pub(crate) fn contains(&self, part: u64, server: &Name) -> bool {
        self.servers.get(&part).is_some_and(|servers| servers.contains(server))
    }
}
