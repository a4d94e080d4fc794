//! The backend servers as one entry sees them.

use crate::choice::Class;
use crate::demand::Demand;
use crate::policy::Policy;
use crate::prefixes::Prefixes;
use kernel::{Millis, Name};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What a server reported of its load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Prompt tokens waiting to be read.
    pub waiting_prompt_tokens: u64,
    /// Milliseconds of one step.
    pub step_ms: f64,
    /// Prompt tokens read in a second.
    pub prompt_tokens_per_s: f64,
    /// Requests that fit into the batch.
    pub batch: u32,
}

impl Default for LoadReport {
    fn default() -> Self {
        let rates = (10.0, 10_000.0);
        Self {
            running: 0,
            waiting: 0,
            waiting_prompt_tokens: 0,
            step_ms: rates.0,
            prompt_tokens_per_s: rates.1,
            batch: 32,
        }
    }
}

/// A backend server as one entry sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// Name of its VM.
    pub name: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Price of an hour.
    pub price_per_hour: f64,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// Whether it is a model engine.
    pub is_model: bool,
    /// Services, or models for an engine.
    pub serves: Vec<Name>,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Its last report.
    pub report: LoadReport,
    /// When the report came, in milliseconds.
    pub reported_at: Millis,
    /// Requests that this entry has open there.
    pub local_requests: u32,
    /// Requests that this entry sent since the last report.
    pub sent_since_report: u32,
    /// Prompt tokens of those.
    pub prompt_tokens_since_report: u64,
    /// Failures in a row.
    pub failures: u32,
    /// No new work before this time, in milliseconds.
    pub backoff_until: Millis,
}

/// The backend servers by name.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    pub(crate) policy: Policy,
    pub(crate) entries: u32,
    pub(crate) demand: BTreeMap<(Class, Name), Demand>,
    pub(crate) prefixes: Prefixes,
    servers: BTreeMap<Name, Server>,
}

/// Milliseconds without new work after a failure; doubles with each one in a row.
const SHUN_MS: Millis = 250;
/// Largest number of doublings.
const SHUN_DOUBLINGS: u32 = 5;

impl Pool {
    /// Creates a pool without any server.
    pub fn new(policy: Policy) -> Self {
        Self { policy, entries: 1, ..Self::default() }
    }

    /// Sets the policy.
    pub fn set_policy(&mut self, policy: Policy) {
        self.policy = policy;
    }

    /// Sets how many entries send requests to the servers.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries;
    }

    /// Takes the VM list in: new servers appear, missing ones go, a leaving one never comes back.
    pub fn update(&mut self, listed: Vec<Server>) {
        let mut old = std::mem::take(&mut self.servers);
        for mut server in listed {
            if let Some(known) = old.remove(&server.name) {
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

    /// Notes that a server is leaving; returns whether that was news.
    pub fn mark_leaving(&mut self, name: &str) -> bool {
        let server = self.servers.get_mut(name).filter(|server| !server.leaving);
        server.map(|server| server.leaving = true).is_some()
    }

    /// Takes a load report in.
    pub fn record_report(&mut self, name: &str, report: LoadReport, now: Millis) {
        if let Some(server) = self.servers.get_mut(name) {
            server.report = report;
            server.reported_at = now;
            server.sent_since_report = 0;
            server.prompt_tokens_since_report = 0;
        }
    }

    /// Notes a request sent to a server, and that it reads a prompt with this start.
    pub fn record_sent(&mut self, name: &str, prefix: u64, prompt_tokens: u64) {
        if let Some(server) = self.servers.get_mut(name) {
            if prefix != 0 {
                self.prefixes.put(prefix, &server.name);
            }
            server.local_requests += 1;
            server.sent_since_report += 1;
            server.prompt_tokens_since_report += prompt_tokens;
        }
    }

    /// Takes in that a start of a prompt is no longer cached.
    pub fn forget_prefix(&mut self, prefix: u64) {
        self.prefixes.remove(prefix);
    }

    /// Notes the end of a request at a server.
    pub fn record_ended(&mut self, name: &str, failed: bool, now: Millis) {
        let Some(server) = self.servers.get_mut(name) else { return };
        server.local_requests = server.local_requests.saturating_sub(1);
        server.failures = if failed { server.failures + 1 } else { 0 };
        if failed {
            let doublings = (server.failures - 1).min(SHUN_DOUBLINGS);
            server.backoff_until = now + (SHUN_MS << doublings);
        }
    }

    /// Returns a server by its name.
    pub fn get(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// Lists the servers.
    pub fn all(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }
}
