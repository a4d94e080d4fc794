//! Times and limits of the protocol.

use kernel::Millis;
use std::net::SocketAddr;

/// Times and limits of the protocol.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Addresses to join by.
    pub seeds: Vec<SocketAddr>,
    /// Time between two probes, in milliseconds.
    pub probe_every: Millis,
    /// Time a probed entry may take to answer, in milliseconds.
    pub probe_timeout: Millis,
    /// Entries that are asked to probe one that did not answer.
    pub indirect_probes: usize,
    /// One probe in this many goes to another region.
    pub far_probe_every: u64,
    /// Time a suspected entry has to refute in a group of eight, in milliseconds; grows with the
    /// logarithm of the group.
    pub suspect_for: Millis,
    /// Time a suspected entry has to answer the last probe before it counts as dead, in
    /// milliseconds.
    pub last_call: Millis,
    /// Time a dead entry is remembered, in milliseconds.
    pub remember_dead: Millis,
    /// Time the news that a backend server is leaving is remembered, in milliseconds.
    pub remember_leaving: Millis,
    /// Rows on members in one message, at most; three rows on backend servers take the room of one.
    pub updates_per_message: usize,
    /// Times one piece of news is sent, for each doubling of the group.
    pub sends_per_doubling: u32,
    /// Time between two comparisons of the whole state, in milliseconds.
    pub sync_every: Millis,
    /// Time to the next comparison after one that found a difference, in milliseconds.
    pub sync_again: Millis,
    /// Rows in one message of a comparison, at most; a third of it when most is the same already.
    pub sync_rows: usize,
    /// Time between two attempts to reach a dead entry or an unknown seed, in milliseconds.
    pub reconnect_every: Millis,
    /// Time between two rounds of urgent news, in milliseconds.
    pub urgent_every: Millis,
    /// Entries that hear urgent news at once.
    pub urgent_fanout: usize,
    /// Exchanges that may be open at once.
    pub open_exchanges: usize,
    /// Last probes of suspected entries that may be open at once.
    pub open_last_calls: usize,
    /// Gap between two ticks after which this process takes itself for paused, in milliseconds.
    pub pause: Millis,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_every: 200,
            probe_timeout: 100,
            indirect_probes: 3,
            far_probe_every: 8,
            suspect_for: 800,
            last_call: 800,
            remember_dead: 2 * 3_600_000,
            remember_leaving: 3_600_000,
            updates_per_message: 6,
            sends_per_doubling: 2,
            sync_every: 10_000,
            sync_again: 1000,
            sync_rows: 96,
            reconnect_every: 10_000,
            urgent_every: 100,
            urgent_fanout: 2,
            open_exchanges: 128,
            open_last_calls: 64,
            pause: 600,
        }
    }
}

impl Settings {
    /// Returns the time a suspected entry has to refute in a group of this size.
    pub(crate) fn suspicion(&self, members: usize) -> Millis {
        self.suspect_for * u64::from(doublings(members).max(MIN_DOUBLINGS))
            / u64::from(MIN_DOUBLINGS)
    }

    /// Returns the times that one piece of news is sent in a group of this size.
    pub(crate) fn sends(&self, members: usize) -> u32 {
        self.sends_per_doubling * doublings(members).max(MIN_DOUBLINGS)
    }
}

/// Doublings to a group of eight; a smaller group is treated like one of eight.
const MIN_DOUBLINGS: u32 = 3;

/// Returns the doublings from one member to this number, rounded up.
fn doublings(members: usize) -> u32 {
    members.max(2).next_power_of_two().trailing_zeros()
}
