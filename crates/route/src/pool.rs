//! Backend servers, as known to one entry.

use crate::choice::ServerClass;
use crate::demand::Demand;
use crate::policy::Policy;
use crate::prefixes::Prefixes;
use kernel::{Millis, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Load that a model engine reported.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Number of requests in the running batch.
    pub running: u32,
    /// Number of requests that wait for a batch slot.
    pub waiting: u32,
    /// Number of prompt tokens that wait to be read.
    pub waiting_prompt_tokens: u64,
    /// Duration of one step of the batch, in milliseconds.
    pub step_ms: f64,
    /// Prompt tokens that the engine reads per second.
    pub prompt_tokens_per_s: f64,
    /// Maximum number of requests in the batch.
    pub batch: u32,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self {
            running: 0,
            waiting: 0,
            waiting_prompt_tokens: 0,
            step_ms: 10.0,
            prompt_tokens_per_s: 10_000.0,
            batch: 32,
        }
    }
}

/// A backend server, as known to one entry.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name of the VM.
    pub name: Name,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Price of the VM per hour.
    pub price_per_hour: f64,
    /// Whether the cloud provider can reclaim the VM.
    pub reclaimable: bool,
    /// Whether it is a model engine rather than a plain service.
    pub is_model: bool,
    /// Services that it provides; for a model engine, its models.
    pub serves: Vec<Name>,
    /// Whether it is leaving and accepts no new requests.
    pub leaving: bool,
    /// Last load report.
    pub report: LoadReport,
    /// Time at which the last load report arrived, in milliseconds.
    pub reported_at: Millis,
    /// Number of open requests from this entry.
    pub local_requests: u32,
    /// Number of requests that this entry sent since the last load report.
    pub sent_since_report: u32,
    /// Prompt tokens of the requests that this entry sent since the last load report.
    pub prompt_tokens_since_report: u64,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Time before which no new requests are sent to it, in milliseconds.
    pub backoff_until: Millis,
}

/// The backend servers known to one entry, and what it needs to choose among them.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) policy: Policy,
    /// Number of entries that send requests to the servers.
    pub(crate) entries: u32,
    /// Average demand for each model or plain service, by class of server.
    pub(crate) demand: BTreeMap<(ServerClass, Name), Demand>,
    pub(crate) prefixes: Prefixes,
    servers: BTreeMap<Name, Server>,
}

/// Backoff after a failure, in milliseconds; doubles with each consecutive failure.
const BACKOFF_MS: Millis = 250;
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

impl Pool {
    /// Creates a pool without servers.
    pub fn new(policy: Policy) -> Self {
        Self { policy, entries: 1, ..Self::default() }
    }

    /// Replaces the policy for the choice of a server.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets the number of entries that send requests to the servers.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Applies the VM list: adds new servers and removes missing ones. A server that was marked as
    /// leaving remains marked even if the list shows it as live.
    pub fn update(&mut self, listed: Vec<Server>) {
        let mut known_servers = std::mem::take(&mut self.servers);
        for mut server in listed {
            if let Some(known) = known_servers.remove(&server.name) {
                server.leaving |= known.leaving;
                server = Server {
                    leaving: server.leaving,
                    serves: server.serves,
                    price_per_hour: server.price_per_hour,
                    ..known
                };
            }
            self.servers.insert(server.name.clone(), server);
        }
    }

    /// Marks a server as leaving. Returns whether it is known and was not marked before.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let server = self.servers.get_mut(name).filter(|server| !server.leaving);
        server.map(|server| server.leaving = true).is_some()
    }

    /// Records a load report and resets the counters of requests sent since the last one.
    pub fn record_report(&mut self, name: &str, report: LoadReport, now: Millis) {
        if let Some(server) = self.servers.get_mut(name) {
            server.report = report;
            server.reported_at = now;
            server.sent_since_report = 0;
            server.prompt_tokens_since_report = 0;
        }
    }

    /// Records a request sent to a server. The server is then assumed to cache the prompt prefix,
    /// unless it is 0.
    pub fn record_sent(&mut self, name: &str, prefix: u64, prompt_tokens: u64) {
        if let Some(server) = self.servers.get_mut(name) {
            if prefix != 0 {
                self.prefixes.insert(prefix, &server.name);
            }
            server.local_requests += 1;
            server.sent_since_report += 1;
            server.prompt_tokens_since_report += prompt_tokens;
        }
    }

    /// Removes a prompt prefix that is no longer cached.
    pub fn forget_prefix(&mut self, prefix: u64) {
        self.prefixes.remove(prefix);
    }

    /// Records the end of a request at a server; after a failure, the server is in backoff.
    pub fn record_ended(&mut self, name: &str, failed: bool, now: Millis) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.local_requests = server.local_requests.saturating_sub(1);
        server.failures = if failed { server.failures + 1 } else { 0 };
        if failed {
            let doublings = (server.failures - 1).min(MAX_BACKOFF_DOUBLINGS);
            server.backoff_until = now + (BACKOFF_MS << doublings);
        }
    }

    /// Returns the server with this name.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Returns all servers, in the order of their names.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }
}
