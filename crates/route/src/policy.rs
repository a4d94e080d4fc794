//! Settings of the choice of a backend server.

use kernel::Millis;

/// Settings of the choice of a backend server. Each rule can be disabled, to measure its effect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Share of its batch up to which a server is filled before the next one is used; 0 uses all
    /// servers.
    pub fill: f64,
    /// Time constant of the moving average of the demand, in milliseconds.
    pub average_ms: Millis,
    /// Maximum load of a server, as a multiple of the mean load of the servers in use, up to which
    /// it is chosen because it has cached the prompt prefix; 0 ignores the cache.
    pub load_bound: f64,
    /// Whether to assume that each other entry sent as much as this one since the last load report.
    pub count_others: bool,
    /// Minimum number of prompt and answer tokens from which a request goes to a server that
    /// cannot be reclaimed; 0 treats all requests alike.
    pub guard_tokens: u64,
}

impl From<&conf::Policy> for Policy {
    fn from(policy: &conf::Policy) -> Self {
        Self { fill: policy.fill, guard_tokens: policy.guard_tokens, ..Self::default() }
    }
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            fill: 0.35,
            average_ms: 1_000,
            load_bound: 2.0,
            count_others: true,
            guard_tokens: 8_192,
        }
    }
}
