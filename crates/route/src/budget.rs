//! Retry budgets: limit how many requests of an organisation may be retried.

use kernel::Name;
use std::collections::BTreeMap;

/// Retries that an organisation starts with, which is also the most that its budget can hold.
const MAX_BUDGET_RETRIES: f64 = 10.0;

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// The request may be retried at once.
    Now,
    /// The organisation has used up its retry budget.
    Exhausted,
    /// The deadline has passed, or would pass before an answer could arrive.
    TooLate,
}

/// The retry budgets of all organisations at one entry.
///
/// An organisation starts with a full budget. Each request adds a fraction of a retry to it, each
/// retry takes one from it.
///
/// # Examples
/// ```
/// use route::{RetryBudgets, RetryDecision};
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
    /// Retries that each request adds to the budget.
    share: f64,
    /// Retries left, by organisation.
    retries: BTreeMap<Name, f64>,
}

impl RetryBudgets {
    /// Creates budgets that allow retries up to this share of each organisation's own requests.
    pub fn new(share: f64) -> Self {
        Self { share, retries: BTreeMap::new() }
    }

    /// Sets the number of retries that each request adds to the budget.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    /// Records the first attempt of a request, which adds to the budget of its organisation.
    pub fn record_request(&mut self, organisation: &Name) {
        let budget = self.retries.entry(organisation.clone()).or_insert(MAX_BUDGET_RETRIES);
        *budget = (*budget + self.share).min(MAX_BUDGET_RETRIES);
    }

    /// Takes a retry from the organisation's budget, if there is one left and the request can still
    /// be answered: `left_ms` is the time to its deadline, `min_answer_ms` the shortest time in
    /// which an answer can arrive.
    pub fn try_retry(
        &mut self,
        organisation: &Name,
        left_ms: u64,
        min_answer_ms: u64,
    ) -> RetryDecision {
        if left_ms <= min_answer_ms {
            return RetryDecision::TooLate;
        }
        let budget = self.retries.entry(organisation.clone()).or_insert(MAX_BUDGET_RETRIES);
        if *budget < 1.0 {
            return RetryDecision::Exhausted;
        }
        *budget -= 1.0;
        RetryDecision::Now
    }
}
