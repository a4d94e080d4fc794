//! A model engine that streams answers which anyone can compute, so that they can be checked.

mod api;
mod batch;
mod cache;
mod generate;
mod orders;

pub use api::{Engine, Faults, Settings, Stats, run};
pub use cache::{BLOCK_BYTES, blocks};

use xxhash_rust::xxh3::xxh3_64;

/// Returns the text of one token of the answer to a prompt.
pub fn token(prompt: &str, index: u64) -> String {
    let word = xxh3_64(format!("{prompt}#{index}").as_bytes()) & 0xffff;
    format!("{word:04x} ")
}

/// Returns the whole answer to a prompt.
pub fn expected_answer(prompt: &str, tokens: u64) -> String {
    (0..tokens).map(|index| token(prompt, index)).collect()
}
