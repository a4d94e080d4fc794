//! Limits on the rate of requests that backend servers state, shared by all entries.
//!
//! Only a few entries, the holders, send to a server with a limit, since a limit may be too low for
//! each entry to send even one request in a window. All entries that know the same entries agree on
//! the holders.

use crate::rendezvous;
use kernel::{Millis, Name};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How a limit is kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLimitSettings {
    /// Length of the window in which a limit must hold, in milliseconds.
    pub window_ms: Millis,
    /// Fraction by which the requests in a window may exceed the limit.
    pub overshoot: f64,
    /// Number of requests in a window that are allowed in addition to `overshoot`.
    pub slack: f64,
    /// Fraction of the allowed requests that is used; the rest covers entries that do not know of
    /// the same limit or of the same entries yet.
    pub used_fraction: f64,
    /// Maximum rate, as a multiple of the limit. It bounds the use of `slack` at low limits.
    pub max_factor: f64,
    /// Fraction of the requests of a window that may be saved up. The other part accrues while the
    /// window passes, so that both together stay within what the window allows.
    pub saved_fraction: f64,
    /// Number of requests per second that are sent to a server with a lower limit. Only responses
    /// tell that a limit is lifted, so requests are never stopped altogether.
    pub probe_per_s: f64,
}

impl Default for ServerLimitSettings {
    fn default() -> Self {
        Self {
            window_ms: 4_000,
            overshoot: 0.5,
            slack: 5.0,
            used_fraction: 0.85,
            max_factor: 2.0,
            saved_fraction: 0.1,
            probe_per_s: 0.25,
        }
    }
}

impl ServerLimitSettings {
    fn window_s(&self) -> f64 {
        self.window_ms as f64 / 1000.0
    }

    /// Returns the number of requests that all holders together send in a window.
    fn budget(&self, per_s: f64) -> f64 {
        let limit = per_s * self.window_s();
        let allowed = limit * (1.0 + self.overshoot) + self.slack;
        (self.used_fraction * allowed)
            .min(self.max_factor * limit)
            .max(self.probe_per_s * self.window_s())
    }

    /// Returns the number of requests that all holders together may save up, at least one.
    fn capacity(&self, per_s: f64) -> f64 {
        (self.saved_fraction * self.budget(per_s)).max(1.0)
    }

    /// Returns the number of requests per second that accrue at all holders together.
    fn rate(&self, per_s: f64) -> f64 {
        (1.0 - self.saved_fraction) * self.budget(per_s) / self.window_s()
    }

    /// Returns the number of holders among `entries` entries. Each can save up at least one request.
    fn holder_count(&self, per_s: f64, entries: usize) -> usize {
        (self.capacity(per_s) as usize).clamp(1, entries.max(1))
    }
}

/// Last news of the limit of a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerLimitNews {
    /// Limit in requests per second; `None` once the server states none any more.
    pub per_s: Option<f64>,
    /// Time from which the news is, in milliseconds: that of the response that states the limit, or
    /// that at which the request was sent whose response states none. An earlier response cannot
    /// take back what a later one states.
    pub at: Millis,
}

/// Limit of a server, and the requests that this entry may send to it.
#[derive(Clone, Copy, Debug)]
struct Limited {
    news: ServerLimitNews,
    /// Part of this entry; `None` while it is not registered.
    part: Option<Part>,
    /// Number of requests that may be sent now. It starts at 0, so that nothing need be known of
    /// requests that were sent before the limit was stated, or by an earlier process.
    requests: f64,
    refilled_at: Millis,
    /// Time of the last request that was sent to find out whether the limit was lifted.
    probed_at: Option<Millis>,
}

/// Part of an entry in a limit.
#[derive(Clone, Copy, Debug)]
struct Part {
    /// Number of holders.
    holders: usize,
    /// Number of entries that come before this one; the first ones are the holders.
    rank: usize,
    /// Number of all entries.
    entries: usize,
}

impl Limited {
    /// Adds the requests that the limit has allowed this entry since the last call.
    fn refill(&mut self, settings: &ServerLimitSettings, now: Millis) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.refilled_at = now.max(self.refilled_at);
        self.requests = match (self.news.per_s, self.part) {
            (Some(per_s), Some(part)) if part.rank < part.holders => {
                let holders = part.holders as f64;
                let refilled = self.requests + elapsed_s * settings.rate(per_s) / holders;
                refilled.min(settings.capacity(per_s) / holders)
            }
            _ => 0.0,
        };
    }

    fn is_exhausted(&self, settings: &ServerLimitSettings, now: Millis) -> bool {
        self.news.per_s.is_some() && self.requests < 1.0 && !self.may_probe(settings, now)
    }

    /// Whether this entry sends a request although it is not a holder: there has been no news for so
    /// long that the holders may have no requests. The other entries take turns, one in a window.
    fn may_probe(&self, settings: &ServerLimitSettings, now: Millis) -> bool {
        let Some(Part { holders, rank, entries }) =
            self.part.filter(|part| part.rank >= part.holders)
        else {
            return false;
        };
        let windows = |count: usize| settings.window_ms * count as Millis;
        let is_silent = now.saturating_sub(self.news.at) > windows(2 + rank - holders);
        let is_turn = self.probed_at.is_none_or(|at| now.saturating_sub(at) > windows(entries));
        is_silent && is_turn
    }
}

/// Limits that servers state, and this entry's part of them.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    settings: ServerLimitSettings,
    own_name: Name,
    entries: Vec<Name>,
    servers: BTreeMap<Name, Limited>,
}

impl ServerLimits {
    /// Creates the limits of the entry `own_name`, which knows of no limit and of no entry.
    pub fn new(settings: ServerLimitSettings, own_name: Name) -> Self {
        Self { settings, own_name, entries: Vec::new(), servers: BTreeMap::new() }
    }

    /// Sets the entries that share the limits. This entry sends nothing to a server with a limit
    /// while it is not among them.
    pub fn set_entries(&mut self, entries: Vec<Name>, now: Millis) {
        if entries == self.entries {
            return;
        }
        self.entries = entries;
        for (server, limited) in &mut self.servers {
            limited.refill(&self.settings, now);
            limited.part =
                part(&self.settings, &self.own_name, &self.entries, server, limited.news.per_s);
            limited.refill(&self.settings, now);
        }
    }

    /// Takes in news of the limit of a server; returns whether the limit is another one now.
    pub fn record(&mut self, server: &Name, news: ServerLimitNews, now: Millis) -> bool {
        let part = part(&self.settings, &self.own_name, &self.entries, server, news.per_s);
        let Some(limited) = self.servers.get_mut(server) else {
            if news.per_s.is_some() {
                let limited =
                    Limited { news, part, requests: 0.0, refilled_at: now, probed_at: None };
                self.servers.insert(server.clone(), limited);
            }
            return news.per_s.is_some();
        };
        if news.at <= limited.news.at {
            return false;
        }
        limited.refill(&self.settings, now);
        let is_changed = limited.news.per_s != news.per_s;
        (limited.news, limited.part) = (news, part);
        limited.refill(&self.settings, now);
        is_changed
    }

    /// Forgets a server that is gone.
    pub fn remove(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Returns the servers to which this entry must not send a request now.
    pub fn exhausted(&mut self, now: Millis) -> Vec<Name> {
        let mut exhausted = Vec::new();
        for (server, limited) in &mut self.servers {
            limited.refill(&self.settings, now);
            if limited.is_exhausted(&self.settings, now) {
                exhausted.push(server.clone());
            }
        }
        exhausted
    }

    /// Counts a request that is sent to a server.
    pub fn record_sent(&mut self, server: &str, now: Millis) {
        if let Some(limited) = self.servers.get_mut(server) {
            limited.refill(&self.settings, now);
            if limited.may_probe(&self.settings, now) {
                limited.probed_at = Some(now);
            }
            limited.requests = (limited.requests - 1.0).max(0.0);
        }
    }

    /// Returns the last news of all servers that stated a limit.
    pub fn news(&self) -> impl Iterator<Item = (&Name, ServerLimitNews)> {
        self.servers.iter().map(|(server, limited)| (server, limited.news))
    }
}

/// Returns the part of the entry `own_name` in the limit of a server, by rendezvous hashing; `None` if
/// there is no limit or the entry is not among `entries`.
fn part(
    settings: &ServerLimitSettings,
    own_name: &Name,
    entries: &[Name],
    server: &Name,
    per_s: Option<f64>,
) -> Option<Part> {
    let holders = settings.holder_count(per_s?, entries.len());
    let rank = rendezvous::rank(own_name, entries, xxh3_64_with_seed(server.as_bytes(), 0))?;
    Some(Part { holders, rank, entries: entries.len() })
}
