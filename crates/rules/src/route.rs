//! A route: which requests it takes, and how they are served.

use kernel::Name;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// It may run any number of times.
    Idempotent,
    /// It runs at most once.
    Once,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another server may go on after the last event that arrived.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Tells whether the request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Tells whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that gets part of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its weight among the services of the route.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, for logs.
    pub name: Name,
    /// Start of the paths that it takes.
    pub prefix: Name,
    /// Whether its requests may run more than once.
    pub retry_policy: RetryPolicy,
    /// Longest time that a request is kept, in milliseconds.
    pub timeout_ms: u64,
    /// Target for the answer, or the first event of a stream, in milliseconds.
    pub target_latency_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds; 0 for none.
    pub target_gap_ms: u64,
    /// Rank; 0 is served first.
    pub priority: u8,
    /// Services that take its requests.
    pub services: Vec<WeightedService>,
    /// Most servers that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether requests bring a prompt that engines cache.
    pub has_prompt: bool,
}

impl Route {
    /// Chooses a service by the weights; `random` is a random number.
    pub fn choose_service(&self, random: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut at = random.checked_rem(total)?;
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if at < weight {
                return Some(&weighted.service);
            }
            at -= weight;
        }
        None
    }
}
