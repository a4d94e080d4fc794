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

/// Fraction of the budget that may be used; the rest covers windows that begin between two
/// requests.
const USABLE_FRACTION: f64 = 0.93;

/// Requests and retries of a service within the last window.
#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// Arrival times of unused retries granted by other entries.
    granted: VecDeque<Millis>,
}

/// Time in milliseconds after which a granted retry expires. It has to be used soon, because it
/// counts in the window of the entry that granted it, from the time of the grant.
const GRANT_LIFETIME_MS: Millis = 500;

/// Use of the retry budget of an entry for one service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RetryUsage {
    /// Number of requests within the last window.
    pub requests: usize,
    /// Number of retries within the last window, including those granted to other entries.
    pub retries: usize,
    /// Number of entries that share the slack.
    pub entries: usize,
}

/// Retry budget of an entry: the recent requests and retries of each service.
///
/// A new process knows nothing of the retries that an earlier process of its entry sent, or an entry
/// that it replaces, and they count until a window has passed.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    entries: usize,
    slack_from: Millis,
    services: BTreeMap<Name, Window>,
}

impl RetryBudget {
    /// Creates the budget of an entry without any requests and without a share of the slack.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, entries: 1, slack_from: Millis::MAX, services: BTreeMap::new() }
    }

    /// Gives this entry a share of [`RetrySettings::slack`] from the time `slack_from` on.
    pub fn share_slack_from(&mut self, slack_from: Millis) {
        self.slack_from = slack_from;
    }

    /// Sets the number of entries that share [`RetrySettings::slack`].
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Counts a request of a caller to a service.
    pub fn record_request(&mut self, service: &Name, now: Millis) {
        self.window(service, now).requests.push_back(now);
    }

    /// Takes a retry from the budget; returns whether one was left.
    pub fn take(&mut self, service: &Name, now: Millis) -> bool {
        let RetrySettings { ratio, slack, .. } = self.settings;
        let slack = if now >= self.slack_from { slack / self.entries as f64 } else { 0.0 };
        let window = self.window(service, now);
        let budget = USABLE_FRACTION * (ratio * window.requests.len() as f64 + slack);
        let is_available = (window.retries.len() + 1) as f64 <= budget;
        if is_available {
            window.retries.push_back(now);
        }
        is_available
    }

    /// Grants up to `wanted` retries to another entry, counts them as used here, and returns their
    /// number.
    pub fn grant(&mut self, service: &Name, wanted: u32, now: Millis) -> u32 {
        (0..wanted).take_while(|_| self.take(service, now)).count() as u32
    }

    /// Adds retries granted by another entry; unused ones expire after `GRANT_LIFETIME_MS`.
    pub fn receive(&mut self, service: &Name, count: u32, now: Millis) {
        let window = self.window(service, now);
        window.granted.extend((0..count).map(|_| now));
    }

    /// Uses a retry granted by another entry; returns whether one was available.
    pub fn take_granted(&mut self, service: &Name, now: Millis) -> bool {
        let window = self.window(service, now);
        window.granted.retain(|at| now.saturating_sub(*at) < GRANT_LIFETIME_MS);
        window.granted.pop_front().is_some()
    }

    /// Returns how much of the budget for a service is used.
    pub fn usage(&mut self, service: &Name, now: Millis) -> RetryUsage {
        let entries = self.entries;
        let window = self.window(service, now);
        RetryUsage { requests: window.requests.len(), retries: window.retries.len(), entries }
    }

    /// Returns the window of a service, without the requests and retries that are too old.
    fn window(&mut self, service: &Name, now: Millis) -> &mut Window {
        let window_start = now.saturating_sub(self.settings.window_ms);
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|at| *at < window_start) {
                times.pop_front();
            }
        }
        window
    }
}
