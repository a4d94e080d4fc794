//! Messages between entries, each a datagram.

use coord::{Counts, Window};
use infra::{Change, Stored};
use kernel::{Millis, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A message and who sent it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Envelope {
    /// Name of the sender.
    pub(crate) from: Name,
    /// Run of the sender.
    pub(crate) incarnation: u64,
    /// The message.
    pub(crate) message: Message,
}

/// A message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Message {
    /// What the sender does at present.
    State(State),
    /// The question how fresh the receiver's rules are.
    Vouch {
        /// When it was sent, on the boot clock of the sender; the answer bears it.
        asked_at: Millis,
        /// Revision up to which the sender knows all changes, by what is followed.
        known: BTreeMap<Followed, i64>,
    },
    /// How fresh the sender's rules are.
    Vouched {
        /// When the question was sent, on the boot clock of the receiver.
        asked_at: Millis,
        /// Version of the rules.
        version: u64,
        /// Age of the last confirmation, in milliseconds.
        age: Millis,
        /// Changes that the receiver did not know.
        told: Vec<Told>,
    },
    /// A request for units of a quota.
    Ask {
        /// Number that the answer bears.
        number: u64,
        /// The organisation.
        organisation: Name,
        /// Units wanted.
        units: f64,
    },
    /// A request for repeats from the budget.
    AskRepeats {
        /// Number that the answer bears.
        number: u64,
        /// The service.
        service: Name,
        /// Repeats wanted.
        count: u32,
    },
    /// Repeats from the budget, taken from the sender.
    GiveRepeats {
        /// Number of the request.
        number: u64,
        /// The service.
        service: Name,
        /// The repeats.
        count: u32,
    },
    /// Units of a quota, taken from the sender.
    Give {
        /// Number of the request.
        number: u64,
        /// The organisation.
        organisation: Name,
        /// The units.
        units: f64,
    },
}

/// What entries follow in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum Followed {
    /// The entries and the holder of the duties.
    Live,
    /// The backend servers.
    Servers,
}

/// All changes under a prefix between two revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Told {
    /// What they concern.
    pub(crate) followed: Followed,
    /// The changes.
    pub(crate) changes: Vec<ToldChange>,
    /// The revision that they lead to.
    pub(crate) through: i64,
}

/// A change of one key.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ToldChange {
    /// The key.
    pub(crate) key: String,
    /// The value; none when the key was removed, empty when it is no text.
    pub(crate) value: Option<String>,
    /// Revision of the change.
    pub(crate) revision: i64,
}

impl From<Change> for ToldChange {
    fn from(change: Change) -> Self {
        let Change { key, stored, revision } = change;
        // What is no text cannot be read as a registration either; nor can the empty text.
        let text = |stored: Stored| String::from_utf8(stored.value.into()).unwrap_or_default();
        Self { key, value: stored.map(text), revision }
    }
}

impl From<ToldChange> for Change {
    fn from(told: ToldChange) -> Self {
        let ToldChange { key, value, revision } = told;
        Self { key, stored: value.map(|text| Stored { value: text.into(), revision }), revision }
    }
}

/// What an entry does at present.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct State {
    /// Whether it is stopping.
    pub(crate) stopping: bool,
    /// Age of its rules, in milliseconds.
    pub(crate) sight_age: Option<Millis>,
    /// Requests of callers that are open.
    pub(crate) open: u32,
    /// Requests and unread prompt tokens that it has open, by server.
    pub(crate) loads: BTreeMap<Name, (u32, u64)>,
    /// Requests that began here, by window and organisation; not in every message.
    pub(crate) counts: BTreeMap<Window, Counts>,
    /// Work that callers ask of it, in milliseconds of a server a second, by service.
    pub(crate) work: BTreeMap<Name, f64>,
}
