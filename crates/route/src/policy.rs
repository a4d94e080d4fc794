//! Settings of the choice.

use kernel::Millis;

/// Settings of the choice; each part can be switched off to measure what it brings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Policy {
    /// Share of its batch up to which a server is filled before another one is used; 0 uses all.
    pub fill: f64,
    /// Time over which the demand is averaged, in milliseconds.
    pub average_ms: Millis,
    /// Load of a server over the mean of those in use, up to which a prompt goes where its start
    /// is cached; 0 ignores the cache.
    pub load_bound: f64,
    /// Whether other entries are expected to have sent as much as this one since the last report.
    pub count_others: bool,
    /// Tokens of prompt and answer from which a request goes to a server that is not reclaimed; 0
    /// treats all alike.
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
