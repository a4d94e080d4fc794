//! The prefix cache: blocks of prompts, least recently used out first.

use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Bytes of a prompt in one block.
pub(super) const BLOCK_BYTES: usize = 64;

/// Which blocks of prompts are held.
#[derive(Debug, Default)]
pub(super) struct PrefixCache {
    blocks: HashMap<u64, u64>,
    uses: u64,
}

impl PrefixCache {
    /// Takes a prompt in and returns how many of its bytes were held already.
    pub(super) fn use_prompt(&mut self, prompt: &[u8], capacity: usize) -> usize {
        let mut seed = 0;
        let mut cached = 0;
        let mut whole = true;
        for block in prompt.chunks(BLOCK_BYTES) {
            seed = xxh3_64_with_seed(block, seed);
            self.uses += 1;
            let known = self.blocks.insert(seed, self.uses).is_some();
            whole &= known;
            cached += if whole { block.len() } else { 0 };
        }
        while self.blocks.len() > capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used).map(|(block, _)| *block);
            let Some(oldest) = oldest else { break };
            self.blocks.remove(&oldest);
        }
        cached
    }
}
