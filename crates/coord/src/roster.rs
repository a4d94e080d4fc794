//! Which entries there are, as the store lists them.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// An entry as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Its name.
    pub name: Name,
    /// Number of its run; rises with each start.
    pub incarnation: u64,
    /// Address for callers.
    pub front: Name,
    /// Address for messages from other entries.
    pub peer: Name,
    /// Data centre.
    pub data_centre: Name,
}

/// The entries, present and lately gone.
///
/// Shares of limits are divided by the number of entries that may still use theirs. An entry that
/// is gone from the store counts until it must have noticed by itself.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    present: BTreeMap<Name, Entry>,
    gone: BTreeMap<Name, Millis>,
    hold_ms: Millis,
}

impl Roster {
    /// Creates a roster that counts an entry for `hold_ms` after it has gone.
    pub fn new(hold_ms: Millis) -> Self {
        Self { hold_ms, ..Self::default() }
    }

    /// Takes in the whole list.
    pub fn replace(&mut self, entries: Vec<Entry>, now: Millis) {
        let listed: BTreeMap<Name, Entry> =
            entries.into_iter().map(|entry| (entry.name.clone(), entry)).collect();
        let missing: Vec<Name> =
            self.present.keys().filter(|name| !listed.contains_key(*name)).cloned().collect();
        for name in missing {
            self.remove(&name, now);
        }
        for entry in listed.into_values() {
            self.add(entry);
        }
    }

    /// Takes in an entry that registered or changed.
    pub fn add(&mut self, entry: Entry) {
        self.gone.remove(&entry.name);
        self.present.insert(entry.name.clone(), entry);
    }

    /// Takes in that an entry is no longer listed.
    pub fn remove(&mut self, name: &str, now: Millis) {
        if let Some((name, _)) = self.present.remove_entry(name) {
            self.gone.insert(name, now);
        }
    }

    /// Lists the present entries.
    pub fn present(&self) -> impl Iterator<Item = &Entry> {
        self.present.values()
    }

    /// Finds a present entry.
    pub fn get(&self, name: &str) -> Option<&Entry> {
        self.present.get(name)
    }

    /// Counts the entries that may use a share, at least one.
    pub fn share_count(&mut self, now: Millis) -> usize {
        let hold = self.hold_ms;
        self.gone.retain(|_, at| now.saturating_sub(*at) < hold);
        (self.present.len() + self.gone.len()).max(1)
    }
}
