//! Predicts latency from the last load report of a server and the requests sent since then.

use crate::choice::Requirements;
use crate::pool::Server;

/// Length of a typical answer in tokens. The engine generates one token per step, so a request
/// frees its batch slot after this number of steps.
const TYPICAL_ANSWER_TOKENS: f64 = 100.0;

/// Predicted latency and load of a server if it is sent a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Milliseconds to the first token.
    pub first_token_ms: f64,
    /// Milliseconds between two tokens of the answer.
    pub between_tokens_ms: f64,
    /// Requests that the server has in flight already.
    pub in_flight: f64,
}

impl Server {
    /// Predicts the latency of a request if `cached_tokens` tokens of its prompt are cached at the
    /// server, assuming that each of `senders` entries sends as many requests as this one.
    pub fn predict(
        &self,
        requirements: &Requirements<'_>,
        cached_tokens: u64,
        senders: f64,
    ) -> Prediction {
        let report = &self.report;
        let in_flight = self.in_flight(senders);
        let sent_tokens = self.prompt_tokens_since_report as f64 * senders;
        let request_tokens = requirements.prompt_tokens.saturating_sub(cached_tokens);
        let unread_tokens =
            report.waiting_prompt_tokens as f64 + sent_tokens + request_tokens as f64;
        // Plain services have no prompt to read.
        let tokens_per_s =
            if self.is_model { report.prompt_tokens_per_s.max(1.0) } else { f64::INFINITY };
        let reading_ms = 1000.0 * unread_tokens / tokens_per_s;
        let excess = (in_flight + 1.0 - f64::from(report.batch)).max(0.0);
        let steps = if self.is_model { TYPICAL_ANSWER_TOKENS } else { 1.0 };
        let slot_free_ms = steps * report.step_ms / f64::from(report.batch.max(1));
        Prediction {
            first_token_ms: reading_ms + report.step_ms + excess * slot_free_ms,
            between_tokens_ms: report.step_ms,
            in_flight,
        }
    }

    /// Estimates the number of requests that the server has in flight, assuming that each of
    /// `senders` entries sends as many requests as this one.
    pub(crate) fn in_flight(&self, senders: f64) -> f64 {
        if !self.is_model {
            return f64::from(self.local_requests) * senders;
        }
        let reported = f64::from(self.report.running + self.report.waiting);
        reported + f64::from(self.sent_since_report) * senders
    }
}
