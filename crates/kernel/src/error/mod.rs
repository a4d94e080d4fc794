//! Errors: a numbered kind plus context, formatted apart from both.

mod code;

pub use code::{Code, Outcome};

use std::fmt;
use std::time::Duration;

/// An error with a numbered result code and the context that a reader needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Failure {
    /// What went wrong.
    pub code: Code,
    /// What is known about the run of the request.
    pub outcome: Outcome,
    /// What it went wrong with, in one line.
    pub context: String,
    /// When it makes sense to try again.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure with the retry time that is usual for its code.
    pub fn new(code: Code, context: impl Into<String>) -> Self {
        let retry_after = code.retry_after();
        Self { code, outcome: code.outcome(), context: context.into(), retry_after }
    }

    /// Says only that this attempt was not accepted; an earlier one under the same key may have been.
    pub fn rejected(mut self) -> Self {
        self.outcome = Outcome::Rejected;
        self
    }

    /// Replaces the time after which to try again.
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
