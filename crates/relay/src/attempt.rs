//! What an answer of a server means, and what to do after a request to a server has ended.

use crate::dialect::Names;
use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, StatusCode};
use kernel::Code;
use rules::Repeat;

/// Most servers that a request is sent to that none of them has run.
const MOST_SENDS: u32 = 4;
/// Time before the deadline from which a request is not sent again, in milliseconds.
const LEAST_LEFT_MS: u64 = 20;

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseClass {
    /// The server states that it did not run the request.
    NotRun,
    /// The answer belongs to another request, or is not as a server makes them.
    Invalid(&'static str),
    /// The answer to this request.
    Valid,
}

/// Tells what the head of an answer to the request `id` means.
pub fn classify(
    status: StatusCode,
    headers: &HeaderMap,
    names: &Names,
    id: &[u8],
) -> ResponseClass {
    if headers.get(&names.request).is_some_and(|echo| echo.as_bytes() != id) {
        return ResponseClass::Invalid("it answers another request");
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotRun;
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return ResponseClass::Invalid("its body is encoded");
    }
    if status.is_success() && !headers.contains_key(&names.seal) {
        return ResponseClass::Invalid("it bears no seal");
    }
    if promises_not_run(status) {
        return ResponseClass::Invalid(
            "its status says that the request did not run, its head does not",
        );
    }
    ResponseClass::Valid
}

/// Tells whether callers take a status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// How a request to a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// Nothing of it was written.
    Unsent,
    /// The server did not run it.
    NotRun,
    /// The server answered it with a success.
    Succeeded,
    /// The server answered it with a failure.
    Failed(StatusCode),
    /// It may have run, and its answer is lost or late.
    ResponseLost,
}

/// What a request has been through.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptHistory {
    /// Servers that it was sent to, or tried to be.
    pub sends: u32,
    /// Servers that may have run it.
    pub runs: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Pass the answer on.
    Pass,
    /// Send the request to another server, if the budget for repeats allows.
    Retry {
        /// Whether the repeat counts against that budget.
        uses_budget: bool,
    },
    /// Tell the caller that the request did not run.
    Refuse(Code),
    /// Tell the caller that it may have run.
    Fail(Code),
}

/// Decides what to do after a request to a server has ended, `left_ms` before the deadline.
pub fn next_step(
    ended: AttemptResult,
    repeat: Repeat,
    trail: AttemptHistory,
    attempts: u32,
    left_ms: u64,
) -> NextStep {
    let has_time = left_ms > LEAST_LEFT_MS;
    let may_run_again =
        has_time && trail.runs < attempts && (repeat.is_repeatable() || trail.runs == 0);
    let uses_budget = true;
    match ended {
        AttemptResult::Succeeded => NextStep::Pass,
        AttemptResult::Failed(status) if status.is_server_error() && may_run_again => {
            NextStep::Retry { uses_budget }
        }
        AttemptResult::Failed(_) => NextStep::Pass,
        AttemptResult::Unsent if may_run_again && trail.sends < MOST_SENDS => {
            NextStep::Retry { uses_budget: false }
        }
        AttemptResult::NotRun if may_run_again && trail.sends < MOST_SENDS => {
            NextStep::Retry { uses_budget }
        }
        AttemptResult::ResponseLost if may_run_again => NextStep::Retry { uses_budget },
        AttemptResult::Unsent | AttemptResult::NotRun if trail.runs == 0 => {
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

/// Tells what remains when a repeat is not allowed by the budget.
pub fn next_step_without_budget(ended: AttemptResult, trail: AttemptHistory) -> NextStep {
    match ended {
        AttemptResult::Succeeded | AttemptResult::Failed(_) => NextStep::Pass,
        AttemptResult::Unsent | AttemptResult::NotRun if trail.runs == 0 => {
            NextStep::Refuse(Code::Overloaded)
        }
        AttemptResult::Unsent | AttemptResult::NotRun | AttemptResult::ResponseLost => {
            NextStep::Fail(Code::BackendBroke)
        }
    }
}
