//! The prefix cache: blocks of prompts, least recently used out first, and the events about them.

use backend::{CacheEvent, CacheSnapshot};
use std::collections::{HashMap, VecDeque};
use std::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt in one block.
pub const BLOCK_BYTES: usize = 64;
/// Events that are kept for readers.
const EVENTS: usize = 10_000;

/// Returns the numbers of the blocks of a prompt: each stands for the prompt up to its end.
pub fn blocks(prompt: &[u8]) -> Vec<u64> {
    let mut seed = 0;
    let number = |block: &[u8]| {
        seed = xxh3_64_with_seed(block, seed);
        seed
    };
    prompt.chunks(BLOCK_BYTES).map(number).collect()
}

/// Which blocks of prompts are held.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks: HashMap<u64, u64>,
    uses: u64,
    events: VecDeque<(Instant, CacheEvent)>,
    last_event: u64,
}

impl PrefixCache {
    /// Takes a prompt in and returns how many of its bytes were held already.
    pub(super) fn use_prompt(&mut self, prompt: &[u8], capacity: usize) -> usize {
        let mut cached = 0;
        let mut whole = true;
        for (block, bytes) in blocks(prompt).into_iter().zip(prompt.chunks(BLOCK_BYTES)) {
            whole &= !self.store(block);
            cached += if whole { bytes.len() } else { 0 };
        }
        self.evict(capacity);
        cached
    }

    /// Takes blocks in that another engine exported, and returns how many were new.
    pub(super) fn import(&mut self, blocks: &[u64], capacity: usize) -> usize {
        let new = blocks.iter().filter(|block| self.store(**block)).count();
        self.evict(capacity);
        new
    }

    /// Returns those of the blocks that are held.
    pub(super) fn held(&self, blocks: &[u64]) -> Vec<u64> {
        blocks.iter().copied().filter(|block| self.blocks.contains_key(block)).collect()
    }

    /// Returns every block and the number of the last event about them.
    pub(super) fn snapshot(&self) -> CacheSnapshot {
        let blocks = self.blocks.keys().copied().collect();
        CacheSnapshot { number: self.last_event, blocks }
    }

    /// Returns the events after a number that happened before `until`.
    pub(super) fn events(&self, after: u64, until: Instant) -> Vec<CacheEvent> {
        let events = self.events.iter().filter(|(at, event)| event.number > after && *at <= until);
        events.map(|(_, event)| *event).collect()
    }

    /// Loses the newest events, so that their numbers are missing.
    pub(super) fn lose_events(&mut self, count: usize) {
        let keep = self.events.len().saturating_sub(count);
        self.events.truncate(keep);
    }

    fn store(&mut self, block: u64) -> bool {
        self.uses += 1;
        let new = self.blocks.insert(block, self.uses).is_none();
        if new {
            self.publish(block, true);
        }
        new
    }

    fn evict(&mut self, capacity: usize) {
        while self.blocks.len() > capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
            let Some(oldest) = oldest else { break };
            self.blocks.remove(&oldest);
            self.publish(oldest, false);
        }
    }

    fn publish(&mut self, block: u64, stored: bool) {
        self.last_event += 1;
        let event = CacheEvent { number: self.last_event, block, stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > EVENTS {
            self.events.pop_front();
        }
    }
}
