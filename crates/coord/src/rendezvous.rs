//! Rendezvous hashing: entries that know the same entries agree on an order of them for a key.

use kernel::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the number of entries that come before `own_name` for a key with this hash; `None` if it is
/// not among them.
pub(crate) fn rank(own_name: &Name, entries: &[Name], key_hash: u64) -> Option<usize> {
    if !entries.contains(own_name) {
        return None;
    }
    let weight = |entry: &Name| xxh3_64_with_seed(entry.as_bytes(), key_hash);
    let own_weight = weight(own_name);
    Some(entries.iter().filter(|entry| weight(entry) > own_weight).count())
}
