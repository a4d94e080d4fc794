//! One request as held by one entry.

use bytes::Bytes;
use kernel::prelude::*;
use ledger::{Answer, Chunk, Ending, Owner, Terms, Witness};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// What this entry is to the request.
pub(crate) enum Role {
    /// It runs the request.
    Owner(Owner),
    /// It holds a copy for the owner.
    Witness(Witness, NodeId),
}

/// A decision about a request, kept for `explain`.
#[derive(Clone, Debug)]
pub struct Note {
    /// Wall-clock milliseconds since 1970.
    pub at_unix_ms: u64,
    /// What was decided, and why.
    pub text: String,
}

/// The part of a record that changes.
pub(crate) struct State {
    pub(crate) role: Role,
    pub(crate) round: u64,
    pub(crate) witness: Option<NodeId>,
    pub(crate) answer: Answer,
    /// The ending, once decided here; shown only after the witness knows it.
    pub(crate) ending: Option<Ending>,
    pub(crate) shown_ending: Option<Ending>,
    pub(crate) ended_at: Option<Millis>,
    pub(crate) accepted: bool,
    pub(crate) leaving: bool,
    notes: Vec<Note>,
}

/// One request as held by one entry.
pub struct Record {
    /// What the caller asked for.
    pub terms: Terms,
    /// When its answer must be whole, on this process's clock.
    pub deadline: Millis,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
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

impl Record {
    pub(crate) fn new(terms: Terms, now: Millis, role: Role, witness: Option<NodeId>) -> Arc<Self> {
        let state = State {
            role,
            round: 1,
            witness,
            answer: Answer::default(),
            ending: None,
            shown_ending: None,
            ended_at: None,
            accepted: false,
            leaving: false,
            notes: Vec::new(),
        };
        let deadline = now + terms.left_ms;
        Arc::new(Self { terms, deadline, state: Mutex::new(state), changed: watch::channel(0).0 })
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the present witness and round.
    pub(crate) fn witness_and_round(&self) -> (Option<NodeId>, u64) {
        // One guard for both: a second lock in the same statement would wait for the first forever.
        let state = self.state();
        (state.witness.clone(), state.round)
    }

    /// Returns the owner whose ending this entry waits for as the witness.
    pub(crate) fn awaited_owner(&self) -> Option<NodeId> {
        let state = self.state();
        match &state.role {
            Role::Witness(_, owner) if state.ending.is_none() => Some(owner.clone()),
            _ => None,
        }
    }

    /// Wakes whoever waits for a change.
    pub(crate) fn touch(&self) {
        self.changed.send_modify(|count| *count += 1);
    }

    pub(crate) fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Waits until a condition holds.
    pub(crate) async fn wait_for(&self, condition: impl Fn(&State) -> bool) {
        let mut changes = self.changes();
        while !condition(&self.state()) {
            if changes.changed().await.is_err() {
                return;
            }
        }
    }

    /// Returns the terms with the time that is left now.
    pub(crate) fn terms_now(&self, now: Millis) -> Terms {
        Terms { left_ms: self.deadline.saturating_sub(now), ..self.terms.clone() }
    }

    /// Returns the time that is left until the deadline.
    pub(crate) fn left(&self, now: Millis) -> Duration {
        Duration::from_millis(self.deadline.saturating_sub(now))
    }

    /// Keeps a decision for `explain`.
    pub(crate) fn note(&self, text: String) {
        let mut state = self.state();
        if state.notes.len() < NOTES {
            state.notes.push(Note { at_unix_ms: Clock::unix_ms(), text });
        }
    }

    /// Returns what `explain` shows.
    pub fn view(&self) -> View {
        let state = self.state();
        let role = match &state.role {
            Role::Owner(owner) => format!("owner {:?}", owner.state()),
            Role::Witness(witness, owner) => format!("witness {:?} for {owner}", witness.state()),
        };
        View {
            role,
            chunks: state.answer.len(),
            ending: state.ending.clone(),
            notes: state.notes.clone(),
        }
    }
}

impl State {
    /// Appends a chunk of the given number.
    pub(crate) fn append(&mut self, number: usize, tokens: u32, data: Bytes) -> bool {
        self.answer.append(number, Chunk { tokens, data })
    }
}
