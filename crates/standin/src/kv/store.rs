//! The stored keys, leases and revisions.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// A stored key.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) value: Vec<u8>,
    pub(super) created: i64,
    pub(super) modified: i64,
    pub(super) lease: i64,
}

/// Everything that the service holds.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) items: BTreeMap<Vec<u8>, Item>,
    pub(super) revision: i64,
    leases: HashMap<i64, (Duration, Instant)>,
    next_lease: i64,
}

impl Store {
    /// Writes a key.
    pub(super) fn put(&mut self, key: Vec<u8>, value: Vec<u8>, lease: i64) {
        self.revision += 1;
        let created = self.items.get(&key).map_or(self.revision, |item| item.created);
        self.items.insert(key, Item { value, created, modified: self.revision, lease });
    }

    /// Removes a key.
    pub(super) fn delete(&mut self, key: &[u8]) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
        }
    }

    /// Lists the keys from `start` up to `end`; just `start` when `end` is empty.
    pub(super) fn range(&self, start: &[u8], end: &[u8]) -> Vec<(Vec<u8>, Item)> {
        if end.is_empty() {
            return self
                .items
                .get_key_value(start)
                .map(|(k, v)| (k.clone(), v.clone()))
                .into_iter()
                .collect();
        }
        let range = self.items.range(start.to_vec()..end.to_vec());
        range.map(|(key, item)| (key.clone(), item.clone())).collect()
    }

    /// Creates a lease.
    pub(super) fn grant(&mut self, seconds: u64) -> i64 {
        self.next_lease += 1;
        let time = Duration::from_secs(seconds);
        self.leases.insert(self.next_lease, (time, Instant::now() + time));
        self.next_lease
    }

    /// Renews a lease and returns its seconds, 0 when it has lapsed.
    pub(super) fn renew(&mut self, lease: i64) -> u64 {
        self.expire();
        let Some((time, until)) = self.leases.get_mut(&lease) else { return 0 };
        *until = Instant::now() + *time;
        time.as_secs()
    }

    /// Removes lapsed leases and their keys.
    pub(super) fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, until)| *until > now);
        let lapsed = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let gone: Vec<Vec<u8>> = self
            .items
            .iter()
            .filter(|(_, item)| lapsed(item))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.delete(&key);
        }
    }
}
