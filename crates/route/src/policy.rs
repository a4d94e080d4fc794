//! Settings of the choice.

use kernel::Millis;

/// Settings of the choice; each part can be switched off to measure what it brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Share of a latency target that a prediction may use.
    pub headroom: f64,
    /// Share of its batch up to which a server is filled before another one is used; 0 uses all.
    pub fill: f64,
    /// Time for which the servers of a past peak stay in use, in milliseconds.
    pub peak_ms: Millis,
    /// Load of a server over the mean of those in use, up to which a prompt goes where its start
    /// is cached; 0 ignores the cache.
    pub load_bound: f64,
    /// Whether other entries are expected to have sent as much as this one since the last report.
    pub count_others: bool,
    /// Whether predictions are corrected by the measured times to the first token.
    pub correct: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            headroom: 0.7,
            fill: 0.5,
            peak_ms: 30_000,
            load_bound: 1.25,
            count_others: true,
            correct: true,
        }
    }
}
