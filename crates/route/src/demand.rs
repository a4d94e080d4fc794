//! How many requests servers hold, averaged.

use crate::policy::Policy;
use kernel::Millis;

/// The demand for one model or plain service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    mean: f64,
    at: Millis,
}

impl Demand {
    /// Takes the present load in and returns the requests expected at once.
    pub(crate) fn update(&mut self, load: f64, now: Millis, policy: &Policy) -> f64 {
        let passed = now.saturating_sub(self.at) as f64;
        let kept = (-passed / policy.average_ms.max(1) as f64).exp();
        self.mean = load + (self.mean - load) * kept;
        self.at = now;
        self.mean
    }
}
