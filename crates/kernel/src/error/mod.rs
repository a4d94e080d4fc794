//! The error type of all crates: a numbered result code with context.

mod code;

pub use code::{Code, Outcome};

use std::fmt;
use std::time::Duration;

/// An error with a numbered result code and the context needed to understand it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// Result code, which identifies the kind of error.
    pub code: Code,
    /// Whether the request may have been executed.
    pub outcome: Outcome,
    /// Details, such as the affected name or the underlying error, in one line.
    pub context: String,
    /// Time after which the caller may retry; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure with the default outcome and retry time of its code.
    pub fn new(code: Code, context: impl Into<String>) -> Self {
        let retry_after = code.retry_after();
        Self { code, outcome: code.outcome(), context: context.into(), retry_after }
    }

    /// Sets the outcome to rejected, which says nothing about earlier attempts under the same key:
    /// one of them may have been accepted.
    pub fn rejected(mut self) -> Self {
        self.outcome = Outcome::Rejected;
        self
    }

    /// Replaces the time after which the caller may retry.
    pub fn retry_after(mut self, after: Duration) -> Self {
        self.retry_after = Some(after);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FF-{}: {}: {}", self.code.number(), self.code.title(), self.context)
    }
}

impl std::error::Error for Failure {}
