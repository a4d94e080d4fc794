//! How requests at a server ended, and what that says about it.

use kernel::Millis;

/// How a request at a server ended, as far as it says something about the server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It answered with a failure of its own, or broke off.
    Failed,
    /// It could not be reached, or another server stands at its address.
    Unreachable,
    /// It took nothing because it was full.
    Full,
    /// Nothing can be said: the caller left.
    Unknown,
}

/// Time in which half of the weight of an outcome is lost, in milliseconds.
const HALF_LIFE_MS: f64 = 4_000.0;
/// Weight of failures from which a server is judged at all.
const MIN_FAILURES: f64 = 2.0;
/// Share of failures beyond that of the whole service that marks a server as faulty.
const MAX_EXCESS_FAILURE_RATE: f64 = 0.2;

/// Outcomes, the older the lighter.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutcomeCounts {
    answered: f64,
    failed: f64,
    at: Millis,
}

impl OutcomeCounts {
    pub(crate) fn add(&mut self, failed: bool, now: Millis) {
        *self = self.at(now);
        if failed {
            self.failed += 1.0;
        } else {
            self.answered += 1.0;
        }
    }

    /// Returns the record with the weights of a later time.
    pub(crate) fn at(&self, now: Millis) -> Self {
        let passed = now.saturating_sub(self.at) as f64;
        let kept = 0.5_f64.powf(passed / HALF_LIFE_MS);
        Self { answered: self.answered * kept, failed: self.failed * kept, at: now.max(self.at) }
    }

    pub(crate) fn merge(&self, other: &Self) -> Self {
        let (answered, failed) = (self.answered + other.answered, self.failed + other.failed);
        Self { answered, failed, at: self.at }
    }

    pub(crate) fn failure_rate(&self) -> f64 {
        self.failed / (self.answered + self.failed).max(1.0)
    }

    /// Tells whether a server fails clearly more often than its service does.
    pub(crate) fn is_faulty(&self, service: &Self) -> bool {
        self.failed >= MIN_FAILURES
            && self.failure_rate() > service.failure_rate() + MAX_EXCESS_FAILURE_RATE
    }
}
