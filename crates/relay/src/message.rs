//! Messages between entries. Each is one datagram of JSON.

use coord::{Counts, QuarantineNews, Window};
use infra::{Change, Stored};
use kernel::{Millis, Name};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// A message with its sender.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct Envelope {
    /// Name of the sender.
    pub(crate) from: Name,
    /// Incarnation of the sender.
    pub(crate) incarnation: u64,
    /// The message.
    pub(crate) message: Message,
}

/// A message between entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) enum Message {
    /// The present state of the sender.
    State(Box<EntryState>),
    /// Requests the freshness of the receiver's rules, and the changes that the sender lacks.
    #[serde(rename = "Vouch")]
    FreshnessQuery {
        /// Send time on the sender's boot clock, in milliseconds; copied into the reply.
        asked_at: Millis,
        /// Revision up to which the sender has all changes, by prefix.
        known: BTreeMap<WatchedPrefix, i64>,
        /// Whether the store does not answer the sender, so that it has to get all changes from peers.
        #[serde(default)]
        store_lost: bool,
    },
    /// Reports the freshness of the sender's rules.
    #[serde(rename = "Vouched")]
    FreshnessReply {
        /// Send time of the query on the receiver's boot clock, in milliseconds.
        asked_at: Millis,
        /// Version of the rules.
        version: u64,
        /// Age of the last confirmation, in milliseconds.
        age: Millis,
        /// Changes that the receiver lacks.
        #[serde(rename = "told")]
        batches: Vec<ChangeBatch>,
    },
    /// Requests quota units.
    #[serde(rename = "Ask")]
    QuotaRequest {
        /// Request number; copied into the reply.
        number: u64,
        /// Organisation that the quota belongs to.
        organisation: Name,
        /// Quota units requested.
        units: f64,
    },
    /// Deposits quota units, by organisation, at an entry that pools them.
    QuotaDeposit(BTreeMap<Name, f64>),
    /// Requests retries from the retry budget.
    #[serde(rename = "AskRepeats")]
    RetryRequest {
        /// Request number; copied into the reply.
        number: u64,
        /// Service whose requests are retried.
        service: Name,
        /// Number of retries requested.
        count: u32,
    },
    /// Grants retries from the sender's share of the retry budget.
    #[serde(rename = "GiveRepeats")]
    RetryGrant {
        /// Number of the request.
        number: u64,
        /// Service whose requests are retried.
        service: Name,
        /// Number of retries granted.
        count: u32,
    },
    /// Tells the entries that keep it which software version began a stream.
    StreamBegan {
        /// ID of the caller's request.
        request: Name,
        /// Version of the server that wrote the first event.
        software_version: Name,
    },
    /// Asks the receiver to write to the store which software version began these streams.
    RecordOrigins {
        /// Version of the servers that wrote the first events.
        software_version: Name,
        /// IDs of the callers' requests.
        requests: Vec<Name>,
    },
    /// Asks which software version began a stream.
    StreamQuery {
        /// Query number; copied into the reply.
        number: u64,
        /// ID of the caller's request that began the stream.
        request: Name,
    },
    /// Asks which software version is the only one that can have begun a stream of a service, as the
    /// store tells the receiver from now on.
    SoleVersionQuery {
        /// Query number; copied into the reply.
        number: u64,
        /// The service.
        service: Name,
    },
    /// Replies to a query for a stream, or for the only version.
    StreamOrigin {
        /// Number of the query.
        number: u64,
        /// Version that began the stream, or the only one; `None` if the sender does not know.
        software_version: Option<Name>,
    },
    /// Grants quota units from the sender's share.
    #[serde(rename = "Give")]
    QuotaGrant {
        /// Number of the request.
        number: u64,
        /// Organisation that the quota belongs to.
        organisation: Name,
        /// Quota units granted.
        units: f64,
        /// Time for which the sender has had few units of the organisation, in milliseconds; `None` if it is
        /// no pool.
        #[serde(default)]
        scarce_ms: Option<Millis>,
    },
}

impl Message {
    /// Whether the sender waits for a reply.
    pub(crate) fn is_question(&self) -> bool {
        matches!(
            self,
            Self::FreshnessQuery { .. }
                | Self::QuotaRequest { .. }
                | Self::RetryRequest { .. }
                | Self::StreamQuery { .. }
                | Self::SoleVersionQuery { .. }
        )
    }
}

/// A key prefix of the store that every entry watches.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub(crate) enum WatchedPrefix {
    /// Registrations of the entries, and the lease record of the leader.
    Live,
    /// Registrations of the backend servers.
    Servers,
}

/// All changes under a prefix between two revisions.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct ChangeBatch {
    /// The prefix.
    #[serde(rename = "followed")]
    pub(crate) prefix: WatchedPrefix,
    /// The changes.
    pub(crate) changes: Vec<PeerChange>,
    /// Revision up to which the batch is complete.
    pub(crate) through: i64,
    /// Whether the sender knows of no later change.
    #[serde(default)]
    pub(crate) is_last: bool,
    /// Age of what the store itself told the sender, in milliseconds; `None` if it does not know.
    #[serde(default)]
    pub(crate) age: Option<Millis>,
}

/// Maximum size of a registration as a JSON string, in bytes. Several fit into one message.
const MAX_REGISTRATION_BYTES: usize = 8 << 10;

/// Returns the size of a registration as a JSON string, in bytes; `None` if it cannot be sent to peers: it is no
/// text, or larger than [`MAX_REGISTRATION_BYTES`].
pub(crate) fn registration_size(value: &[u8]) -> Option<usize> {
    // Encoded, a value is at least as large as it is here.
    if value.len() > MAX_REGISTRATION_BYTES {
        return None;
    }
    let encoded = serde_json::to_string(std::str::from_utf8(value).ok()?).ok()?;
    Some(encoded.len()).filter(|len| *len <= MAX_REGISTRATION_BYTES)
}

/// A change of one key, as sent by a peer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(crate) struct PeerChange {
    /// The key.
    pub(crate) key: String,
    /// The value; `None` if the key was removed, empty if the value cannot be sent.
    pub(crate) value: Option<String>,
    /// Revision of the change.
    pub(crate) revision: i64,
}

impl From<Change> for PeerChange {
    fn from(change: Change) -> Self {
        let Change { key, stored, revision } = change;
        // Values that cannot be sent were replaced by empty ones when they were read.
        let text = |stored: Stored| String::from_utf8(stored.value.into()).unwrap_or_default();
        Self { key, value: stored.map(text), revision }
    }
}

impl From<PeerChange> for Change {
    fn from(change: PeerChange) -> Self {
        let PeerChange { key, value, revision } = change;
        Self { key, stored: value.map(|text| Stored { value: text.into(), revision }), revision }
    }
}

/// The present state of an entry.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub(crate) struct EntryState {
    /// Whether the entry is stopping.
    pub(crate) stopping: bool,
    /// Age of its rules, in milliseconds.
    #[serde(rename = "sight_age")]
    pub(crate) rules_age: Option<Millis>,
    /// Number of open requests of callers.
    pub(crate) open: u32,
    /// Open requests and unread prompt tokens, by server.
    pub(crate) loads: BTreeMap<Name, (u32, u64)>,
    /// Requests that began at this entry, by window and organisation; only some messages have them.
    pub(crate) counts: BTreeMap<Window, Counts>,
    /// Work requested by its callers, in milliseconds of server time per second, by service.
    pub(crate) work: BTreeMap<Name, f64>,
    /// Limits of servers in requests per second, `None` if lifted, with the age of that news in
    /// milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) limits: BTreeMap<Name, (Option<f64>, Millis)>,
    /// Servers that are or were brittle: the number of refusals in a second at which they fall over, `None` if
    /// they no longer do, the age of that news, and the time since they last refused a request. Times
    /// are in milliseconds.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) brittle: BTreeMap<Name, (Option<f64>, Millis, Option<Millis>)>,
    /// Time since the sender last reached a server, in milliseconds, by service; only recent ones.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub(crate) reached: BTreeMap<Name, Millis>,
    /// Services whose servers the sender does not reach.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub(crate) cut: BTreeSet<Name>,
    /// Crashes of servers, and prompt parts in quarantine.
    #[serde(default, skip_serializing_if = "QuarantineNews::is_empty")]
    pub(crate) quarantine: QuarantineNews,
}
