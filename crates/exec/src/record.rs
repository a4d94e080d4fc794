//! Execution state of a request: its deadline, its decisions and its running attempt.

use bytes::Bytes;
use kernel::prelude::*;
use ledger::{Ending, RequestSpec};
use std::sync::{Mutex, PoisonError};
use tokio::sync::watch;
use tokio::task::AbortHandle;

/// A decision about a request, shown by the `explain` command.
#[derive(Clone, Debug)]
pub struct Decision {
    /// Wall-clock time in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// The decision and its reason.
    pub text: String,
}

/// State of a record as shown by the `explain` command.
#[derive(Clone, Debug)]
pub struct RecordView {
    /// Role of this entry, `owner` or `witness`, with its state.
    pub role: String,
    /// Number of chunks of the answer so far.
    pub chunks: usize,
    /// How the request ended, if it has.
    pub ending: Option<Ending>,
    /// The first decisions about the request.
    pub decisions: Vec<Decision>,
}

/// Maximum number of decisions kept for each record.
const MAX_DECISIONS: usize = 64;

/// The mutable part of a [`Record`].
#[derive(Debug, Default)]
struct State {
    deadline: Millis,
    ended_at: Option<Millis>,
    decisions: Vec<Decision>,
    attempt: Option<AbortHandle>,
}

/// Execution state of a request in the request table.
#[derive(Debug)]
pub(crate) struct Record {
    /// The request without its body, which the request table keeps for as long as it is needed.
    pub(crate) spec: RequestSpec,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

impl Record {
    pub(crate) fn new(spec: &RequestSpec, now: Millis) -> Arc<Self> {
        let spec = RequestSpec { body: Bytes::new(), ..spec.clone() };
        let state = State { deadline: now + spec.left_ms, ..State::default() };
        Arc::new(Self { spec, state: Mutex::new(state), changed: watch::channel(0).0 })
    }

    /// Runs the closure with the state locked; no guard outlives the call.
    fn with_state<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        f(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wakes the tasks that wait for a change.
    pub(crate) fn notify_changed(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Starts a new round: if the request had ended, it is open again with a new deadline.
    pub(crate) fn begin_round(&self, now: Millis) {
        self.with_state(|state| {
            if state.ended_at.take().is_some() {
                state.deadline = now + self.spec.left_ms;
            }
        });
    }

    pub(crate) fn set_ended(&self, now: Millis) {
        self.with_state(|state| state.ended_at.get_or_insert(now).to_owned());
    }

    /// Returns the start of the retention period: the end of the request, or its deadline while it
    /// is open.
    pub(crate) fn retention_start(&self) -> Millis {
        self.with_state(|state| state.ended_at.unwrap_or(state.deadline))
    }

    /// Returns the time left until the deadline.
    pub(crate) fn time_left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.with_state(|state| state.deadline).saturating_sub(now))
    }

    pub(crate) fn set_attempt(&self, task: AbortHandle) {
        self.with_state(|state| state.attempt = Some(task));
    }

    /// Aborts the running attempt.
    pub(crate) fn cancel(&self) {
        if let Some(task) = self.with_state(|state| state.attempt.take()) {
            task.abort();
        }
    }

    /// Records a decision for `explain`; those after the first [`MAX_DECISIONS`] are dropped.
    pub(crate) fn add_decision(&self, text: String) {
        self.with_state(|state| {
            if state.decisions.len() < MAX_DECISIONS {
                state.decisions.push(Decision { at_unix_ms: Clock::unix_ms(), text });
            }
        });
    }

    pub(crate) fn decisions(&self) -> Vec<Decision> {
        self.with_state(|state| state.decisions.clone())
    }
}
