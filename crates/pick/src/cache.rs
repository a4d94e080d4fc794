//! Which servers have read the parts of prompts.

use kernel::Name;
use std::collections::{HashMap, VecDeque};

/// Parts that are remembered.
const REMEMBERED: usize = 4_096;
/// Servers that are remembered for a part.
const HOLDERS: usize = 4;

/// The servers that this entry sent a part of a prompt to lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Cache {
    holders: HashMap<u64, VecDeque<Name>>,
    order: VecDeque<u64>,
}

impl Cache {
    pub(crate) fn note(&mut self, part: u64, server: &Name) {
        let holders = self.holders.entry(part).or_insert_with(|| {
            self.order.push_back(part);
            VecDeque::new()
        });
        if holders.front() == Some(server) {
            return;
        }
        holders.retain(|holder| holder != server);
        holders.push_front(server.clone());
        holders.truncate(HOLDERS);
        while self.order.len() > REMEMBERED {
            let Some(oldest) = self.order.pop_front() else { return };
            self.holders.remove(&oldest);
        }
    }

    pub(crate) fn holds(&self, part: u64, server: &Name) -> bool {
        self.holders.get(&part).is_some_and(|holders| holders.contains(server))
    }
}
