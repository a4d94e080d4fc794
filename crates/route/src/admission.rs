//! Admission control: refuses a new request that is predicted to be answered too late.

use crate::choice::{Choice, Requirements};
use conf::Priority;
use kernel::Millis;

/// Minimum and maximum retry delay before jitter, in milliseconds.
const RETRY_AFTER_RANGE_MS: (f64, f64) = (1_000.0, 30_000.0);

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request is admitted.
    Admit,
    /// The request would be answered too late; the caller may retry after this time, in
    /// milliseconds.
    Refuse(Millis),
}

/// Maximum predicted time to the first token, by priority, as a multiple of the service's target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Multiple of the target for requests of low priority.
    pub low: f64,
    /// Multiple of the target for requests of normal priority.
    pub normal: f64,
    /// Multiple of the target for requests of high priority.
    pub high: f64,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self { low: 1.0, normal: 2.0, high: 4.0 }
    }
}

impl AdmissionPolicy {
    /// Decides whether to admit a request, from the prediction for the chosen server.
    ///
    /// A request is refused when its answer is predicted to end after the deadline, or its first
    /// token is predicted later than its priority allows. Higher priorities may wait longer, so
    /// under overload the lower priorities are refused first.
    pub fn decide(&self, requirements: &Requirements<'_>, choice: &Choice) -> AdmissionDecision {
        let factor = match requirements.priority {
            Priority::Low => self.low,
            Priority::Normal => self.normal,
            Priority::High => self.high,
        };
        let latest_ms = factor * requirements.first_token_ms;
        let total_ms = choice.predicted_ms
            + choice.between_tokens_ms * requirements.answer_tokens.saturating_sub(1) as f64;
        if choice.predicted_ms <= latest_ms && total_ms <= requirements.left_ms {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Refuse(retry_after(
            choice.predicted_ms - requirements.first_token_ms,
            requirements.random,
        ))
    }
}

/// Returns the time to drain the backlog, with jitter of up to the same time again so that refused
/// callers do not all return at once.
fn retry_after(backlog_ms: f64, random: u64) -> Millis {
    let (min_ms, max_ms) = RETRY_AFTER_RANGE_MS;
    let jitter = 1.0 + (random % 1_000) as f64 / 1_000.0;
    (backlog_ms.clamp(min_ms, max_ms) * jitter) as Millis
}
