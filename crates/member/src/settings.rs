//! Timeouts, intervals and limits of the protocol.

use kernel::Millis;
use std::net::SocketAddr;

/// Timeouts, intervals and limits of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses of entries to join through.
    pub seeds: Vec<SocketAddr>,
    /// Interval between two probes, in milliseconds.
    pub probe_interval: Millis,
    /// Time in which a probed entry must reply, in milliseconds.
    pub probe_timeout: Millis,
    /// Number of entries asked to probe an entry that did not reply.
    pub indirect_probes: usize,
    /// One in this many probes goes to an entry of another region.
    pub probes_per_remote_probe: u64,
    /// Time in which a suspected entry must refute the suspicion, in milliseconds. Applies to up to
    /// eight entries; in a larger group, it grows with the logarithm of the group size.
    pub suspicion_timeout: Millis,
    /// Time in which a suspected entry must reply to each final probe, in milliseconds; it is
    /// declared dead after the last one.
    pub final_probe_timeout: Millis,
    /// Retention of a dead entry, in milliseconds.
    pub dead_retention: Millis,
    /// Retention of the announcement that a backend server is leaving, in milliseconds.
    pub leaving_retention: Millis,
    /// Maximum number of member rows in one message; three backend server rows take the space of
    /// one.
    pub max_updates_per_message: usize,
    /// Number of sends of one update for each doubling of the group size.
    pub sends_per_doubling: u32,
    /// Maximum interval between two syncs of the whole state, in milliseconds.
    pub max_sync_interval: Millis,
    /// Interval to the next sync if more rows may differ, in milliseconds.
    pub min_sync_interval: Millis,
    /// Maximum number of rows in one sync message; a third of it if at least half of the digest
    /// buckets are equal.
    pub max_sync_rows: usize,
    /// Interval between two attempts to reach a dead entry or an unknown seed, in milliseconds.
    pub reconnect_interval: Millis,
    /// Minimum interval between two rounds of urgent updates, in milliseconds.
    pub urgent_interval: Millis,
    /// Number of entries that receive urgent updates immediately.
    pub urgent_fanout: usize,
    /// Maximum number of open exchanges.
    pub max_open_exchanges: usize,
    /// Maximum number of open final probes of suspected entries.
    pub max_open_final_probes: usize,
    /// Time between two events, in milliseconds, above which this process assumes that it was
    /// paused.
    pub pause_threshold: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval: 200,
            probe_timeout: 100,
            indirect_probes: 3,
            probes_per_remote_probe: 8,
            suspicion_timeout: 800,
            final_probe_timeout: 800,
            dead_retention: 2 * 3_600_000,
            leaving_retention: 3_600_000,
            max_updates_per_message: 6,
            sends_per_doubling: 2,
            max_sync_interval: 10_000,
            min_sync_interval: 1000,
            max_sync_rows: 96,
            reconnect_interval: 10_000,
            urgent_interval: 100,
            urgent_fanout: 2,
            max_open_exchanges: 128,
            max_open_final_probes: 64,
            pause_threshold: 600,
        }
    }
}

impl Settings {
    /// Returns the time in which a suspected entry must refute in a group of this size.
    pub(crate) fn suspicion_timeout_for(&self, members: usize) -> Millis {
        self.suspicion_timeout * u64::from(doublings(members).max(MIN_DOUBLINGS))
            / u64::from(MIN_DOUBLINGS)
    }

    /// Returns the number of sends of one update in a group of this size.
    pub(crate) fn max_sends(&self, members: usize) -> u32 {
        self.sends_per_doubling * doublings(members).max(MIN_DOUBLINGS)
    }
}

/// Doublings from one member to eight; a smaller group is treated as a group of eight.
const MIN_DOUBLINGS: u32 = 3;

/// Returns the base-2 logarithm of the group size, rounded up.
fn doublings(members: usize) -> u32 {
    members.max(2).next_power_of_two().trailing_zeros()
}
