//! Classifies responses of backend servers and decides what to do after an attempt.

use crate::protocol::HeaderNames;
use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, StatusCode};
use kernel::Code;
use rules::RetryPolicy;

/// Maximum number of servers to which a request is sent as long as none of them has run it.
const MAX_SENDS: u32 = 4;
/// The same number after an attempt in which no byte of the request was written: servers that are gone refuse
/// connections at once, so that a request may meet several of them.
const MAX_SENDS_IF_UNSENT: u32 = 8;
/// Time to the deadline at or below which a request is not sent again, in milliseconds.
const MIN_RETRY_TIME_MS: u64 = 20;

/// Classification of a response by its status and headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The server states that it did not run the request.
    NotRun,
    /// The response belongs to another request or was not made by a backend server, for the
    /// given reason.
    Invalid(&'static str),
    /// A backend server's response to this request.
    Valid,
}

/// Classifies the response to the request `id` by its status and headers.
pub fn classify(
    status: StatusCode,
    headers: &HeaderMap,
    names: &HeaderNames,
    id: &[u8],
) -> ResponseClass {
    if headers.get(&names.request).is_some_and(|echoed| echoed.as_bytes() != id) {
        return ResponseClass::Invalid("response belongs to another request");
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotRun;
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return ResponseClass::Invalid("response body has a content encoding");
    }
    if status.is_success() && !headers.contains_key(&names.signature) {
        return ResponseClass::Invalid("response lacks the server signature");
    }
    if implies_not_run(status) {
        return ResponseClass::Invalid(
            "status implies that the request did not run, but no header states it",
        );
    }
    ResponseClass::Valid
}

/// Whether callers take a status to mean that the request did not run.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Result of sending a request to a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// No byte of the request was written.
    Unsent,
    /// The server did not run the request.
    NotRun,
    /// The server responded with a success status.
    Succeeded,
    /// The server responded with another status.
    Failed(StatusCode),
    /// The request may have run, but its response is lost, late or invalid.
    ResponseLost,
}

/// Attempts of a request so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Number of attempts to send the request to a server.
    pub sends: u32,
    /// Number of servers that may have run the request.
    pub runs: u32,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Forward the response to the caller.
    Forward,
    /// Send the request to another server, if the retry budget allows.
    Retry {
        /// Whether the retry counts against the budget.
        uses_budget: bool,
    },
    /// Fail with a code which states that the request did not run.
    Refuse(Code),
    /// Fail with a code which states that the request may have run.
    Fail(Code),
}

/// Decides what to do after an attempt that ended `remaining_ms` before the deadline.
pub fn next_step(
    result: AttemptResult,
    retry_policy: RetryPolicy,
    history: AttemptHistory,
    max_attempts: u32,
    remaining_ms: u64,
) -> NextStep {
    let has_time = remaining_ms > MIN_RETRY_TIME_MS;
    let may_run_again = has_time
        && history.runs < max_attempts
        && (retry_policy.is_retryable() || history.runs == 0);
    let uses_budget = true;
    match result {
        AttemptResult::Succeeded => NextStep::Forward,
        AttemptResult::Failed(status) if status.is_server_error() && may_run_again => {
            NextStep::Retry { uses_budget }
        }
        AttemptResult::Failed(_) => NextStep::Forward,
        AttemptResult::Unsent if may_run_again && history.sends < MAX_SENDS_IF_UNSENT => {
            NextStep::Retry { uses_budget: false }
        }
        AttemptResult::NotRun if may_run_again && history.sends < MAX_SENDS => {
            NextStep::Retry { uses_budget }
        }
        AttemptResult::ResponseLost if may_run_again => NextStep::Retry { uses_budget },
        AttemptResult::Unsent | AttemptResult::NotRun if history.runs == 0 => {
            NextStep::Refuse(Code::NotDispatched)
        }
        AttemptResult::Unsent | AttemptResult::NotRun | AttemptResult::ResponseLost
            if !has_time =>
        {
            NextStep::Fail(Code::DeadlinePassed)
        }
        AttemptResult::Unsent | AttemptResult::NotRun | AttemptResult::ResponseLost => {
            NextStep::Fail(Code::BackendBroke)
        }
    }
}

/// Decides what to do when the retry budget does not allow a retry.
pub fn next_step_without_budget(result: AttemptResult, history: AttemptHistory) -> NextStep {
    match result {
        AttemptResult::Succeeded | AttemptResult::Failed(_) => NextStep::Forward,
        AttemptResult::Unsent | AttemptResult::NotRun if history.runs == 0 => {
            NextStep::Refuse(Code::Overloaded)
        }
        AttemptResult::Unsent | AttemptResult::NotRun | AttemptResult::ResponseLost => {
            NextStep::Fail(Code::BackendBroke)
        }
    }
}
