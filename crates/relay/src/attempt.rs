//! What an answer of a server means, and what to do after a request to a server has ended.

use crate::dialect::Names;
use hyper::header::CONTENT_ENCODING;
use hyper::{HeaderMap, StatusCode};
use kernel::Code;
use rules::RetryPolicy;

/// Most servers that a request is sent to that none of them has run.
const MOST_SENDS: u32 = 4;
/// Time before the deadline from which a request is not sent again, in milliseconds.
const LEAST_LEFT_MS: u64 = 20;

/// What the head of an answer means.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Class {
    /// The server states that it did not run the request.
    NotRun,
    /// The answer belongs to another request, or is not as a server makes them.
    Foreign(&'static str),
    /// The answer to this request.
    Own,
}

/// Tells what the head of an answer to the request `id` means.
pub fn classify(status: StatusCode, headers: &HeaderMap, names: &Names, id: &[u8]) -> Class {
    if headers.get(&names.request).is_some_and(|echo| echo.as_bytes() != id) {
        return Class::Foreign("it answers another request");
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Class::NotRun;
    }
    if headers.contains_key(CONTENT_ENCODING) {
        return Class::Foreign("its body is encoded");
    }
    if status.is_success() && !headers.contains_key(&names.seal) {
        return Class::Foreign("it bears no seal");
    }
    if promises_not_run(status) {
        return Class::Foreign("its status says that the request did not run, its head does not");
    }
    Class::Own
}

/// Tells whether callers take a status as a promise that the request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// How a request to a server has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ended {
    /// Nothing of it was written.
    Unsent,
    /// The server did not run it.
    NotRun,
    /// The server answered it with a success.
    Succeeded,
    /// The server answered it with a failure.
    Failed(StatusCode),
    /// It may have run, and its answer is lost or late.
    Broke,
}

/// What a request has been through.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Trail {
    /// Servers that it was sent to, or tried to be.
    pub sends: u32,
    /// Servers that may have run it.
    pub runs: u32,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Next {
    /// Pass the answer on.
    Pass,
    /// Send the request to another server, if the budget for repeats allows.
    Again {
        /// Whether the repeat counts against that budget.
        is_repeat: bool,
    },
    /// Tell the caller that the request did not run.
    Refuse(Code),
    /// Tell the caller that it may have run.
    Fail(Code),
}

/// Decides what to do after a request to a server has ended, `left_ms` before the deadline.
pub fn next(ended: Ended, repeat: RetryPolicy, trail: Trail, attempts: u32, left_ms: u64) -> Next {
    let has_time = left_ms > LEAST_LEFT_MS;
    let may_run_again =
        has_time && trail.runs < attempts && (repeat.is_retryable() || trail.runs == 0);
    let is_repeat = true;
    match ended {
        Ended::Succeeded => Next::Pass,
        Ended::Failed(status) if status.is_server_error() && may_run_again => {
            Next::Again { is_repeat }
        }
        Ended::Failed(_) => Next::Pass,
        Ended::Unsent if may_run_again && trail.sends < MOST_SENDS => {
            Next::Again { is_repeat: false }
        }
        Ended::NotRun if may_run_again && trail.sends < MOST_SENDS => Next::Again { is_repeat },
        Ended::Broke if may_run_again => Next::Again { is_repeat },
        Ended::Unsent | Ended::NotRun if trail.runs == 0 => Next::Refuse(Code::NotDispatched),
        Ended::Unsent | Ended::NotRun | Ended::Broke if !has_time => {
            Next::Fail(Code::DeadlinePassed)
        }
        Ended::Unsent | Ended::NotRun | Ended::Broke => Next::Fail(Code::BackendBroke),
    }
}

/// Tells what remains when a repeat is not allowed by the budget.
pub fn without_budget(ended: Ended, trail: Trail) -> Next {
    match ended {
        Ended::Succeeded | Ended::Failed(_) => Next::Pass,
        Ended::Unsent | Ended::NotRun if trail.runs == 0 => Next::Refuse(Code::Overloaded),
        Ended::Unsent | Ended::NotRun | Ended::Broke => Next::Fail(Code::BackendBroke),
    }
}
