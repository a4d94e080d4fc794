//! What the shell keeps about a request: its deadline, its notes and its running attempt.

use kernel::prelude::*;
use ledger::{Ending, RequestSpec};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A decision about a request, kept for `explain`.
#[derive(Clone, Debug)]
pub struct Note {
    /// Wall-clock milliseconds since 1970.
    pub at_unix_ms: u64,
    /// What was decided, and why.
    pub text: String,
}

/// What `explain` shows of a record.
#[derive(Clone, Debug)]
pub struct View {
    /// `owner` or `witness`, with the state.
    pub role: String,
    /// Chunks of the answer so far.
    pub chunks: usize,
    /// How it ended, if it has.
    pub ending: Option<Ending>,
    /// What was decided.
    pub notes: Vec<Note>,
}

/// Decisions kept for each record.
const NOTES: usize = 64;

/// The part of a record that changes.
#[derive(Debug, Default)]
struct State {
    deadline: Millis,
    ended_at: Option<Millis>,
    notes: Vec<Note>,
    running: Option<AbortHandle>,
}

/// What the shell keeps about a request.
#[derive(Debug)]
pub(crate) struct Record {
    pub(crate) terms: RequestSpec,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Record {
    pub(crate) fn new(terms: RequestSpec, now: Millis) -> Arc<Self> {
        let state = State { deadline: now + terms.left_ms, ..State::default() };
        Arc::new(Self { terms, state: Mutex::new(state), changed: watch::channel(0).0 })
    }

    /// Lets the closure see and change the state; no guard outlives it.
    fn with<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wakes whoever waits for a change.
    pub(crate) fn touch(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Starts the time of a new round.
    pub(crate) fn begin_round(&self, now: Millis) {
        self.with(|state| {
            if state.ended_at.take().is_some() {
                state.deadline = now + self.terms.left_ms;
            }
        });
    }

    pub(crate) fn set_ended(&self, now: Millis) {
        self.with(|state| state.ended_at.get_or_insert(now).to_owned());
    }

    /// Returns the time from which on it is kept for a while: its end, else its deadline.
    pub(crate) fn kept_from(&self) -> Millis {
        self.with(|state| state.ended_at.unwrap_or(state.deadline))
    }

    /// Returns the time that is left until the deadline.
    pub(crate) fn left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.with(|state| state.deadline).saturating_sub(now))
    }

    pub(crate) fn set_running(&self, task: AbortHandle) {
        self.with(|state| state.running = Some(task));
    }

    /// Stops the running attempt.
    pub(crate) fn cancel(&self) {
        if let Some(task) = self.with(|state| state.running.take()) {
            task.abort();
        }
    }

    /// Keeps a decision for `explain`.
    pub(crate) fn note(&self, text: String) {
        self.with(|state| {
            if state.notes.len() < NOTES {
                state.notes.push(Note { at_unix_ms: Clock::unix_ms(), text });
            }
        });
    }

    pub(crate) fn notes(&self) -> Vec<Note> {
        self.with(|state| state.notes.clone())
    }
}
