//! Backend servers that fall over when they have to refuse many requests in a second for want of room.
//!
//! What makes a server refuse is how much is sent to it to wait, by all entries together. So no more is sent
//! than it can run at the same time, as far as this entry knows the others, and nothing for a while after
//! it refused a request of any entry.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// How much is sent to a brittle server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleSettings {
    /// Fraction of its slots that the requests of all entries may take; the rest covers what other entries
    /// sent since their last news.
    pub used_slots: f64,
    /// Fraction of the stated refusals that all entries together may cause.
    pub used_refusals: f64,
    /// Shortest and longest time without requests after a refusal, in milliseconds.
    pub rest_ms: (Millis, Millis),
}

impl Default for BrittleSettings {
    fn default() -> Self {
        Self { used_slots: 0.85, used_refusals: 0.5, rest_ms: (200, 4_000) }
    }
}

/// Last news of a server that is, or was, brittle.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BrittleNews {
    /// Number of refusals in a second beyond which the server falls over; `None` once it is no longer
    /// brittle.
    pub refusals_per_s: Option<f64>,
    /// Time of the response that states it, or at which the request was sent whose response states nothing,
    /// in milliseconds.
    pub at: Millis,
    /// Time at which the server last refused a request of any entry for want of room, in milliseconds.
    pub refused_at: Option<Millis>,
}

/// Requests that are open at a server, and the number that it runs at the same time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerRoom {
    /// Requests of this entry.
    pub own: u32,
    /// Requests of all entries, as far as they are known.
    pub open: u32,
    /// Number of requests that the server runs at the same time.
    pub slots: u32,
}

/// Brittle servers, as told by their responses and by the other entries.
#[derive(Clone, Debug, Default)]
pub struct BrittleServers {
    settings: BrittleSettings,
    entries: usize,
    servers: BTreeMap<Name, BrittleNews>,
}

impl BrittleServers {
    /// Creates the list of an entry that knows of no brittle server.
    pub fn new(settings: BrittleSettings) -> Self {
        Self { settings, entries: 1, servers: BTreeMap::new() }
    }

    /// Sets the number of entries that send requests to the same servers.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Takes in news of a server; returns whether it is brittle now and was not before, or the reverse.
    pub fn record(&mut self, server: &Name, news: BrittleNews) -> bool {
        let Some(known) = self.servers.get_mut(server) else {
            if news.refusals_per_s.is_some() {
                self.servers.insert(server.clone(), news);
            }
            return news.refusals_per_s.is_some();
        };
        known.refused_at = known.refused_at.max(news.refused_at);
        if news.at <= known.at {
            return false;
        }
        let is_changed = known.refusals_per_s.is_some() != news.refusals_per_s.is_some();
        (known.refusals_per_s, known.at) = (news.refusals_per_s, news.at);
        is_changed
    }

    /// Records that a server refused a request for want of room.
    pub fn record_refusal(&mut self, server: &str, now: Millis) {
        if let Some(known) = self.servers.get_mut(server) {
            known.refused_at = Some(now);
        }
    }

    /// Forgets a server that is gone.
    pub fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Whether a server is brittle and has no room for a further request.
    pub fn is_full(&self, server: &str, room: ServerRoom, now: Millis) -> bool {
        let Some(known) = self.servers.get(server) else { return false };
        let Some(refusals_per_s) = known.refusals_per_s else { return false };
        let used = (self.settings.used_slots * f64::from(room.slots)).max(1.0);
        // An equal part: the entries do not know of each other's newest requests.
        let part = (used / self.entries as f64).floor().max(1.0);
        let rests = known
            .refused_at
            .is_some_and(|at| now.saturating_sub(at) < self.rest_ms(refusals_per_s));
        rests || f64::from(room.open) >= used.floor() || f64::from(room.own) >= part
    }

    /// Returns the time without requests after a refusal. Each entry may have sent one more meanwhile.
    fn rest_ms(&self, refusals_per_s: f64) -> Millis {
        let (min_ms, max_ms) = self.settings.rest_ms;
        let refusals_per_ms = self.settings.used_refusals * refusals_per_s / 1_000.0;
        let rest_ms = self.entries as f64 / refusals_per_ms.max(f64::MIN_POSITIVE);
        rest_ms.clamp(min_ms as f64, max_ms as f64) as Millis
    }

    /// Returns the last news of all servers that stated that they are brittle.
    pub fn news(&self) -> impl Iterator<Item = (&Name, &BrittleNews)> {
        self.servers.iter()
    }
}
