//! The share of an entry in the budget for sending requests again.

use kernel::{Millis, Name};
use std::collections::{BTreeMap, VecDeque};

/// The budget of all entries together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetrySettings {
    /// Length of the window, in milliseconds.
    pub window_ms: Millis,
    /// Part of the requests of a window that may be sent again.
    pub ratio: f64,
    /// Repeats in a window beyond that, of all entries.
    pub slack: f64,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self { window_ms: 10_000, ratio: 0.1, slack: 0.0 }
    }
}

/// Part of the budget that is used; the rest covers windows that begin between two requests.
const USED: f64 = 0.93;

#[derive(Clone, Debug, Default)]
struct Window {
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
    /// When repeats that other entries gave were received.
    granted: VecDeque<Millis>,
}

/// Time for which a repeat that another entry gave can be used; it counts in the giver's window.
const GRANT_LIFETIME_MS: Millis = 500;

/// The requests of each service, and what was sent again.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    entries: usize,
    services: BTreeMap<Name, Window>,
}

impl RetryBudget {
    /// Creates the share of an entry.
    pub fn new(settings: RetrySettings) -> Self {
        Self { settings, entries: 1, services: BTreeMap::new() }
    }

    /// Sets the number of entries that share the slack.
    pub fn set_entries(&mut self, entries: usize) {
        self.entries = entries.max(1);
    }

    /// Counts a request of a caller for a service.
    pub fn request(&mut self, service: &Name, now: Millis) {
        self.window(service, now).requests.push_back(now);
    }

    /// Takes a repeat from the budget; tells whether there was one.
    pub fn take(&mut self, service: &Name, now: Millis) -> bool {
        let (ratio, slack) = (self.settings.ratio, self.settings.slack / self.entries as f64);
        let window = self.window(service, now);
        let budget = USED * (ratio * window.requests.len() as f64 + slack);
        let is_left = (window.retries.len() + 1) as f64 <= budget;
        if is_left {
            window.retries.push_back(now);
        }
        is_left
    }

    /// Gives up to `wanted` repeats to another entry and counts them as used here.
    pub fn grant(&mut self, service: &Name, wanted: u32, now: Millis) -> u32 {
        (0..wanted).take_while(|_| self.take(service, now)).count() as u32
    }

    /// Takes in repeats that another entry gave; they lapse if they are not used soon.
    pub fn receive(&mut self, service: &Name, count: u32, now: Millis) {
        let window = self.window(service, now);
        window.granted.extend((0..count).map(|_| now));
    }

    /// Uses a repeat that another entry gave; tells whether there was one.
    pub fn take_granted(&mut self, service: &Name, now: Millis) -> bool {
        let window = self.window(service, now);
        window.granted.retain(|at| now.saturating_sub(*at) < GRANT_LIFETIME_MS);
        window.granted.pop_front().is_some()
    }

    fn window(&mut self, service: &Name, now: Millis) -> &mut Window {
        let from = now.saturating_sub(self.settings.window_ms);
        let window = self.services.entry(service.clone()).or_default();
        for times in [&mut window.requests, &mut window.retries] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
        window
    }
}
