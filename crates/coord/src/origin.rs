//! Software versions of the servers that began streams, so that callers can resume them at any entry.

use crate::rendezvous;
use kernel::{Millis, Name};
use std::collections::{HashMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of other entries that keep the version of a stream, besides the one that began it.
const HOLDERS: usize = 2;
/// Number of other entries that are asked for the version of a stream. It is larger than [`HOLDERS`]
/// because entries come and go after the holders were chosen.
const QUERIED: usize = 6;
/// Time for which a version is kept after the stream began, in milliseconds. A caller resumes its
/// stream before the timeout of its route.
const RETENTION_MS: Millis = 60_000;
/// Number of entries that write the versions of streams to the store. They are few at any number of entries,
/// as each write has a price.
const RECORDERS: usize = 2;
/// Key hash by which the recorders are chosen.
const RECORDERS_KEY_HASH: u64 = 0x6f72_6967_696e;

/// Software versions of the servers that began streams.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    own_name: Name,
    entries: Vec<Name>,
    versions: HashMap<Name, Name>,
    /// Streams in the order in which they were recorded.
    recorded: VecDeque<Recorded>,
}

/// A stream whose version was recorded.
#[derive(Clone, Debug)]
struct Recorded {
    at: Millis,
    request: Name,
    /// Whether the caller got the first event from this entry.
    began_here: bool,
}

impl StreamOrigins {
    /// Creates the origins of the entry `own_name`, which knows of no stream and of no entry.
    pub fn new(own_name: Name) -> Self {
        Self { own_name, entries: Vec::new(), versions: HashMap::new(), recorded: VecDeque::new() }
    }

    /// Sets the entries that keep versions.
    pub fn set_entries(&mut self, entries: Vec<Name>) {
        self.entries = entries;
    }

    /// Records the version that began the stream of a request, as another entry told it. The first record
    /// counts.
    pub fn record(&mut self, request: &Name, software_version: &Name, now: Millis) {
        self.add(request, software_version, false, now);
    }

    /// Records the version that began the stream of a request here.
    pub fn record_begun(&mut self, request: &Name, software_version: &Name, now: Millis) {
        self.add(request, software_version, true, now);
    }

    fn add(&mut self, request: &Name, software_version: &Name, began_here: bool, now: Millis) {
        let is_expired = |old: &Recorded| now.saturating_sub(old.at) >= RETENTION_MS;
        while self.recorded.front().is_some_and(is_expired) {
            if let Some(expired) = self.recorded.pop_front() {
                self.versions.remove(&expired.request);
            }
        }
        if !self.versions.contains_key(request) {
            self.versions.insert(request.clone(), software_version.clone());
            self.recorded.push_back(Recorded { at: now, request: request.clone(), began_here });
        }
    }

    /// Returns the streams that servers of a version began here in the last `within_ms` milliseconds.
    pub fn begun_here(&self, software_version: &Name, within_ms: Millis, now: Millis) -> Vec<Name> {
        let is_meant = |stream: &&Recorded| {
            stream.began_here
                && now.saturating_sub(stream.at) < within_ms
                && self.get(&stream.request) == Some(software_version)
        };
        self.recorded.iter().filter(is_meant).map(|stream| stream.request.clone()).collect()
    }

    /// Returns the entry that writes the version of a stream to the store; `None` if no entry is known.
    pub fn recorder(&self, request: &str) -> Option<&Name> {
        let recorders: Vec<&Name> = self.recorders().collect();
        let hash = xxh3_64_with_seed(request.as_bytes(), RECORDERS_KEY_HASH) as usize;
        recorders.get(hash % recorders.len().max(1)).copied()
    }

    /// Whether this entry is the one that writes to the store which versions serve.
    pub fn keeps_history(&self) -> bool {
        self.recorders().next() == Some(&self.own_name)
    }

    /// Returns the number of entries that come before this one when a history is written for the first time;
    /// `None` before the others can know this entry.
    pub fn history_rank(&self) -> Option<usize> {
        rendezvous::rank(&self.own_name, &self.entries, RECORDERS_KEY_HASH)
    }

    fn recorders(&self) -> impl Iterator<Item = &Name> {
        rendezvous::ranked(&self.entries, RECORDERS_KEY_HASH).into_iter().take(RECORDERS)
    }

    /// Returns the version that began the stream of a request, if it is known here.
    pub fn get(&self, request: &str) -> Option<&Name> {
        self.versions.get(request)
    }

    /// Returns the other entries that keep the version of a stream.
    pub fn holders(&self, request: &str) -> Vec<Name> {
        self.ranked(request, HOLDERS)
    }

    /// Returns the other entries to ask for the version of a stream.
    pub fn queried(&self, request: &str) -> Vec<Name> {
        self.ranked(request, QUERIED)
    }

    fn ranked(&self, request: &str, count: usize) -> Vec<Name> {
        let ranked = rendezvous::ranked(&self.entries, xxh3_64_with_seed(request.as_bytes(), 0));
        ranked.into_iter().filter(|name| **name != self.own_name).take(count).cloned().collect()
    }
}
