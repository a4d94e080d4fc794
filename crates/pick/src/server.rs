//! A backend server with its load and health.

use crate::outcome::OutcomeCounts;
use kernel::{Millis, Name};
use std::net::SocketAddr;

/// Backoff after a server was unreachable, in milliseconds; doubles each time until the server
/// answers.
const UNREACHABLE_BACKOFF_MS: Millis = 300;
/// Maximum number of times that the backoff of an unreachable server doubles.
const MAX_DOUBLINGS: u32 = 4;

/// Data that a server registered in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerInfo {
    /// Name of the server instance.
    pub id: Name,
    /// Start of the server instance, in milliseconds since 1970; 0 if unknown.
    pub started_unix_ms: u64,
    /// Service that the server belongs to.
    pub service: Name,
    /// Address for requests.
    pub address: SocketAddr,
    /// Version of the server's software.
    pub software_version: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Maximum number of requests that the server processes at the same time.
    pub slots: u32,
    /// Whether the server is draining and accepts no new requests.
    pub leaving: bool,
    /// Whether the cloud may reclaim the server.
    pub reclaimable: bool,
    /// Time until the server is reclaimed, in milliseconds, if this was announced.
    pub reclaimed_in_ms: Option<u64>,
    /// Time until the server reaches its full speed, in milliseconds.
    pub warmup_ms: u64,
}

/// Requests that entries have open at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Number of open requests.
    pub open: u32,
    /// Prompt tokens that the server still has to process for these requests.
    pub pending_prompt_tokens: u64,
}

/// A backend server as known to one entry.
#[derive(Clone, Debug)]
pub struct Server {
    /// Data that the server registered.
    pub info: ServerInfo,
    /// Load from requests of this entry.
    pub local: Load,
    /// Load from requests of the other entries.
    pub remote: Load,
    /// Whether the server stated in a response that it leaves. Its registration may say so later.
    pub(crate) states_leaving: bool,
    /// Recent outcomes of requests of this entry.
    pub(crate) outcomes: OutcomeCounts,
    /// Time before which the server gets no new requests.
    pub(crate) backoff_until: Millis,
    /// Time before which the server wants no requests from this entry, as it stated when it refused one.
    pub(crate) paused_until: Millis,
    /// Number of times that the server was unreachable since it last answered.
    pub(crate) unreachable_count: u32,
}

impl Server {
    /// Creates a server without load, outcomes or backoff.
    pub(crate) fn new(info: ServerInfo) -> Self {
        Self {
            info,
            local: Load::default(),
            remote: Load::default(),
            states_leaving: false,
            outcomes: OutcomeCounts::default(),
            backoff_until: 0,
            paused_until: 0,
            unreachable_count: 0,
        }
    }

    /// Whether the server gets no new requests because it leaves.
    pub fn is_leaving(&self) -> bool {
        self.info.leaving || self.states_leaving
    }

    /// Whether no connection to the server could be made since it last answered.
    pub(crate) fn is_in_doubt(&self) -> bool {
        self.unreachable_count > 0
    }

    /// Records that no connection to the server could be made.
    pub(crate) fn record_unreachable(&mut self, now: Millis) {
        self.backoff_until =
            now + (UNREACHABLE_BACKOFF_MS << self.unreachable_count.min(MAX_DOUBLINGS));
        self.unreachable_count += 1;
    }

    /// Whether the server wants no requests from this entry now.
    pub fn is_paused(&self, now: Millis) -> bool {
        now < self.paused_until
    }

    /// Returns the load from requests of all entries.
    pub fn load(&self) -> Load {
        Load {
            open: self.local.open.saturating_add(self.remote.open),
            pending_prompt_tokens: self
                .local
                .pending_prompt_tokens
                .saturating_add(self.remote.pending_prompt_tokens),
        }
    }
}
