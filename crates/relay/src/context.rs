//! Shared state of one entry, read and updated by all of its tasks and requests.

use crate::change_log::ChangeLog;
use crate::end_check::LifeQueries;
use crate::origin_store::OriginStore;
use crate::origins::{PendingQuery, ServedVersions};
use crate::peers::Peers;
use crate::pool::Pool;
use crate::protocol::Protocol;
use crate::server_check::UnlistedServer;
use crate::shutdown::Shutdown;
use crate::start_kind::StartKind;
use crate::version_check::VersionCheck;
use coord::{
    BrittleServers, BrittleSettings, ClientSettings, Freshness, Listeners, Quarantine,
    QuarantineSettings, QuotaSettings, QuotaShares, Restore, RetryBudget, RetrySettings, Roster,
    ServerLimitSettings, ServerLimits, ServerPaths, StoreChange, StoreHealth, StreamOrigins,
    UsageCounter, UsageReports,
};
use infra::{Duties, Lease, Store};
use kernel::prelude::*;
use kernel::{Metrics, boot_ms};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use pick::{DemandTracker, LatencyModel, Picker};
use rules::Rules;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use web::{ClientMeters, ClientRegistry};

/// Safety margin within the time allowed to revoke a key, for clocks that run at different rates,
/// in milliseconds.
const REVOKE_MARGIN_MS: Millis = 300;

/// Time before the shutdown of a server at which its streams are moved. It covers two calls, one
/// copy, and a notice of the shutdown that is late by the pause between two watches.
const MOVE_LEAD_TIME: Duration = Duration::from_millis(1_300);
/// Time for which the departure of a server is kept after its streams were due to move.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(30);
/// Minimum silence after which a peer is treated as gone, in milliseconds.
const MIN_SILENCE_MS: Millis = 700;
/// Silence limit per known entry, in milliseconds. Multiplied by the number of entries, it is about
/// three times the mean time between two messages from the same peer, since each entry sends its
/// state to 12 random peers every 150 ms.
const SILENCE_PER_ENTRY_MS: Millis = 40;
/// Minimum silence after which the requested work reported by a peer is ignored, in milliseconds.
const WORK_TIMEOUT_MS: Millis = 2_000;

/// The last state received from a peer.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerStatus {
    /// Time of receipt on the boot clock, in milliseconds.
    pub(crate) received_at: Millis,
    pub(crate) incarnation: u64,
    pub(crate) stopping: bool,
    /// Age of its rules, in milliseconds.
    pub(crate) rules_age: Option<Millis>,
    /// Number of open requests of callers.
    pub(crate) open: u32,
    /// Work requested by its callers, in milliseconds of server time per second, by service.
    pub(crate) work: BTreeMap<Name, f64>,
    /// Time at which it last reached a server, by service.
    pub(crate) reached_at: BTreeMap<Name, Millis>,
    /// Services whose servers it does not reach.
    pub(crate) cut: BTreeSet<Name>,
    /// Time from which it has not reached the servers of some service.
    pub(crate) cut_since: Option<Millis>,
}

/// Metric instruments.
pub(crate) struct Meters {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    forwarded: Counter<u64>,
    life_queries: Counter<u64>,
    first_byte: Histogram<f64>,
    store_calls: Counter<u64>,
    servers: Gauge<u64>,
    entries: Gauge<u64>,
    retry_share: Gauge<u64>,
    quarantined: Gauge<u64>,
    services_cut: Gauge<u64>,
    open: Gauge<u64>,
    freshness: Gauge<u64>,
    clients: ClientMeters,
}

/// Shared state of one entry.
pub struct Context {
    pub(crate) settings: conf::Relay,
    /// Start time of this process, in Unix milliseconds.
    pub(crate) incarnation: u64,
    pub(crate) log: Logger,
    /// How this process started; `None` until the store has told.
    pub(crate) start_kind: watch::Sender<Option<StartKind>>,
    pub(crate) protocol: Rc<dyn Protocol>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) duties: Option<Arc<dyn Duties>>,
    pub(crate) metrics: Metrics,
    pub(crate) meters: Meters,
    pub(crate) pool: Pool,
    pub(crate) rules: RefCell<Rc<Rules>>,
    pub(crate) freshness: RefCell<Freshness>,
    pub(crate) roster: RefCell<Roster>,
    /// Number of entries that share the limits.
    pub(crate) share_count: Cell<usize>,
    /// Number of changes of the roster that all that depends on it has followed; `None` at first.
    pub(crate) roster_followed: Cell<Option<u64>>,
    /// Entries that read the store for the others; `None` if each reads it itself.
    pub(crate) readers: RefCell<Option<Rc<[Name]>>>,
    /// Last state received from each peer.
    pub(crate) peer_status: RefCell<BTreeMap<Name, PeerStatus>>,
    pub(crate) quota_shares: RefCell<QuotaShares>,
    /// Time on the boot clock at which this entry last sent a call that registered it or renewed that.
    pub(crate) registered_at: Cell<Option<Millis>>,
    /// Whether this entry has had a share of the retry slack since the last look.
    pub(crate) was_counted: Cell<bool>,
    /// Time on the boot clock from which all others count this entry; `None` before it has registered.
    pub(crate) counted_from: Cell<Option<Millis>>,
    /// Lease of this entry's claim to a share of the quotas, if it has written one.
    pub(crate) claim: Cell<Option<Lease>>,
    /// Entries that pool quota units; empty if each entry keeps its own.
    pub(crate) quota_pools: RefCell<Vec<Name>>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    /// Requests that began at this entry, for the usage reports.
    pub(crate) usage: RefCell<UsageCounter>,
    /// Usage counts received from peers.
    pub(crate) usage_reports: RefCell<UsageReports>,
    pub(crate) picker: RefCell<Picker>,
    pub(crate) demand: RefCell<DemandTracker>,
    /// Limits that servers state.
    pub(crate) server_limits: RefCell<ServerLimits>,
    /// Servers that state that they fall over when they refuse many requests.
    pub(crate) brittle_servers: RefCell<BrittleServers>,
    /// Whether this entry reaches the servers.
    pub(crate) server_paths: RefCell<ServerPaths>,
    /// Signals a change of a path to servers.
    pub(crate) paths_changed: watch::Sender<u64>,
    /// Services whose servers are being probed.
    pub(crate) services_probed: RefCell<BTreeSet<Name>>,
    /// Number of open requests that other entries passed on to this one.
    pub(crate) open_forwarded: Cell<u32>,
    /// Software versions that began streams.
    pub(crate) origins: RefCell<StreamOrigins>,
    /// Queries for the versions of streams that wait for replies, by number.
    pub(crate) origin_queries: RefCell<BTreeMap<u64, Rc<PendingQuery>>>,
    /// What this entry knows of the origins of streams that are kept in the store.
    pub(crate) origin_store: OriginStore,
    /// The last reading of the versions that serve.
    pub(crate) version_check: VersionCheck,
    /// Software versions that serve, by service.
    pub(crate) served_versions: RefCell<BTreeMap<Name, ServedVersions>>,
    /// Prompt parts under which servers crash.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Signals a change of the parts in quarantine.
    pub(crate) quarantine_changed: watch::Sender<u64>,
    /// Time on the boot clock at which a server was last added, in milliseconds.
    pub(crate) server_added_at: Cell<Millis>,
    /// Time on the boot clock at which this entry last relied on readers to tell changes of servers, in
    /// milliseconds.
    pub(crate) servers_followed_at: Cell<Millis>,
    /// Servers whose registration disappeared during an outage of the store or shortly after it.
    pub(crate) missing_servers: RefCell<BTreeSet<Name>>,
    /// Servers whose registration was removed lately although they had not said that they leave.
    pub(crate) unlisted_servers: RefCell<BTreeMap<Name, UnlistedServer>>,
    /// Servers for which a check is under way whether they have ended.
    pub(crate) servers_checked: RefCell<BTreeSet<Name>>,
    /// Queries whether servers still run.
    pub(crate) life_queries: LifeQueries,
    /// Signals the end of a check in `servers_checked`.
    pub(crate) server_check_ended: Notify,
    /// Recent changes of the servers' registrations.
    pub(crate) server_changes: RefCell<ChangeLog>,
    /// Recent changes of the entries' registrations and of the lease record.
    pub(crate) live_changes: RefCell<ChangeLog>,
    /// Time at which the streams of a leaving server are moved, by server.
    pub(crate) departures: RefCell<BTreeMap<Name, Instant>>,
    /// Signals that this entry lacks more changes than a reader tells at once.
    pub(crate) copy_behind: Notify,
    /// Signals a change of `departures`.
    pub(crate) departures_changed: watch::Sender<u64>,
    pub(crate) open_requests: Cell<u32>,
    /// Connections of callers and of entries, and what they hold.
    pub(crate) clients: Arc<ClientRegistry>,
    pub(crate) stopping: Cell<bool>,
    /// Schedule and start of the planned stop.
    pub(crate) shutdown: watch::Sender<Option<(Shutdown, Instant)>>,
    /// Whether the store answers this entry.
    pub(crate) store_health: Cell<StoreHealth>,
    /// Number of restores of the store as of its newest answer; `None` before one has told.
    pub(crate) restores: Cell<Option<u64>>,
    /// The last restore of the store from an older copy that may have undone changes of this deployment,
    /// as far as this entry knows.
    pub(crate) restore: Cell<Option<Restore>>,
    /// Signals that the store has become reachable again.
    pub(crate) store_regained: watch::Sender<u64>,
    pub(crate) leader: RefCell<Option<Name>>,
    /// Signals that no entry holds the leader lease.
    pub(crate) leader_vacant: Notify,
    /// Whether a peer has reported newer rules.
    pub(crate) newer_rules_exist: Cell<bool>,
    /// Wakes the task that polls the rules when a peer has newer ones.
    pub(crate) poll_rules_now: Notify,
    peers: OnceCell<Peers>,
}

/// Divides the resources of the VM among the clients.
fn client_settings(settings: &conf::Relay) -> ClientSettings {
    let conf::Resources { memory, descriptors } = settings.resources;
    let descriptors = descriptors.unwrap_or_else(kernel::descriptor_limit);
    let internal = settings.internal_addresses().len();
    ClientSettings::divide(memory, descriptors, Listeners { has_entries: true, internal })
}

impl Context {
    pub(crate) fn new(
        settings: conf::Relay,
        log: Logger,
        protocol: Rc<dyn Protocol>,
        store: Arc<dyn Store>,
        duties: Option<Arc<dyn Duties>>,
    ) -> Result<Rc<Self>, Failure> {
        let promises = settings.promises;
        let millis = |time: Duration| time.as_millis() as Millis;
        let revoke_ms = millis(promises.revoke);
        let quota = QuotaSettings {
            window_ms: millis(promises.quota_window),
            overshoot: promises.quota_overshoot,
            slack: promises.quota_slack,
            refill_factor: 1.0 + promises.quota_overshoot,
            ..QuotaSettings::default()
        };
        let retry = RetrySettings {
            window_ms: millis(promises.retry_window),
            ratio: promises.retry_ratio,
            slack: promises.retry_slack,
        };
        let retry_budget = RetryBudget::new(retry);
        let clients = client_settings(&settings);
        let server_limits =
            ServerLimits::new(ServerLimitSettings::default(), settings.name.clone());
        let quarantine = Quarantine::new(QuarantineSettings::default(), settings.name.clone());
        let metrics = Metrics::new()?;
        let meters = Meters {
            requests: metrics.counter("requests", "Requests of callers, by status and result code"),
            attempts: metrics.counter("attempts", "Requests sent to backend servers, by result"),
            retries: metrics
                .counter("retries", "Requests to send again, by the budget that allowed it"),
            forwarded: metrics.counter(
                "forwarded",
                "Requests passed on to another entry or taken over from one, by result",
            ),
            life_queries: metrics
                .counter("life_queries", "Queries whether a server still runs, by result"),
            first_byte: metrics
                .seconds("first_byte", "Time until the head of the answer was ready"),
            servers: metrics.gauge("servers_known", "Backend servers that may take work"),
            entries: metrics.gauge("entries_known", "Entries that share limits"),
            retry_share: metrics
                .gauge("retry_share_held", "1 while this entry holds a share of the retry slack"),
            quarantined: metrics
                .gauge("quarantined", "Requests and prompt parts under which servers crash"),
            services_cut: metrics
                .gauge("services_cut", "Services whose backend servers this entry does not reach"),
            open: metrics.gauge("requests_open", "Requests of callers that are open"),
            freshness: metrics.gauge("rules_age_ms", "Age of the rules, in milliseconds"),
            store_calls: metrics.counter("store_calls", "Calls to the key-value service, by kind"),
            clients: ClientMeters::new(&metrics),
        };
        Ok(Rc::new(Self {
            incarnation: Clock::unix_ms(),
            log,
            start_kind: watch::Sender::new(None),
            protocol,
            store,
            duties,
            metrics,
            meters,
            pool: Pool::default(),
            rules: RefCell::default(),
            freshness: RefCell::default(),
            roster: RefCell::new(Roster::new(revoke_ms)),
            share_count: Cell::default(),
            roster_followed: Cell::default(),
            readers: RefCell::default(),
            peer_status: RefCell::default(),
            quota_shares: RefCell::new(QuotaShares::new(quota, Millis::MAX)),
            registered_at: Cell::default(),
            was_counted: Cell::default(),
            counted_from: Cell::default(),
            claim: Cell::default(),
            quota_pools: RefCell::default(),
            retry_budget: RefCell::new(retry_budget),
            usage: RefCell::new(UsageCounter::new(millis(promises.usage_window))),
            usage_reports: RefCell::default(),
            picker: RefCell::new(Picker::new(LatencyModel::default())),
            demand: RefCell::default(),
            server_limits: RefCell::new(server_limits),
            brittle_servers: RefCell::new(BrittleServers::new(BrittleSettings::default())),
            server_paths: RefCell::default(),
            paths_changed: watch::Sender::new(0),
            services_probed: RefCell::default(),
            open_forwarded: Cell::new(0),
            origins: RefCell::new(StreamOrigins::new(settings.name.clone())),
            origin_queries: RefCell::default(),
            origin_store: OriginStore::default(),
            version_check: VersionCheck::default(),
            served_versions: RefCell::default(),
            quarantine: RefCell::new(quarantine),
            quarantine_changed: watch::Sender::new(0),
            server_added_at: Cell::default(),
            servers_followed_at: Cell::default(),
            missing_servers: RefCell::default(),
            unlisted_servers: RefCell::default(),
            servers_checked: RefCell::default(),
            life_queries: LifeQueries::default(),
            server_check_ended: Notify::new(),
            server_changes: RefCell::default(),
            live_changes: RefCell::default(),
            departures: RefCell::default(),
            copy_behind: Notify::new(),
            departures_changed: watch::Sender::new(0),
            open_requests: Cell::new(0),
            clients: ClientRegistry::new(clients),
            stopping: Cell::new(false),
            shutdown: watch::Sender::new(None),
            store_health: Cell::default(),
            restores: Cell::new(None),
            restore: Cell::new(None),
            store_regained: watch::Sender::new(0),
            leader: RefCell::default(),
            leader_vacant: Notify::new(),
            newer_rules_exist: Cell::new(false),
            poll_rules_now: Notify::new(),
            peers: OnceCell::new(),
            settings,
        }))
    }

    /// Returns the socket for messages to the peers, with the pending requests.
    pub(crate) fn peers(&self) -> &Peers {
        self.peers.get().expect("peers are set before any task starts")
    }

    pub(crate) fn set_peers(&self, peers: Peers) {
        // Called once at startup, so the cell is still empty and `set` cannot fail.
        drop(self.peers.set(peers));
    }

    /// Returns whether the rules are fresh enough to serve requests that need a key. Without
    /// `strict_revoke`, rules of any age are.
    pub(crate) fn is_fresh(&self) -> bool {
        let promises = &self.settings.promises;
        if !promises.strict_revoke {
            return self.freshness.borrow().version().is_some();
        }
        let limit = (promises.revoke.as_millis() as Millis).saturating_sub(REVOKE_MARGIN_MS);
        self.freshness.borrow().is_fresh(boot_ms(), limit)
    }

    /// Returns whether this entry serves callers now: it has the rules, and a listing of the servers.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_servers = self.server_changes.borrow().through().is_some();
        !self.stopping.get() && self.is_fresh() && knows_servers
    }

    /// Records the result of a call to the store that was sent at `sent` on the boot clock.
    pub(crate) fn record_store_call(
        &self,
        call: &'static str,
        sent: Millis,
        failure: Option<&Failure>,
    ) {
        let result = if failure.is_some() { "failed" } else { "answered" };
        self.meters
            .store_calls
            .add(1, &[KeyValue::new("call", call), KeyValue::new("result", result)]);
        self.observe_restores();
        let mut health = self.store_health.get();
        let change = health.record(sent, failure.is_some(), boot_ms());
        self.store_health.set(health);
        match (change, failure) {
            (Some(StoreChange::Lost), Some(failure)) => {
                warn!(self.log, "store lost"; "call" => call, "cause" => %failure);
            }
            (Some(StoreChange::Regained), _) => {
                self.store_regained.send_modify(|count| *count += 1);
                info!(self.log, "store regained"; "call" => call);
            }
            _ => {}
        }
    }

    /// Notes whether the store has been restored from an older copy; returns the last restore.
    ///
    /// A process that starts cannot know when the last restore was and takes its first answer for it.
    pub(crate) fn observe_restores(&self) -> Option<Restore> {
        let number = self.store.restores()?;
        let before = self.restores.replace(Some(number));
        let is_new = match before {
            Some(before) => number != before,
            None => number != 0,
        };
        if is_new {
            self.restore.set(Some(Restore { number, heard_at_unix_ms: Clock::unix_ms() }));
            warn!(self.log, "store restored"; "restores" => number, "before" => before);
            // Servers write again what the copy lacks.
            let mut health = self.store_health.get();
            health.record_restore(boot_ms());
            self.store_health.set(health);
        }
        self.restore.get()
    }

    /// Returns how often the store has been restored, as far as this entry knows.
    pub(crate) fn restores(&self) -> u64 {
        self.restores.get().unwrap_or(0)
    }

    /// Updates the gauges and renders all metrics.
    pub(crate) fn render(&self) -> String {
        let now = boot_ms();
        let servers = self.picker.borrow().servers().filter(|server| !server.is_leaving()).count();
        self.meters.servers.record(servers as u64, &[]);
        self.meters.entries.record(self.roster.borrow_mut().share_count(now) as u64, &[]);
        self.meters.retry_share.record(u64::from(self.was_counted.get()), &[]);
        self.meters.quarantined.record(self.quarantine.borrow().held_count() as u64, &[]);
        let services_cut = self.server_paths.borrow().cut_services().count();
        self.meters.services_cut.record(services_cut as u64, &[]);
        self.meters.open.record(u64::from(self.open_requests.get()), &[]);
        self.meters.clients.record(&self.clients);
        self.meters.freshness.record(self.freshness.borrow().age(now).unwrap_or(u64::MAX), &[]);
        self.metrics.render()
    }

    pub(crate) fn count_request(&self, status: u16, code: Option<Code>) {
        let code = code.map_or(0, Code::number);
        let labels =
            [KeyValue::new("status", i64::from(status)), KeyValue::new("code", i64::from(code))];
        self.meters.requests.add(1, &labels);
    }

    pub(crate) fn count_attempt(&self, result: &'static str) {
        self.meters.attempts.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request to send again, by the budget that allowed it.
    pub(crate) fn count_retry(&self, budget: &'static str) {
        self.meters.retries.add(1, &[KeyValue::new("budget", budget)]);
    }

    /// Counts a request that was passed on to another entry (`sent`) or taken over from one (`taken`).
    pub(crate) fn count_forwarded(&self, side: &'static str, result: &'static str) {
        let labels = [KeyValue::new("side", side), KeyValue::new("result", result)];
        self.meters.forwarded.add(1, &labels);
    }

    pub(crate) fn count_life_query(&self, result: &'static str) {
        self.meters.life_queries.add(1, &[KeyValue::new("result", result)]);
    }

    pub(crate) fn record_first_byte(&self, elapsed: Duration) {
        self.meters.first_byte.record(elapsed.as_secs_f64(), &[]);
    }

    /// Returns the silence after which a peer is treated as gone, in milliseconds. It grows with
    /// the number of entries, because each one then receives messages less often.
    pub(crate) fn silence_ms(&self) -> Millis {
        let entries = self.roster.borrow().present().count() as u64;
        MIN_SILENCE_MS.max(entries * SILENCE_PER_ENTRY_MS)
    }

    /// Schedules the move of all streams away from a server that shuts down in about this time.
    pub(crate) fn schedule_departure(&self, server: &Name, ends_in: Duration) {
        let now = Instant::now();
        let at = now + ends_in.saturating_sub(MOVE_LEAD_TIME);
        let mut departures = self.departures.borrow_mut();
        departures.retain(|_, at| now.saturating_duration_since(*at) < DEPARTURE_RETENTION);
        let scheduled = departures.entry(server.clone()).or_insert(at);
        *scheduled = at.min(*scheduled);
        self.departures_changed.send_modify(|count| *count += 1);
    }

    /// Returns the work requested from this entry and all live peers, in milliseconds of server
    /// time per second.
    pub(crate) fn requested_work(&self, service: &str) -> f64 {
        let now = boot_ms();
        let local = self.demand.borrow().rate(service, now);
        let peers = self.peer_status.borrow();
        let limit = WORK_TIMEOUT_MS.max(self.silence_ms());
        let valid = peers.values().filter(|status| now.saturating_sub(status.received_at) < limit);
        local + valid.filter_map(|status| status.work.get(service)).sum::<f64>()
    }
}
