//! Whether a request waits for units of its quota.
//!
//! After a restart all buckets are empty, and a burst empties them for a moment: then units come back within a
//! fraction of the time that the caller allows, sooner than the caller could. Where an organisation asks for
//! more than its quota all the time, waiting is in vain, and what large requests gather lacks the small ones.

use kernel::Millis;
use rules::Quota;

/// Shortest time to wait before units are requested again, in milliseconds.
const MIN_WAIT_MS: Millis = 100;
/// Longest time that a request waits for units, as a fraction of the target latency.
const MAX_WAIT_FRACTION: f64 = 0.25;
/// Time for which units have been scarce from which the organisation asks for more than its quota, in
/// milliseconds. Bursts and restarts are over sooner.
const MAX_SCARCE_MS: Millis = 1_500;

/// What to do with a request for which too few units are left.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaStep {
    /// Reject it.
    Reject,
    /// Wait for this number of milliseconds, then try again.
    Wait(Millis),
}

/// A request for which too few units are left.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shortage {
    /// Number of units that are missing.
    pub units: f64,
    /// Time for which units of the organisation have been scarce, in milliseconds.
    pub scarce_ms: Millis,
    /// Time that the request has waited for units, in milliseconds.
    pub waited_ms: Millis,
    /// Target latency of the request, in milliseconds.
    pub target_latency_ms: Millis,
}

/// Whether an organisation whose units have been scarce for this time asks for more than its quota, and not just
/// for a moment.
pub fn is_lasting_shortage(scarce_ms: Millis) -> bool {
    scarce_ms > MAX_SCARCE_MS
}

impl Shortage {
    /// Returns what to do with the request.
    pub fn next_step(&self, quota: &Quota) -> QuotaStep {
        let refill_ms = (self.units * 1_000.0 / quota.per_s.max(1.0)).ceil() as Millis;
        let wait_ms = refill_ms.max(MIN_WAIT_MS);
        let limit_ms = (self.target_latency_ms as f64 * MAX_WAIT_FRACTION) as Millis;
        if !is_lasting_shortage(self.scarce_ms)
            && self.waited_ms.saturating_add(wait_ms) <= limit_ms
        {
            QuotaStep::Wait(wait_ms)
        } else {
            QuotaStep::Reject
        }
    }
}
