//! The backend servers as one entry sees them.

use crate::cache::PromptCacheIndex;
use crate::choose::{LatencyModel, Prompt};
use crate::outcome::{Outcome, OutcomeCounts};
use crate::server::{Load, Server, ServerInfo};
use kernel::{Millis, Name};
use std::collections::BTreeMap;

/// Time without new work after a server could not be reached, in milliseconds; doubles each time.
const UNREACHABLE_BACKOFF_MS: Millis = 300;
/// Time without new work after a server was full, in milliseconds.
const FULL_BACKOFF_MS: Millis = 60;
/// Largest number of doublings.
const MAX_DOUBLINGS: u32 = 4;

/// The backend servers as one entry sees them.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    latency_model: LatencyModel,
    servers: BTreeMap<Name, Server>,
    prompt_cache: PromptCacheIndex,
}

impl Picker {
    /// Creates a picture without servers.
    pub fn new(latency_model: LatencyModel) -> Self {
        Self { latency_model, ..Self::default() }
    }

    /// Takes in what a server registered; returns whether it changed anything.
    ///
    /// A server that starts again under its name holds nothing of before.
    pub fn upsert(&mut self, info: ServerInfo) -> bool {
        match self.servers.get_mut(&info.id) {
            Some(known) if known.info == info => false,
            Some(known) if known.info.started_unix_ms == info.started_unix_ms => {
                known.info = info;
                true
            }
            _ => {
                self.servers.insert(info.id.clone(), Server::new(info));
                true
            }
        }
    }

    /// Takes in that a server is gone.
    pub fn remove(&mut self, id: &str) -> bool {
        self.servers.remove(id).is_some()
    }

    /// Notes a request that is sent to a server.
    pub fn record_sent(&mut self, id: &Name, uncached_tokens: u64, prompt: Option<&Prompt>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.local.open += 1;
        server.local.pending_prompt_tokens += uncached_tokens;
        for part in prompt.map(Prompt::shared_parts).unwrap_or_default() {
            self.prompt_cache.record(part.id, id);
        }
    }

    /// Notes that a server has read the prompt of a request.
    pub fn record_prompt_read(&mut self, id: &str, uncached_tokens: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.local.pending_prompt_tokens =
                server.local.pending_prompt_tokens.saturating_sub(uncached_tokens);
        }
    }

    /// Notes the end of a request at a server.
    pub fn record_outcome(&mut self, id: &str, outcome: Outcome, now: Millis) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.local.open = server.local.open.saturating_sub(1);
        if server.local.open == 0 {
            server.local.pending_prompt_tokens = 0;
        }
        match outcome {
            Outcome::Answered => {
                server.outcomes.add(false, now);
                server.unreachable_count = 0;
            }
            Outcome::Failed => server.outcomes.add(true, now),
            Outcome::Unreachable => {
                server.outcomes.add(true, now);
                server.backoff_until =
                    now + (UNREACHABLE_BACKOFF_MS << server.unreachable_count.min(MAX_DOUBLINGS));
                server.unreachable_count += 1;
            }
            Outcome::Full => server.backoff_until = server.backoff_until.max(now + FULL_BACKOFF_MS),
            Outcome::Unknown => {}
        }
    }

    /// Takes in what the other entries have open, by server.
    pub fn set_remote_loads(&mut self, loads: &BTreeMap<Name, Load>) {
        for (id, server) in &mut self.servers {
            server.remote = loads.get(id).copied().unwrap_or_default();
        }
    }

    /// Returns what this entry has open, by server.
    pub fn local_loads(&self) -> impl Iterator<Item = (&Name, Load)> {
        let busy = self.servers.values().filter(|server| server.local.open > 0);
        busy.map(|server| (&server.info.id, server.local))
    }

    /// Finds a server.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Lists the servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the speed of engines.
    pub fn latency_model(&self) -> &LatencyModel {
        &self.latency_model
    }

    pub(crate) fn prompt_cache(&self) -> &PromptCacheIndex {
        &self.prompt_cache
    }

    pub(crate) fn service_outcomes(&self, service: &Name, now: Millis) -> OutcomeCounts {
        let of_service = self.servers.values().filter(|server| server.info.service == *service);
        of_service.fold(OutcomeCounts::default().at(now), |sum, server| {
            sum.merge(&server.outcomes.at(now))
        })
    }
}
