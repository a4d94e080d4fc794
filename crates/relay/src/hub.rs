//! What one entry believes; every task and request reads and changes it.

use crate::dialect::Dialect;
use crate::feed::Feed;
use crate::peers::Peers;
use crate::pool::Pool;
use coord::{Purses, RetryShare, RetryTerms, Roster, Sight, Tallies, Terms, Usage};
use infra::{Duties, Store};
use kernel::prelude::*;
use kernel::{Metrics, boot_ms};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use pick::{DemandTracker, LatencyModel, Load, Picker};
use rules::Rules;
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Part of the time to take a key away that is kept back for clocks of different rates.
const REVOKE_MARGIN_MS: Millis = 300;

/// Time before the end of a server at which its streams are moved: two calls, a copy, and the
/// news of its end that may be as old as a pause between two watches.
const MOVE_BEFORE: Duration = Duration::from_millis(1_300);
/// Time for which the departure of a server is remembered.
const DEPARTURE_KEPT: Duration = Duration::from_secs(30);
/// Least silence after which an entry is taken as gone, in milliseconds.
const SILENT_MS: Millis = 700;
/// Silence for each entry there is, in milliseconds: three times the mean time between messages.
const SILENT_EACH_MS: Millis = 40;
/// Silence after which what an entry told of its work no longer counts, in milliseconds.
const WORK_VALID_MS: Millis = 2_000;

/// What another entry told of itself last.
#[derive(Clone, Debug, Default)]
pub(crate) struct Heard {
    pub(crate) at: Millis,
    pub(crate) incarnation: u64,
    pub(crate) stopping: bool,
    pub(crate) sight_age: Option<Millis>,
    pub(crate) open: u32,
    pub(crate) loads: BTreeMap<Name, Load>,
    pub(crate) work: BTreeMap<Name, f64>,
}

/// Counters and histograms.
pub(crate) struct Meters {
    requests: Counter<u64>,
    attempts: Counter<u64>,
    first: Histogram<f64>,
    store: Counter<u64>,
    servers: Gauge<u64>,
    entries: Gauge<u64>,
    open: Gauge<u64>,
    sight: Gauge<u64>,
}

/// What one entry believes.
pub struct Hub {
    pub(crate) settings: conf::Relay,
    pub(crate) incarnation: u64,
    pub(crate) log: Logger,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) duties: Option<Arc<dyn Duties>>,
    pub(crate) metrics: Metrics,
    pub(crate) meters: Meters,
    pub(crate) pool: Pool,
    pub(crate) rules: RefCell<Rc<Rules>>,
    pub(crate) sight: RefCell<Sight>,
    pub(crate) roster: RefCell<Roster>,
    pub(crate) heard: RefCell<BTreeMap<Name, Heard>>,
    pub(crate) purses: RefCell<Purses>,
    pub(crate) retries: RefCell<RetryShare>,
    pub(crate) usage: RefCell<Usage>,
    pub(crate) tallies: RefCell<Tallies>,
    pub(crate) picker: RefCell<Picker>,
    pub(crate) demand: RefCell<DemandTracker>,
    pub(crate) missing: RefCell<BTreeSet<Name>>,
    pub(crate) servers_feed: RefCell<Feed>,
    pub(crate) live_feed: RefCell<Feed>,
    pub(crate) departures: RefCell<BTreeMap<Name, Instant>>,
    pub(crate) departing: watch::Sender<u64>,
    pub(crate) open: Cell<u32>,
    pub(crate) stopping: Cell<bool>,
    /// Whether streams that begin now might not end before the process does.
    pub(crate) ending: Cell<bool>,
    pub(crate) store_back: Cell<Millis>,
    pub(crate) store_lost: Cell<bool>,
    pub(crate) regained: watch::Sender<u64>,
    pub(crate) leader: RefCell<Option<Name>>,
    pub(crate) leader_moved: Notify,
    /// Whether another entry has newer rules.
    pub(crate) rules_newer: Cell<bool>,
    pub(crate) rules_wanted: Notify,
    peers: OnceCell<Peers>,
}

impl Hub {
    pub(crate) fn new(
        settings: conf::Relay,
        log: Logger,
        dialect: Rc<dyn Dialect>,
        store: Arc<dyn Store>,
        duties: Option<Arc<dyn Duties>>,
    ) -> Result<Rc<Self>, Failure> {
        let promises = settings.promises;
        let millis = |time: Duration| time.as_millis() as Millis;
        let hold = millis(promises.revoke);
        let terms = Terms {
            window_ms: millis(promises.quota_window),
            overshoot: promises.quota_overshoot,
            slack: promises.quota_slack,
            earned: 1.0 + promises.quota_overshoot,
            ..Terms::default()
        };
        let retry = RetryTerms {
            window_ms: millis(promises.retry_window),
            ratio: promises.retry_ratio,
            slack: promises.retry_slack,
        };
        let metrics = Metrics::new()?;
        let meters = Meters {
            requests: metrics.counter("requests", "Requests of callers, by status and result code"),
            attempts: metrics.counter("attempts", "Requests sent to backend servers, by result"),
            first: metrics.seconds("first_byte", "Time until the head of the answer was ready"),
            servers: metrics.gauge("servers_known", "Backend servers that may take work"),
            entries: metrics.gauge("entries_known", "Entries that share limits"),
            open: metrics.gauge("requests_open", "Requests of callers that are open"),
            sight: metrics.gauge("rules_age_ms", "Age of the rules, in milliseconds"),
            store: metrics.counter("store_calls", "Calls to the key-value service, by kind"),
        };
        Ok(Rc::new(Self {
            incarnation: Clock::unix_ms(),
            log,
            dialect,
            store,
            duties,
            metrics,
            meters,
            pool: Pool::default(),
            rules: RefCell::default(),
            sight: RefCell::default(),
            roster: RefCell::new(Roster::new(hold)),
            heard: RefCell::default(),
            purses: RefCell::new(Purses::new(terms, Millis::MAX)),
            retries: RefCell::new(RetryShare::new(retry)),
            usage: RefCell::new(Usage::new(millis(promises.usage_window))),
            tallies: RefCell::default(),
            picker: RefCell::new(Picker::new(LatencyModel::default())),
            demand: RefCell::default(),
            missing: RefCell::default(),
            servers_feed: RefCell::default(),
            live_feed: RefCell::default(),
            departures: RefCell::default(),
            departing: watch::Sender::new(0),
            open: Cell::new(0),
            stopping: Cell::new(false),
            ending: Cell::new(false),
            store_back: Cell::new(0),
            store_lost: Cell::new(false),
            regained: watch::Sender::new(0),
            leader: RefCell::default(),
            leader_moved: Notify::new(),
            rules_newer: Cell::new(false),
            rules_wanted: Notify::new(),
            peers: OnceCell::new(),
            settings,
        }))
    }

    /// Returns the way to the other entries.
    pub(crate) fn peers(&self) -> &Peers {
        self.peers.get().expect("it is set before any task starts")
    }

    pub(crate) fn set_peers(&self, peers: Peers) {
        // Set once, at the start.
        drop(self.peers.set(peers));
    }

    /// Tells whether requests with a key may be served by the rules that are known here.
    pub(crate) fn is_fresh(&self) -> bool {
        let promises = &self.settings.promises;
        if !promises.strict_revoke {
            return self.sight.borrow().version().is_some();
        }
        let limit = (promises.revoke.as_millis() as Millis).saturating_sub(REVOKE_MARGIN_MS);
        self.sight.borrow().is_fresh(boot_ms(), limit)
    }

    /// Tells whether this entry serves callers now.
    pub(crate) fn is_ready(&self) -> bool {
        !self.stopping.get() && self.is_fresh()
    }

    /// Notes whether a call to the store was answered.
    pub(crate) fn note_store(&self, call: &'static str, failure: Option<&Failure>) {
        let result = if failure.is_some() { "failed" } else { "answered" };
        self.meters.store.add(1, &[KeyValue::new("call", call), KeyValue::new("result", result)]);
        match failure {
            Some(failure) if !self.store_lost.replace(true) => {
                warn!(self.log, "store lost"; "call" => call, "cause" => %failure);
            }
            None if self.store_lost.replace(false) => {
                self.store_back.set(boot_ms());
                self.regained.send_modify(|times| *times += 1);
                info!(self.log, "store regained"; "call" => call);
            }
            _ => {}
        }
    }

    /// Renders the metrics.
    pub(crate) fn render(&self) -> String {
        let now = boot_ms();
        let servers = self.picker.borrow().servers().filter(|server| !server.info.leaving).count();
        self.meters.servers.record(servers as u64, &[]);
        self.meters.entries.record(self.roster.borrow_mut().sharers(now) as u64, &[]);
        self.meters.open.record(u64::from(self.open.get()), &[]);
        self.meters.sight.record(self.sight.borrow().age(now).unwrap_or(u64::MAX), &[]);
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

    pub(crate) fn record_first(&self, passed: Duration) {
        self.meters.first.record(passed.as_secs_f64(), &[]);
    }

    /// Returns the silence after which an entry is taken as gone, in milliseconds; messages reach
    /// each entry the more seldom the more there are.
    pub(crate) fn silence_ms(&self) -> Millis {
        let entries = self.roster.borrow().present().count() as u64;
        SILENT_MS.max(entries * SILENT_EACH_MS)
    }

    /// Notes that a server ends in about this time, so that its streams are moved before.
    pub(crate) fn departs(&self, server: &Name, ends_in: Duration) {
        let now = Instant::now();
        let at = now + ends_in.saturating_sub(MOVE_BEFORE);
        let mut departures = self.departures.borrow_mut();
        departures.retain(|_, at| now.saturating_duration_since(*at) < DEPARTURE_KEPT);
        let known = departures.entry(server.clone()).or_insert(at);
        *known = at.min(*known);
        self.departing.send_modify(|times| *times += 1);
    }

    /// Returns the work that callers ask of all entries that are heard.
    pub(crate) fn work_asked(&self, service: &str) -> f64 {
        let now = boot_ms();
        let mine = self.demand.borrow().rate(service, now);
        let heard = self.heard.borrow();
        let limit = WORK_VALID_MS.max(self.silence_ms());
        let valid = heard.values().filter(|heard| now.saturating_sub(heard.at) < limit);
        mine + valid.filter_map(|heard| heard.work.get(service)).sum::<f64>()
    }

    /// Tells the shares how many entries there are.
    pub(crate) fn share_out(&self) {
        let entries = self.roster.borrow_mut().sharers(boot_ms());
        self.purses.borrow_mut().set_entries(entries);
        self.retries.borrow_mut().set_entries(entries);
    }
}
