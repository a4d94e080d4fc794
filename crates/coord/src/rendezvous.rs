//! Rendezvous hashing: entries that know the same entries agree on an order of them for a key.

use kernel::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

fn weight(entry: &Name, key_hash: u64) -> u64 {
    xxh3_64_with_seed(entry.as_bytes(), key_hash)
}

/// Returns the number of entries that come before `own_name` for a key with this hash; `None` if it is
/// not among them.
pub(crate) fn rank(own_name: &Name, entries: &[Name], key_hash: u64) -> Option<usize> {
    if !entries.contains(own_name) {
        return None;
    }
    let own_weight = weight(own_name, key_hash);
    Some(entries.iter().filter(|entry| weight(entry, key_hash) > own_weight).count())
}

/// Returns the first `count` entries for a key with this hash; `None` if there are no more entries than
/// `most_without`, which need nobody to act for them.
pub(crate) fn deputies(
    entries: &[Name],
    most_without: usize,
    count: usize,
    key_hash: u64,
) -> Option<Vec<Name>> {
    let is_large = entries.len() > most_without;
    is_large.then(|| ranked(entries, key_hash).into_iter().take(count).cloned().collect())
}

/// Returns all entries in their order for a key with this hash.
pub(crate) fn ranked(entries: &[Name], key_hash: u64) -> Vec<&Name> {
    let mut ranked: Vec<&Name> = entries.iter().collect();
    ranked.sort_by_cached_key(|entry| std::cmp::Reverse(weight(entry, key_hash)));
    ranked
}
