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

/// Software versions of the servers that began streams.
#[derive(Clone, Debug)]
pub struct StreamOrigins {
    own_name: Name,
    entries: Vec<Name>,
    versions: HashMap<Name, Name>,
    /// Streams in the order in which they were recorded.
    recorded: VecDeque<(Millis, Name)>,
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

    /// Records the version that began the stream of a request. The first record counts.
    pub fn record(&mut self, request: &Name, software_version: &Name, now: Millis) {
        let is_expired = |(at, _): &(Millis, Name)| now.saturating_sub(*at) >= RETENTION_MS;
        while self.recorded.front().is_some_and(is_expired) {
            if let Some((_, expired)) = self.recorded.pop_front() {
                self.versions.remove(&expired);
            }
        }
        if !self.versions.contains_key(request) {
            self.versions.insert(request.clone(), software_version.clone());
            self.recorded.push_back((now, request.clone()));
        }
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
