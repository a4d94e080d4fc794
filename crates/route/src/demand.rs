//! How many requests the servers hold, with the memory of a past peak.

use kernel::Millis;

/// The demand for one model or plain service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Demand {
    level: f64,
    at: Millis,
}

impl Demand {
    /// Takes the present load in and returns the demand, which falls slowly after a peak.
    pub(crate) fn update(&mut self, load: f64, now: Millis, peak_ms: Millis) -> f64 {
        let passed = now.saturating_sub(self.at) as f64;
        let fallen = self.level * (-passed / peak_ms.max(1) as f64).exp();
        self.level = load.max(fallen);
        self.at = now;
        self.level
    }
}
