//! Predictions from the last report and what was sent since.

use crate::choice::Requirements;
use crate::pool::Server;

/// Tokens of a usual answer, after which a place in the batch becomes free.
const USUAL_ANSWER_TOKENS: f64 = 100.0;

/// What is expected of a server if it gets a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// Milliseconds to the first token.
    pub first_token_ms: f64,
    /// Milliseconds between two tokens.
    pub between_tokens_ms: f64,
    /// Requests that it holds.
    pub in_flight: f64,
}

impl Server {
    /// Predicts how a server would serve a request of which it has `cached` tokens, when each of
    /// `senders` entries sends as much as this one.
    pub fn predict(
        &self,
        requirements: &Requirements<'_>,
        cached: u64,
        senders: f64,
    ) -> Prediction {
        let report = &self.report;
        let in_flight = self.in_flight(senders);
        let since = self.prompt_tokens_since_report as f64 * senders;
        let own = requirements.prompt_tokens.saturating_sub(cached);
        let unread = report.waiting_prompt_tokens as f64 + since + own as f64;
        // A plain service reads no prompt.
        let rate = if self.is_model { report.prompt_tokens_per_s.max(1.0) } else { f64::INFINITY };
        let reading = 1000.0 * unread / rate;
        let over = (in_flight + 1.0 - f64::from(report.batch)).max(0.0);
        let steps = if self.is_model { USUAL_ANSWER_TOKENS } else { 1.0 };
        let leaves_ms = steps * report.step_ms / f64::from(report.batch.max(1));
        Prediction {
            first_token_ms: reading + report.step_ms + over * leaves_ms,
            between_tokens_ms: report.step_ms,
            in_flight,
        }
    }

    /// Estimates the requests that the server holds, when each of `senders` sends as this entry.
    pub(crate) fn in_flight(&self, senders: f64) -> f64 {
        if !self.is_model {
            return f64::from(self.local_requests) * senders;
        }
        let reported = f64::from(self.report.running + self.report.waiting);
        reported + f64::from(self.sent_since_report) * senders
    }
}
