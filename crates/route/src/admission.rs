//! Whether a request is taken on, by when it would be answered.

use crate::choice::{Choice, Requirements};
use conf::Priority;
use kernel::Millis;

/// Least and largest time after which a refused caller may come back, in milliseconds.
const RETRY_AFTER_MS: (f64, f64) = (1_000.0, 30_000.0);

/// Whether a request is taken on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It is.
    Admit,
    /// It would be late; the caller may come back after this time, in milliseconds.
    Refuse(Millis),
}

/// Settings of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionPolicy {
    /// Times of the target for the first token that a request of low priority may wait.
    pub low: f64,
    /// The same for normal priority.
    pub normal: f64,
    /// The same for high priority.
    pub high: f64,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self { low: 1.0, normal: 2.0, high: 4.0 }
    }
}

impl AdmissionPolicy {
    /// Decides by the prediction for the chosen server.
    ///
    /// A request is refused when its answer would come after the deadline, or when its first token
    /// would come later than its priority allows. The higher the priority, the longer it may wait,
    /// so that the lower ones are refused first.
    pub fn decide(&self, requirements: &Requirements<'_>, choice: &Choice) -> AdmissionDecision {
        let times = match requirements.priority {
            Priority::Low => self.low,
            Priority::Normal => self.normal,
            Priority::High => self.high,
        };
        let latest_ms = times * requirements.first_token_ms;
        let whole_ms = choice.predicted_ms
            + choice.between_tokens_ms * requirements.answer_tokens.saturating_sub(1) as f64;
        if choice.predicted_ms <= latest_ms && whole_ms <= requirements.left_ms {
            return AdmissionDecision::Admit;
        }
        AdmissionDecision::Refuse(retry_after(
            choice.predicted_ms - requirements.first_token_ms,
            requirements.random,
        ))
    }
}

/// Returns when the backlog has gone, spread over once that time.
fn retry_after(backlog_ms: f64, random: u64) -> Millis {
    let (least, largest) = RETRY_AFTER_MS;
    let spread = 1.0 + (random % 1_000) as f64 / 1_000.0;
    (backlog_ms.clamp(least, largest) * spread) as Millis
}
