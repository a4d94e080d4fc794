//! Outcomes of the requests at a server, and the detection of faulty servers.

use kernel::Millis;

/// Outcome of a request, as far as it shows whether the server works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server answered.
    Answered,
    /// The server answered with a server error, gave no answer in time, or the answer was cut off.
    Failed,
    /// The server could not be reached, or another server answered at its address.
    Unreachable,
    /// The server accepted nothing because it was full.
    Full,
    /// The outcome shows nothing about the server, for example because the caller disconnected.
    Unknown,
}

/// Half-life of the weight of an outcome, in milliseconds.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Minimum decayed number of failures of a faulty server.
const MIN_FAILURES: f64 = 2.0;
/// Maximum amount by which the failure rate of a server may exceed that of its whole service before
/// the server counts as faulty.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.2;

/// Exponentially decaying counts of outcomes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeCounts {
    answered: f64,
    failed: f64,
    updated_at: Millis,
}

impl OutcomeCounts {
    /// Adds an outcome.
    pub(crate) fn add(&mut self, failed: bool, now: Millis) {
        *self = self.at(now);
        if failed {
            self.failed += 1.0;
        } else {
            self.answered += 1.0;
        }
    }

    /// Returns the counts decayed to the time `now`.
    pub(crate) fn at(&self, now: Millis) -> Self {
        // Most servers of a large deployment have had no request from this entry.
        if self.answered == 0.0 && self.failed == 0.0 {
            return Self { updated_at: now.max(self.updated_at), ..Self::default() };
        }
        let elapsed = now.saturating_sub(self.updated_at) as f64;
        let decay = 0.5_f64.powf(elapsed / HALF_LIFE_MS);
        Self {
            answered: self.answered * decay,
            failed: self.failed * decay,
            updated_at: now.max(self.updated_at),
        }
    }

    /// Adds the counts of another server that are decayed to the same time.
    pub(crate) fn merge(&self, other: &Self) -> Self {
        let (answered, failed) = (self.answered + other.answered, self.failed + other.failed);
        Self { answered, failed, updated_at: self.updated_at }
    }

    /// Returns the failures as a fraction of all outcomes, or of one if fewer remain after decay.
    pub(crate) fn failure_rate(&self) -> f64 {
        self.failed / (self.answered + self.failed).max(1.0)
    }

    /// Whether a server fails clearly more often than the servers of its service do on average.
    pub(crate) fn is_faulty(&self, service: &Self) -> bool {
        self.failed >= MIN_FAILURES
            && self.failure_rate() > service.failure_rate() + MAX_EXCESS_FAILURE_RATE
    }
}
