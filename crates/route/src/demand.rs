//! Moving average of the requests that servers have in flight.

use crate::policy::Policy;
use kernel::Millis;

/// Demand for one model or plain service: the exponential moving average of its requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    mean: f64,
    updated_at: Millis,
}

impl Demand {
    /// Adds the current load to the average and returns the expected number of concurrent requests.
    pub(crate) fn update(&mut self, load: f64, now: Millis, policy: &Policy) -> f64 {
        let elapsed_ms = now.saturating_sub(self.updated_at) as f64;
        let decay = (-elapsed_ms / policy.average_ms.max(1) as f64).exp();
        self.mean = load + (self.mean - load) * decay;
        self.updated_at = now;
        self.mean
    }
}
