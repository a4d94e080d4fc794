//! What callers and the backend server saw.

use crate::Time;
use kernel::Outcome;

/// What a caller was told at the end of a try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Word {
    /// The answer is whole.
    Answered,
    /// It did not run.
    NotRun,
    /// This try was not accepted.
    Rejected,
    /// It may have run.
    Unknown,
}

impl Word {
    pub(crate) fn of(outcome: Outcome) -> Self {
        match outcome {
            Outcome::NotRun => Self::NotRun,
            Outcome::Rejected => Self::Rejected,
            Outcome::Unknown | Outcome::Other => Self::Unknown,
        }
    }
}

/// One thing that was seen.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Seen {
    /// A caller sent the request.
    Submitted {
        /// Number of the caller.
        caller: usize,
    },
    /// A try ended without a word: the connection broke or the caller stopped waiting.
    Dropped {
        /// Number of the caller.
        caller: usize,
    },
    /// The backend server began to run a request.
    Ran {
        /// Number of the request.
        request: usize,
        /// Chunks of an earlier run that it went on from.
        resumed: usize,
    },
    /// A caller was shown a chunk.
    Shown {
        /// Number of the caller.
        caller: usize,
        /// Number of the chunk.
        number: usize,
        /// Its text.
        text: String,
    },
    /// A caller was told how its try ended.
    Told {
        /// Number of the caller.
        caller: usize,
        /// What it was told.
        word: Word,
    },
}

/// Everything that was seen, in order.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// What was seen, and when.
    pub seen: Vec<(Time, Seen)>,
    /// Request of each caller.
    pub request_of: Vec<usize>,
    /// Whether the requests may be repeated.
    pub repeatable: bool,
    /// Chunks of a whole answer.
    pub chunks: usize,
    /// Whether nothing happened but what a request has to survive.
    pub announced_only: bool,
    /// Whether an entry is left that a caller can reach.
    pub entries_left: bool,
}

impl Log {
    /// Returns the last word that each caller was told.
    pub(crate) fn last_words(&self) -> Vec<String> {
        let last = |caller: usize| {
            let word = self.seen.iter().rev().find_map(|(_, seen)| match seen {
                Seen::Told { caller: c, word } if *c == caller => Some(format!("{word:?}")),
                _ => None,
            });
            word.unwrap_or_else(|| "nothing".to_owned())
        };
        (0..self.request_of.len()).map(last).collect()
    }
}
