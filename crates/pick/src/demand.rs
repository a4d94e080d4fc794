//! Rate of the work that callers request, by service.

use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Time constant of the exponential moving average, in milliseconds.
const AVERAGING_TIME_MS: f64 = 2_000.0;

/// An exponentially decaying rate.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingRate {
    per_s: f64,
    updated_at: Millis,
}

impl DecayingRate {
    /// Returns the rate decayed to the time `now`.
    fn at(&self, now: Millis) -> f64 {
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        self.per_s * (-elapsed / AVERAGING_TIME_MS).exp()
    }
}

/// Tracks the work that is requested at one entry, by service, in milliseconds of server time per
/// second.
#[derive(Clone, Debug, Default)]
pub struct DemandTracker {
    rates: BTreeMap<Name, DecayingRate>,
}

impl DemandTracker {
    /// Adds a request that needs `work_ms` milliseconds of server time.
    pub fn add(&mut self, service: &Name, work_ms: f64, now: Millis) {
        let rate = self.rates.entry(service.clone()).or_default();
        *rate = DecayingRate {
            per_s: rate.at(now) + work_ms * 1000.0 / AVERAGING_TIME_MS,
            updated_at: now,
        };
    }

    /// Returns the rates of all services.
    pub fn rates(&self, now: Millis) -> impl Iterator<Item = (&Name, f64)> {
        self.rates.iter().map(move |(service, rate)| (service, rate.at(now)))
    }

    /// Returns the rate of one service, or 0 without requests for it.
    pub fn rate(&self, service: &str, now: Millis) -> f64 {
        self.rates.get(service).map_or(0.0, |rate| rate.at(now))
    }
}
