//! What entries tell each other of crashes and of prompt parts in quarantine.

use kernel::{Millis, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Start of one run of a server.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ServerRun {
    /// Name of the server.
    pub server: Name,
    /// Start of the server, in milliseconds since 1970; 0 if unknown. A server may restart under its
    /// name.
    pub started_unix_ms: u64,
}

/// Evidence and decisions of an entry, for the others. Ages are in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct QuarantineNews {
    /// Recent crashes.
    pub crashes: Vec<CrashNews>,
    /// Ages of the last survived answers, by part that another entry may suspect.
    pub survived: BTreeMap<u64, Millis>,
    /// Parts in quarantine.
    pub held: BTreeMap<u64, HoldNews>,
}

impl QuarantineNews {
    /// Whether there are no news.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.survived.is_empty() && self.held.is_empty()
    }
}

/// A crash, for other entries.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashNews {
    /// The run that ended.
    pub run: ServerRun,
    /// Age of the crash, in milliseconds.
    pub age: Millis,
    /// Parts of the prompts that the server had just begun to answer.
    pub suspects: BTreeMap<u64, SuspectNews>,
}

/// A part of a prompt that a server had just begun to answer when it crashed, for other entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SuspectNews {
    /// Time from the beginning of the last such answer to the crash, in milliseconds.
    pub answered_ms: Millis,
    /// Index of the part in its prompt.
    pub index: usize,
    /// Whether the server was not seen to work on it.
    #[serde(default)]
    pub is_weak: bool,
}

/// A quarantine, for other entries.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct HoldNews {
    /// Age of the last request that was refused, in milliseconds.
    pub request_age: Millis,
    /// Age of the last trial, or of the quarantine, in milliseconds.
    pub trial_age: Millis,
}
