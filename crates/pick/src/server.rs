//! A backend server as one entry sees it.

use crate::outcome::OutcomeCounts;
use kernel::{Millis, Name};
use std::net::SocketAddr;

/// A server as it registered itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerInfo {
    /// Name of this run of the server.
    pub id: Name,
    /// When this run began, in milliseconds since 1970; 0 when it is not told.
    pub started_unix_ms: u64,
    /// Its service.
    pub service: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// Time until it is reclaimed, in milliseconds, when it was told.
    pub reclaimed_in_ms: Option<u64>,
    /// Time until it works at full speed, in milliseconds.
    pub warmup_ms: u64,
}

/// Requests that entries have open at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests.
    pub open: u32,
    /// Prompt tokens of those that have not answered yet.
    pub pending_prompt_tokens: u64,
}

/// A backend server as one entry sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// What it registered.
    pub info: ServerInfo,
    /// What this entry has open there.
    pub local: Load,
    /// What the other entries have open there.
    pub remote: Load,
    /// How it did lately.
    pub(crate) outcomes: OutcomeCounts,
    /// No new work before this time.
    pub(crate) backoff_until: Millis,
    /// Shuns in a row.
    pub(crate) unreachable_count: u32,
}

impl Server {
    pub(crate) fn new(info: ServerInfo) -> Self {
        Self {
            info,
            local: Load::default(),
            remote: Load::default(),
            outcomes: OutcomeCounts::default(),
            backoff_until: 0,
            unreachable_count: 0,
        }
    }

    /// Returns what all entries have open there.
    pub fn load(&self) -> Load {
        Load {
            open: self.local.open + self.remote.open,
            pending_prompt_tokens: self.local.pending_prompt_tokens
                + self.remote.pending_prompt_tokens,
        }
    }
}
