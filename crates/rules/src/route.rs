//! Routes, which select requests by path prefix and define how they are served.

use kernel::Name;

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// The request may be executed any number of times.
    Idempotent,
    /// The request is executed at most once.
    Once,
    /// The answer is a stream of events.
    Stream {
        /// Whether another server may resume the stream after the last event that arrived.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Whether a request that may have been executed can be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service that serves part of the requests of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the other services of the route.
    pub weight: u32,
}

/// Maps the requests of a path prefix to services, and defines how they are served.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: Name,
    /// Prefix of the paths of its requests.
    pub prefix: Name,
    /// Whether its requests may be executed more than once.
    pub retry_policy: RetryPolicy,
    /// Maximum time to serve a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target time to the answer or to the first event of a stream, in milliseconds.
    pub target_latency_ms: u64,
    /// Maximum time between two events of a stream that is on time, in milliseconds; 0 for no
    /// target.
    pub target_gap_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services that its requests are distributed to.
    pub services: Vec<WeightedService>,
    /// Maximum number of servers that a request is sent to.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub public: bool,
    /// Whether requests carry a prompt that engines cache.
    pub has_prompt: bool,
}

impl Route {
    /// Chooses a service by weight from a random number; returns `None` if the weights sum to 0.
    pub fn choose_service(&self, random: u64) -> Option<&Name> {
        let total: u64 = self.services.iter().map(|weighted| u64::from(weighted.weight)).sum();
        let mut offset = random.checked_rem(total)?;
        for weighted in &self.services {
            let weight = u64::from(weighted.weight);
            if offset < weight {
                return Some(&weighted.service);
            }
            offset -= weight;
        }
        None
    }
}
