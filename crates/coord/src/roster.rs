//! Entries registered in the store.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Registration of an entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of the entry.
    pub name: Name,
    /// Number of the run of the entry; increases with each start.
    pub incarnation: u64,
    /// Address for callers.
    pub front: Name,
    /// Address for messages from other entries.
    pub peer: Name,
    /// Data centre of the entry.
    pub data_centre: Name,
}

/// Entries that are registered, and those whose registration was removed recently.
///
/// Limits are divided by the number of entries that may still use their share. An entry that is no
/// longer registered is counted until it must have noticed this itself and stopped using its share.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    present: BTreeMap<Name, Entry>,
    /// Time of removal of entries that are no longer registered.
    removed_at: BTreeMap<Name, Millis>,
    retention_ms: Millis,
    changes: u64,
}

impl Roster {
    /// Creates an empty roster that counts an entry until `retention_ms` after its removal.
    pub fn new(retention_ms: Millis) -> Self {
        Self { retention_ms, ..Self::default() }
    }

    /// Replaces all entries by the given list; those that it lacks are removed.
    pub fn replace(&mut self, entries: Vec<Entry>, now: Millis) {
        let listed: BTreeMap<Name, Entry> =
            entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let unlisted: Vec<Name> =
            self.present.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
        for name in unlisted {
            self.remove(&name, now);
        }
        for entry in listed.into_values() {
            self.add(entry);
        }
    }

    /// Adds an entry, or updates its registration.
    pub fn add(&mut self, entry: Entry) {
        self.removed_at.remove(&entry.name);
        if self.present.get(&entry.name) != Some(&entry) {
            self.changes += 1;
            self.present.insert(entry.name.clone(), entry);
        }
    }

    /// Removes an entry that is no longer registered; its share is counted until the retention time
    /// is over.
    pub fn remove(&mut self, name: &str, now: Millis) {
        if let Some((name, _)) = self.present.remove_entry(name) {
            self.changes += 1;
            self.removed_at.insert(name, now);
        }
    }

    /// Returns how often the registered entries have changed. What is derived from them is valid as long as
    /// this number stays the same.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the registered entries.
    pub fn present(&self) -> impl Iterator<Item = &Entry> {
        self.present.values()
    }

    /// Returns a registered entry by name.
    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.present.get(name)
    }

    /// Returns the number of entries that may use a share of a limit, at least 1.
    pub fn share_count(&mut self, now: Millis) -> usize {
        let retention_ms = self.retention_ms;
        self.removed_at.retain(|_, at| now.saturating_sub(*at) < retention_ms);
        (self.present.len() + self.removed_at.len()).max(1)
    }
}
