//! How much work callers ask for.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Time over which the rate is averaged, in milliseconds.
const AVERAGE_MS: f64 = 2_000.0;

/// A rate that older events count less in.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    per_s: f64,
    at: Millis,
}

impl Rate {
    fn at(&self, now: Millis) -> f64 {
        let passed = now.saturating_sub(self.at) as f64;
        self.per_s * (-passed / AVERAGE_MS).exp()
    }
}

/// The work that callers ask of one entry, by service, in milliseconds of a server a second.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    rates: BTreeMap<Name, Rate>,
}

impl DemandTracker {
    /// Counts a request that takes a server so many milliseconds.
    pub fn add(&mut self, service: &Name, work_ms: f64, now: Millis) {
        let rate = self.rates.entry(service.clone()).or_default();
        *rate = Rate { per_s: rate.at(now) + work_ms * 1000.0 / AVERAGE_MS, at: now };
    }

    /// Returns the rates of all services.
    pub fn rates(&self, now: Millis) -> impl Iterator<Item = (&Name, f64)> {
        self.rates.iter().map(move |(service, rate)| (service, rate.at(now)))
    }

    /// Returns the rate of one service.
    pub fn rate(&self, service: &str, now: Millis) -> f64 {
        self.rates.get(service).map_or(0.0, |rate| rate.at(now))
    }
}
