//! Whether this entry itself reaches the backend servers of a service.
//!
//! To one request, a server that is gone and a path that is cut look the same. Three things tell them
//! apart: how many servers fail, what this entry reached meanwhile, and what the other entries reach.

use kernel::{Millis, Name};
use std::collections::{BTreeMap, BTreeSet};

/// When a path counts as cut.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathSettings {
    /// Number of servers, or all if there are fewer, to which no connection can be made when the path
    /// counts as cut and nothing answers.
    pub silent_servers: usize,
    /// The same number while open connections still answer.
    pub refusing_servers: usize,
    /// Time by which news of the other entries may be late, in milliseconds. So long after the first
    /// failure, what they reached before it counts too.
    pub news_delay_ms: Millis,
    /// Time before the first failure up to which that counts: quiet entries reach servers rarely, in
    /// milliseconds.
    pub quiet_ms: Millis,
    /// Time over which requests go to the servers directly again after the cut, in milliseconds.
    pub return_ms: Millis,
    /// Time in which all connections over a path break that is cut, and servers stop to accept new ones, in
    /// milliseconds.
    pub settle_ms: Millis,
}

impl Default for PathSettings {
    fn default() -> Self {
        Self {
            silent_servers: 2,
            refusing_servers: 4,
            news_delay_ms: 500,
            quiet_ms: 3_000,
            return_ms: 1_000,
            settle_ms: 40,
        }
    }
}

/// How requests for a service get to its servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Path {
    /// This entry reaches servers.
    #[default]
    Direct,
    /// This entry reaches no server, but other entries do.
    ThroughEntries,
    /// Neither this entry nor another one reaches a server.
    Nowhere,
}

/// Connections that could not be made since the last one that could.
#[derive(Clone, Debug)]
struct Failing {
    /// Time at which the first one was tried.
    since: Millis,
    servers: BTreeSet<Name>,
}

/// What this entry knows of its path to the servers of one service.
#[derive(Clone, Debug, Default)]
struct ServicePath {
    /// Time at which a server last accepted a connection or answered.
    reached_at: Option<Millis>,
    failing: Option<Failing>,
    /// Servers that were found to have ended, which tell nothing of the path.
    ended: BTreeSet<Name>,
    path: Path,
    /// Time at which the path was last found to be whole again.
    regained_at: Option<Millis>,
}

impl ServicePath {
    fn forget_failures_at(&mut self, server: &Name) {
        let Some(failing) = &mut self.failing else { return };
        failing.servers.remove(server);
        if failing.servers.is_empty() {
            self.failing = None;
        }
    }

    fn is_in_doubt(&self) -> bool {
        self.failing.is_some() || self.path != Path::Direct
    }

    fn silent_since(&self) -> Option<Millis> {
        let since = self.failing.as_ref()?.since;
        self.reached_at.is_none_or(|at| at <= since).then_some(since)
    }

    /// Decides the path to `servers` servers, without those that ended. `others_reached_at` is the last time at
    /// which another entry reached one.
    fn decide(
        &self,
        settings: &PathSettings,
        servers: usize,
        others_reached_at: Option<Millis>,
        now: Millis,
    ) -> Path {
        let Some(failing) = &self.failing else { return Path::Direct };
        let answers = self.silent_since().is_none();
        let failed = failing.servers.len();
        let needed = if answers { settings.refusing_servers } else { settings.silent_servers };
        if failed < needed.min(servers) {
            return Path::Direct;
        }
        let is_news_due = now < failing.since + settings.news_delay_ms;
        let before_ms = if is_news_due { settings.quiet_ms } else { 0 };
        let is_reached_by_others =
            others_reached_at.is_some_and(|at| at + before_ms > failing.since);
        match (is_reached_by_others, failed >= servers) {
            (true, _) => Path::ThroughEntries,
            (false, true) if !answers && !is_news_due => Path::Nowhere,
            (false, _) => Path::Direct,
        }
    }
}

/// A change of a path, with what decided it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PathChange {
    /// The new path.
    pub path: Path,
    /// Number of servers to which no connection could be made.
    pub failed: usize,
    /// Time since the first of these connections was tried, in milliseconds.
    pub failing_ms: Option<Millis>,
    /// Time since this entry last reached a server, in milliseconds.
    pub reached_ms: Option<Millis>,
}

/// Paths of an entry to the servers of each service.
#[derive(Clone, Debug, Default)]
pub struct ServerPaths {
    settings: PathSettings,
    services: BTreeMap<Name, ServicePath>,
}

impl ServerPaths {
    /// Creates the paths of an entry that has not tried to reach a server yet.
    pub fn new(settings: PathSettings) -> Self {
        Self { settings, services: BTreeMap::new() }
    }

    /// Returns the time in which all connections over a path break that is cut, in milliseconds.
    pub fn settle_ms(&self) -> Millis {
        self.settings.settle_ms
    }

    fn service(&mut self, service: &Name) -> &mut ServicePath {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), ServicePath::default());
        }
        self.services.get_mut(service).expect("the service was inserted")
    }

    /// Records that a server answered on an open connection.
    pub fn record_answer(&mut self, service: &Name, now: Millis) {
        self.service(service).reached_at = Some(now);
    }

    /// Records that a server accepted a new connection.
    pub fn record_connected(&mut self, service: &Name, server: &Name, now: Millis) {
        let known = self.service(service);
        known.reached_at = Some(now);
        known.failing = None;
        known.ended.remove(server);
    }

    /// Records that a server has ended, so that failures at it are its own.
    pub fn record_ended(&mut self, service: &Name, server: &Name) {
        let known = self.service(service);
        known.forget_failures_at(server);
        known.ended.insert(server.clone());
    }

    /// Records that a server registered, so that it may run although it had ended.
    pub fn record_registered(&mut self, service: &Name, server: &Name) {
        if let Some(known) = self.services.get_mut(service) {
            known.ended.remove(server);
        }
    }

    /// Records that no connection to a server could be made, which was tried from `began` on.
    pub fn record_unreachable(&mut self, service: &Name, server: &Name, began: Millis) {
        let known = self.service(service);
        if known.ended.contains(server) {
            return;
        }
        // A connection that succeeded later says more.
        if known.failing.is_none() && known.reached_at.is_some_and(|at| at > began) {
            return;
        }
        let failing =
            known.failing.get_or_insert_with(|| Failing { since: began, servers: BTreeSet::new() });
        failing.since = failing.since.min(began);
        failing.servers.insert(server.clone());
    }

    /// Forgets the failures at a server that is gone.
    pub fn remove_server(&mut self, service: &Name, server: &Name) {
        if let Some(known) = self.services.get_mut(service) {
            known.forget_failures_at(server);
            known.ended.remove(server);
        }
    }

    /// Decides the path to the `servers` servers of a service that stay and have not ended; returns the change if it
    /// is another one.
    pub fn update(
        &mut self,
        service: &Name,
        servers: usize,
        others_reached_at: Option<Millis>,
        now: Millis,
    ) -> Option<PathChange> {
        let settings = self.settings;
        let known = self.service(service);
        let path = known.decide(&settings, servers, others_reached_at, now);
        if path == known.path {
            return None;
        }
        if path == Path::Direct && known.path == Path::ThroughEntries {
            known.regained_at = Some(now);
        }
        known.path = path;
        let failing = known.failing.as_ref();
        Some(PathChange {
            path,
            failed: failing.map_or(0, |failing| failing.servers.len()),
            failing_ms: failing.map(|failing| now.saturating_sub(failing.since)),
            reached_ms: known.reached_at.map(|at| now.saturating_sub(at)),
        })
    }

    /// Returns the path to the servers of a service as last decided.
    pub fn path(&self, service: &str) -> Path {
        self.services.get(service).map_or(Path::Direct, |known| known.path)
    }

    /// Returns how a request gets to the servers of a service. After a cut more and more go directly again,
    /// so that not all need new connections at once; `random` is below 1.
    pub fn path_of_request(&self, service: &str, random: f64, now: Millis) -> Path {
        let Some(known) = self.services.get(service) else { return Path::Direct };
        let returned = known.regained_at.map_or(1.0, |at| {
            now.saturating_sub(at) as f64 / self.settings.return_ms.max(1) as f64
        });
        if known.path == Path::Direct && random >= returned {
            return Path::ThroughEntries;
        }
        known.path
    }

    /// Returns whether connections to so many servers of a service fail that no further one need be
    /// tried.
    pub fn is_certain(&self, service: &str, servers: usize) -> bool {
        let failing = self.services.get(service).and_then(|known| known.failing.as_ref());
        failing.is_some_and(|failing| {
            failing.servers.len() >= self.settings.refusing_servers.min(servers)
        })
    }

    /// Returns whether a connection to a server of a service failed and none succeeded since.
    pub fn has_failed(&self, service: &str, server: &Name) -> bool {
        let failing = self.services.get(service).and_then(|known| known.failing.as_ref());
        failing.is_some_and(|failing| failing.servers.contains(server))
    }

    /// Returns whether a server was found to have ended.
    pub fn has_ended(&self, service: &str, server: &Name) -> bool {
        self.services.get(service).is_some_and(|known| known.ended.contains(server))
    }

    /// Returns the time at which a server of a service was last reached.
    pub fn reached_at(&self, service: &str) -> Option<Millis> {
        self.services.get(service)?.reached_at
    }

    /// Returns whether a server of a service was reached so long after a connection broke that the path is
    /// whole. Some servers of a path that is being cut still answer just after the first connections broke.
    pub fn is_whole_after(&self, service: &str, broke_at: Millis) -> bool {
        self.reached_at(service).is_some_and(|at| at > broke_at + self.settings.settle_ms)
    }

    /// Returns the time from which connections to servers of a service fail and nothing answers; `None` if
    /// something does.
    pub fn silent_since(&self, service: &str) -> Option<Millis> {
        self.services.get(service).and_then(ServicePath::silent_since)
    }

    /// Returns the time from which connections to servers of a service fail, while the path counts as whole.
    pub fn undecided_since(&self, service: &str) -> Option<Millis> {
        let known = self.services.get(service).filter(|known| known.path == Path::Direct)?;
        known.failing.as_ref().map(|failing| failing.since)
    }

    /// Returns whether connections to servers of a service fail, or its path is cut.
    pub fn is_in_doubt(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(ServicePath::is_in_doubt)
    }

    /// Returns whether connections to servers of a service fail.
    pub fn is_failing(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|known| known.failing.is_some())
    }

    /// Returns the services to which connections fail, or whose path is cut.
    pub fn in_doubt(&self) -> impl Iterator<Item = &Name> {
        let in_doubt = self.services.iter().filter(|(_, known)| known.is_in_doubt());
        in_doubt.map(|(service, _)| service)
    }

    /// Returns the services whose servers this entry does not reach.
    pub fn cut_services(&self) -> impl Iterator<Item = &Name> {
        let is_cut =
            |known: &ServicePath| known.path != Path::Direct || known.silent_since().is_some();
        self.services.iter().filter(move |(_, known)| is_cut(known)).map(|(service, _)| service)
    }

    /// Returns the time from which the path to the servers of some service is cut.
    pub fn cut_since(&self) -> Option<Millis> {
        let cut = self.services.values().filter(|known| known.path == Path::ThroughEntries);
        cut.filter_map(|known| Some(known.failing.as_ref()?.since)).min()
    }

    /// Returns the time at which a server of each service was last reached.
    pub fn reached(&self) -> impl Iterator<Item = (&Name, Millis)> {
        self.services.iter().filter_map(|(service, known)| Some((service, known.reached_at?)))
    }
}
