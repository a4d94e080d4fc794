//! Share of an entry in the retry budget.

use kernel::{Millis, Name};
use std::collections::{BTreeMap, VecDeque};

/// Settings of the retry budget of all entries together, for each service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
    /// Number of retries allowed in a window, as a fraction of its requests.
    pub ratio: f64,
    /// Number of additional retries that all entries together may send in a window.
    pub slack: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { window_ms: 10_000, ratio: 0.1, slack: 0.0 }
    }
}

/// Fraction of the budget that is used; the rest covers granted retries in transit and requests
/// that callers and entries count in different windows.
const USED_FRACTION: f64 = 0.93;

/// Fraction of the budget of one window that may be saved up. The other part accrues while the
/// window passes, so that both together stay within the budget of one window.
const SAVED_FRACTION: f64 = 0.4;

/// Retries of a service that an entry may send.
#[derive(Clone, Debug)]
struct Bucket {
    /// Arrival times of the requests within the last window.
    requests: VecDeque<Millis>,
    /// Number of retries that may be sent now.
    retries: f64,
    accrued_at: Millis,
    /// Arrival times of unused retries granted by other entries.
    granted: VecDeque<Millis>,
}

/// Time in milliseconds after which a granted retry expires, so that few are in transit.
const GRANT_LIFETIME_MS: Millis = 500;

/// State of the retry budget of an entry for one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryStatus {
    /// Number of requests within the last window.
    pub requests: usize,
    /// Number of retries that may be sent now.
    pub available: f64,
    /// Number of entries that share the slack; 0 if this entry has no share.
    pub entries: usize,
}

/// Retry budget of an entry, by service.
///
/// Retries accrue with the requests of the entry itself and with its part of the slack, in buckets
/// that start empty. What earlier processes of the entry have sent therefore need not be known, and
/// requests allow retries in the window in which they arrive or in the next one, not in both.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Number of entries that share the slack; `None` while this entry has no share.
    entries: Option<usize>,
    /// Time from which this entry has had a share without interruption.
    accrues_from: Millis,
    services: BTreeMap<Name, Bucket>,
}

impl RetryBudget {
    /// Creates the budget of an entry that has no share of the slack yet.
    pub fn new(settings: RetrySettings) -> Self {
        let services = BTreeMap::new();
        Self { settings, entries: None, accrues_from: 0, services }
    }

    /// Sets the number of entries that share [`RetrySettings::slack`] from `now` on; `None` if this entry has no
    /// share, as the others may not count it.
    pub fn set_entries(&mut self, entries: Option<usize>, now: Millis) {
        // What accrued so far did so at the former share.
        let services: Vec<Name> = self.services.keys().cloned().collect();
        for service in &services {
            self.bucket(service, now);
        }
        if self.entries.is_none() {
            self.accrues_from = now;
        }
        self.entries = entries.map(|entries| entries.max(1));
    }

    /// Counts a request of a caller to a service.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        let accrued = (1.0 - SAVED_FRACTION) * USED_FRACTION * self.settings.ratio;
        let bucket = self.bucket(service, now);
        bucket.requests.push_back(now);
        bucket.retries += accrued;
    }

    /// Takes a retry from the budget; returns whether one was left.
    pub fn take(&mut self, service: &Name, now: Millis) -> bool {
        let bucket = self.bucket(service, now);
        let is_available = bucket.retries >= 1.0;
        if is_available {
            bucket.retries -= 1.0;
        }
        is_available
    }

    /// Takes up to `wanted` retries from the budget to grant them to another entry, and returns
    /// their number.
    pub fn grant(&mut self, service: &Name, wanted: u32, now: Millis) -> u32 {
        (0..wanted).take_while(|_| self.take(service, now)).count() as u32
    }

    /// Adds retries granted by another entry; unused ones expire after `GRANT_LIFETIME_MS`.
    pub fn receive(&mut self, service: &Name, count: u32, now: Millis) {
        let bucket = self.bucket(service, now);
        bucket.granted.extend((0..count).map(|_| now));
    }

    /// Uses a retry granted by another entry; returns whether one was available.
    pub fn take_granted(&mut self, service: &Name, now: Millis) -> bool {
        let bucket = self.bucket(service, now);
        bucket.granted.retain(|at| now.saturating_sub(*at) < GRANT_LIFETIME_MS);
        bucket.granted.pop_front().is_some()
    }

    /// Returns the state of the budget for a service.
    pub fn status(&mut self, service: &Name, now: Millis) -> RetryStatus {
        let entries = self.entries.unwrap_or(0);
        let bucket = self.bucket(service, now);
        RetryStatus { requests: bucket.requests.len(), available: bucket.retries, entries }
    }

    /// Returns the bucket of a service as of `now`.
    fn bucket(&mut self, service: &Name, now: Millis) -> &mut Bucket {
        let RetrySettings { window_ms, ratio, slack } = self.settings;
        let share = self.entries.map(|entries| slack / entries as f64);
        let slack = share.unwrap_or(0.0);
        let accrued_at = if share.is_some() { self.accrues_from } else { now };
        let new = || Bucket {
            requests: VecDeque::new(),
            retries: 0.0,
            accrued_at,
            granted: VecDeque::new(),
        };
        let bucket = self.services.entry(service.clone()).or_insert_with(new);
        let window_start = now.saturating_sub(window_ms);
        while bucket.requests.front().is_some_and(|at| *at < window_start) {
            bucket.requests.pop_front();
        }
        let elapsed = now.saturating_sub(bucket.accrued_at);
        let windows = elapsed as f64 / window_ms.max(1) as f64;
        let accrued = (1.0 - SAVED_FRACTION) * USED_FRACTION * slack * windows;
        let budget = USED_FRACTION * (ratio * bucket.requests.len() as f64 + slack);
        bucket.retries = (bucket.retries + accrued).min(SAVED_FRACTION * budget);
        bucket.accrued_at = now.max(bucket.accrued_at);
        bucket
    }
}
