//! The entries that read the store for the others.

use crate::rendezvous;
use kernel::Name;

/// Largest number of entries with which every entry reads the store itself.
const MAX_ENTRIES_ALL_READ: usize = 12;
/// Number of readers in a larger deployment.
const READER_COUNT: usize = 8;
/// Key hash by which the readers are chosen.
const READERS_KEY_HASH: u64 = 0x7265_6164_6572;

/// Returns the entries that read the store for the others; `None` if every entry reads it itself.
///
/// An entry that comes or goes changes at most one of them, so that entries whose lists differ a little
/// still agree on most readers.
pub fn readers(entries: &[Name]) -> Option<Vec<Name>> {
    rendezvous::deputies(entries, MAX_ENTRIES_ALL_READ, READER_COUNT, READERS_KEY_HASH)
}
