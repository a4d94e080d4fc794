//! The backend servers that an entry knows.

use crate::cache::PromptCacheIndex;
use crate::choose::{LatencyModel, Prompt};
use crate::outcome::{Outcome, OutcomeCounts};
use crate::peer_loads::PeerLoads;
use crate::server::{Load, Server, ServerInfo};
use kernel::{Millis, Name};
use std::collections::{BTreeMap, BTreeSet};

/// Backoff after a server was full, in milliseconds.
const FULL_BACKOFF_MS: Millis = 60;

/// The backend servers that an entry knows, with their load and recent outcomes.
#[derive(Clone, Debug, Default)]
pub struct Picker {
    latency_model: LatencyModel,
    servers: BTreeMap<Name, Server>,
    /// Number of servers of each software version, by service.
    versions: BTreeMap<Name, BTreeMap<Name, usize>>,
    prompt_cache: PromptCacheIndex,
    peer_loads: PeerLoads,
    /// Time until which servers want no requests from this entry, by name. It outlives what the entry
    /// knows of a server otherwise: a registration may lapse while the server rests.
    pauses: BTreeMap<Name, Millis>,
}

impl Picker {
    /// Creates a picker without servers.
    pub fn new(latency_model: LatencyModel) -> Self {
        Self { latency_model, ..Self::default() }
    }

    /// Adds a server or replaces its registered data; returns whether anything changed.
    ///
    /// A server that restarted under the same name starts without load, outcomes, backoff or cached
    /// prompts.
    pub fn upsert(&mut self, info: ServerInfo) -> bool {
        match self.servers.get_mut(&info.id) {
            Some(known) if known.info == info => return false,
            Some(known) if known.info.started_unix_ms == info.started_unix_ms => {
                let before = std::mem::replace(&mut known.info, info.clone());
                self.uncount(&before);
            }
            _ => {
                self.prompt_cache.remove_server(&info.id);
                let mut server = Server::new(info.clone());
                server.paused_until = self.pauses.get(&server.info.id).copied().unwrap_or(0);
                server.remote = self.peer_loads.sum(&server.info.id);
                if let Some(before) = self.servers.insert(server.info.id.clone(), server) {
                    self.uncount(&before.info);
                }
            }
        }
        let of_service = self.versions.entry(info.service).or_default();
        *of_service.entry(info.software_version).or_default() += 1;
        true
    }

    /// Removes a server; returns whether it was known.
    pub fn remove(&mut self, id: &str) -> bool {
        let removed = self.servers.remove(id);
        if let Some(server) = &removed {
            self.uncount(&server.info);
        }
        removed.is_some()
    }

    /// Takes a server out of the numbers by software version.
    fn uncount(&mut self, info: &ServerInfo) {
        let Some(of_service) = self.versions.get_mut(&info.service) else { return };
        if let Some(count) = of_service.get_mut(&info.software_version) {
            *count -= 1;
            if *count == 0 {
                of_service.remove(&info.software_version);
            }
        }
    }

    /// Records that a server stated in a response that it leaves; returns whether this is news.
    pub fn record_leaving(&mut self, id: &str) -> bool {
        let Some(server) = self.servers.get_mut(id) else { return false };
        let is_news = !server.is_leaving();
        server.states_leaving = true;
        is_news
    }

    /// Records that a server wants no requests from this entry until a time.
    pub fn record_pause(&mut self, id: &Name, until: Millis, now: Millis) {
        self.pauses.retain(|_, until| *until > now);
        let known = self.pauses.entry(id.clone()).or_insert(until);
        *known = until.max(*known);
        if let Some(server) = self.servers.get_mut(id) {
            server.paused_until = *known;
        }
    }

    /// Whether no connection to a server could be made since it last answered.
    pub(crate) fn is_in_doubt(&self, id: &str) -> bool {
        self.servers.get(id).is_some_and(Server::is_in_doubt)
    }

    /// Whether a server wants no requests from this entry now.
    pub fn is_paused(&self, id: &str, now: Millis) -> bool {
        self.pauses.get(id).is_some_and(|until| now < *until)
    }

    /// Returns the time until the first server of a service wants requests from this entry again, in
    /// milliseconds; 0 if one does now or there is none.
    pub fn pause_left(&self, service: &str, now: Millis) -> Millis {
        let pauses = self.staying(service).map(|server| server.paused_until.saturating_sub(now));
        pauses.min().unwrap_or(0)
    }

    /// Returns the servers of a service that do not leave.
    pub fn staying(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.servers
            .values()
            .filter(move |server| server.info.service == *service && !server.is_leaving())
    }

    /// Forgets the failures of requests at the servers of a service, after it was found that the path to
    /// them was at fault. Servers that were unreachable stay in doubt until they answer: some may have
    /// ended.
    pub fn forgive(&mut self, service: &str) {
        for server in self.servers.values_mut().filter(|server| server.info.service == *service) {
            server.outcomes = OutcomeCounts::default();
            server.backoff_until = 0;
        }
    }

    /// Records that a probe could not connect to a server.
    pub fn record_unreachable(&mut self, id: &str, now: Millis) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_unreachable(now);
        }
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, id: &Name, uncached_tokens: u64, prompt: Option<&Prompt>) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.local.open += 1;
        server.local.pending_prompt_tokens += uncached_tokens;
        for part in prompt.map(Prompt::shared_parts).unwrap_or_default() {
            self.prompt_cache.record(part.id, id);
        }
    }

    /// Records that a server has processed the prompt of a request.
    pub fn record_prompt_read(&mut self, id: &str, uncached_tokens: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.local.pending_prompt_tokens =
                server.local.pending_prompt_tokens.saturating_sub(uncached_tokens);
        }
    }

    /// Records the outcome of a request, which is no longer open.
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
                server.record_unreachable(now);
            }
            Outcome::Full => {
                server.backoff_until = server.backoff_until.max(now + FULL_BACKOFF_MS);
                server.unreachable_count = 0;
            }
            Outcome::Unknown => {}
        }
    }

    /// Replaces the loads that another entry told, by server. Returns the number of sums that it changed.
    ///
    /// Only the servers that the entry named now or before are updated: messages arrive from every entry, and
    /// a sum over all of them for each message would cost entries times entries.
    pub fn record_peer_loads(
        &mut self,
        entry: &Name,
        loads: Vec<(Name, Load)>,
        now: Millis,
    ) -> usize {
        let changed = self.peer_loads.record(entry, loads, now);
        self.update_remote(&changed);
        changed.len()
    }

    /// Forgets the loads of entries that have been silent for `silence_ms` milliseconds.
    pub fn forget_silent_peers(&mut self, silence_ms: Millis, now: Millis) {
        let changed = self.peer_loads.forget_silent(silence_ms, now);
        self.update_remote(&changed);
    }

    fn update_remote(&mut self, ids: &[Name]) {
        for id in ids {
            if let Some(server) = self.servers.get_mut(id) {
                server.remote = self.peer_loads.sum(id);
            }
        }
    }

    /// Returns the loads from requests of this entry, for servers that have any.
    pub fn local_loads(&self) -> impl Iterator<Item = (&Name, Load)> {
        let busy = self.servers.values().filter(|server| server.local.open > 0);
        busy.map(|server| (&server.info.id, server.local))
    }

    /// Returns a server by its name.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the software versions of all servers of a service, leaving ones included.
    ///
    /// It is asked for after each change of a server, so that it must not walk over all of them.
    pub fn software_versions(&self, service: &str) -> BTreeSet<Name> {
        let of_service = self.versions.get(service);
        of_service.map(|versions| versions.keys().cloned().collect()).unwrap_or_default()
    }

    /// Returns the latency model.
    pub fn latency_model(&self) -> &LatencyModel {
        &self.latency_model
    }

    pub(crate) fn prompt_cache(&self) -> &PromptCacheIndex {
        &self.prompt_cache
    }

    /// Returns the sum of the outcomes at all servers of a service.
    pub(crate) fn service_outcomes(&self, service: &Name, now: Millis) -> OutcomeCounts {
        let of_service = self.servers.values().filter(|server| server.info.service == *service);
        of_service.fold(OutcomeCounts::default().at(now), |sum, server| {
            sum.merge(&server.outcomes.at(now))
        })
    }
}
