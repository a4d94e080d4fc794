//! Retry budgets: how many requests of an organisation may be sent again.

use kernel::Name;
use std::collections::BTreeMap;

/// Retries that an organisation starts with, and may have saved up at most.
const SAVED: f64 = 10.0;

/// Whether a request is sent again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// It is sent again.
    Now,
    /// The organisation has used its share.
    Exhausted,
    /// The deadline has passed, or will before an answer.
    TooLate,
}

/// The retry budgets of all organisations at one entry.
///
/// An organisation starts with a few retries; each request saves a share of one up, each retry
/// takes a whole one.
///
/// # Examples
/// ```
/// use route::{RetryDecision, RetryBudgets};
///
/// let mut budgets = RetryBudgets::new(0.5);
/// for _ in 0..10 {
///     assert_eq!(budgets.try_retry(&"hooghly".into(), 1_000, 10), RetryDecision::Now);
/// }
/// assert_eq!(budgets.try_retry(&"hooghly".into(), 1_000, 10), RetryDecision::Exhausted);
/// budgets.record_request(&"hooghly".into());
/// budgets.record_request(&"hooghly".into());
/// assert_eq!(budgets.try_retry(&"hooghly".into(), 1_000, 10), RetryDecision::Now);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RetryBudgets {
    share: f64,
    saved: BTreeMap<Name, f64>,
}

impl RetryBudgets {
    /// Creates budgets of a share of each organisation's own requests.
    pub fn new(share: f64) -> Self {
        Self { share, saved: BTreeMap::new() }
    }

    /// Sets the share.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Notes the first attempt of a request.
    pub fn record_request(&mut self, organisation: &Name) {
        let saved = self.saved.entry(organisation.clone()).or_insert(SAVED);
        *saved = (*saved + self.share).min(SAVED);
    }

    /// Decides whether a request with `left_ms` before its deadline is sent again, when an answer
    /// takes at least `least_ms`.
    pub fn try_retry(&mut self, organisation: &Name, left_ms: u64, least_ms: u64) -> RetryDecision {
        if left_ms <= least_ms {
            return RetryDecision::TooLate;
        }
        let saved = self.saved.entry(organisation.clone()).or_insert(SAVED);
        if *saved < 1.0 {
            return RetryDecision::Exhausted;
        }
        *saved -= 1.0;
        RetryDecision::Now
    }
}
