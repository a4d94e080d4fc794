//! The service that owns the request table and executes its decisions.

use crate::record::{Record, RecordView};
use backend::{Engines, PlainServices};
use cluster::Cluster;
use control::Configuration;
use infra::Kv;
use kernel::prelude::*;
use kernel::{Metrics, StopSignal};
use ledger::{Input, Limits, RequestTable, Response, Ticket};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use servers::Servers;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{Notify, oneshot};

/// Number of open records allowed for each open request of a caller (`limits.open`). Besides that
/// request, there are records of requests whose callers disconnected before the end, and copies
/// held for other entries.
const RECORDS_PER_OPEN_REQUEST: usize = 8;

/// Timeouts and limits of request execution.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Timeout of a call to the owner or the witness.
    pub peer_timeout: Duration,
    /// Maximum number of attempts at backend servers for one request.
    pub max_attempts: u32,
    /// Longest gap in a stream before it counts as broken.
    pub stall_timeout: Duration,
    /// Number of retries after the reply to a claim, or to storing a home, was lost.
    pub claim_retries: u32,
    /// Longest wait for a chunk in one read.
    pub max_read_wait: Duration,
    /// Size of the bodies and answers of all records, in bytes, from which requests with a large body are refused.
    pub max_kept_bytes: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            peer_timeout: Duration::from_millis(300),
            max_attempts: 4,
            stall_timeout: Duration::from_secs(5),
            claim_retries: 2,
            max_read_wait: Duration::from_secs(1),
            max_kept_bytes: Limits::default().max_kept_bytes,
        }
    }
}

/// Services that [`Requests`] depends on.
#[derive(Clone)]
pub struct Services {
    /// Membership of the cluster and calls to other entries.
    pub cluster: Arc<Cluster>,
    /// The active configuration.
    pub configuration: Arc<Configuration>,
    /// Backend servers.
    pub servers: Arc<Servers>,
    /// Key-value service.
    pub kv: Arc<dyn Kv>,
    /// Model engines.
    pub engine: Arc<dyn Engines>,
    /// Plain services.
    pub plain: Arc<dyn PlainServices>,
}

/// Minimum time for which a voided round without a record is remembered.
const MIN_VOIDED_RETENTION: Duration = Duration::from_secs(600);

/// Metrics of the service.
pub(crate) struct Counters {
    pub(crate) accepted: Counter<u64>,
    pub(crate) ended: Counter<u64>,
    pub(crate) recomputed: Counter<u64>,
    pub(crate) claims: Counter<u64>,
    pub(crate) dropped: Counter<u64>,
    pub(crate) first_token: Histogram<f64>,
}

/// Tracks and executes the requests of one entry.
pub struct Requests {
    pub(crate) services: Services,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) counters: Counters,
    /// Notified when a request has ended.
    pub(crate) request_ended: Notify,
    table: Mutex<RequestTable>,
    records: Mutex<HashMap<Key, Arc<Record>>>,
    tickets: Mutex<HashMap<Ticket, oneshot::Sender<Response>>>,
    next_ticket: AtomicU64,
}

impl Requests {
    /// Name under which the kernel registers the service.
    pub const NAME: &'static str = "requests";

    /// Creates the service with an empty request table.
    pub fn new(
        services: Services,
        settings: Settings,
        metrics: &Metrics,
        clock: Clock,
        log: Logger,
    ) -> Arc<Self> {
        let counters = Counters {
            accepted: metrics.counter("requests_accepted", "Requests accepted here"),
            ended: metrics.counter("requests_ended", "Requests ended here, by ending"),
            recomputed: metrics.counter("tokens_recomputed", "Tokens generated again, by cause"),
            claims: metrics.counter("claims", "Claims in the key-value service, by result"),
            dropped: metrics
                .counter("answers_dropped", "Answers that were not passed on, by cause"),
            first_token: metrics.seconds("first_token", "Time to the first token at the entry"),
        };
        let table =
            Mutex::new(RequestTable::new(services.cluster.local_node().clone(), Limits::default()));
        Arc::new(Self {
            services,
            settings,
            clock,
            log,
            counters,
            request_ended: Notify::new(),
            table,
            records: Mutex::default(),
            tickets: Mutex::default(),
            next_ticket: AtomicU64::new(0),
        })
    }

    /// Returns the name and incarnation of this entry.
    pub fn me(&self) -> &NodeId {
        self.services.cluster.local_node()
    }

    /// Returns the state of a request, if this entry has a record of it.
    pub fn describe(&self, key: &Key) -> Option<RecordView> {
        let (role, chunks, ending) = self.with_table(|table| table.describe(key))?;
        let record = self.with_records(|records| records.get(key).cloned());
        let decisions = record.map(|record| record.decisions()).unwrap_or_default();
        Some(RecordView { role, chunks, ending, decisions })
    }

    /// Returns the number of records and the number of those that have not ended.
    pub fn counts(&self) -> (usize, usize) {
        self.with_table(|table| table.counts())
    }

    /// Refuses new requests from now on.
    pub fn refuse_new(self: &Arc<Self>) {
        self.feed(Input::RefuseNew);
    }

    /// Whether this entry refuses new requests because it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.with_table(|table| table.refuses_new())
    }

    /// Hands over every open request and waits until all have ended or moved.
    pub async fn hand_over_all(self: &Arc<Self>) {
        self.feed(Input::HandOverAll);
        self.wait_until_idle().await;
    }

    /// Waits until every request that this entry owns has ended or moved.
    pub async fn wait_until_idle(&self) {
        loop {
            let notified = self.request_ended.notified();
            if self.with_table(|table| table.is_idle()) {
                return;
            }
            notified.await;
        }
    }

    /// Removes ended requests after their retention period and takes over those of dead owners,
    /// until the stop signal.
    pub async fn run(self: Arc<Self>, mut stop: StopSignal) {
        let mut changes = self.services.cluster.changes();
        let mut record_sweep = tokio::time::interval(Duration::from_secs(1));
        let mut voided_sweep = tokio::time::interval(MIN_VOIDED_RETENTION);
        loop {
            tokio::select! {
                change = changes.recv() => match change {
                    Ok(_) | Err(RecvError::Lagged(_)) => self.feed(Input::Members),
                    Err(RecvError::Closed) => return,
                },
                _ = record_sweep.tick() => self.remove_expired(),
                _ = voided_sweep.tick() => self.forget_voided(),
                () = stop.wait() => return,
            }
        }
    }

    /// Runs the closure with the request table locked; no guard outlives the call.
    ///
    /// The closure must not call this method again: the lock is not reentrant.
    pub(crate) fn with_table<T>(&self, f: impl FnOnce(&mut RequestTable) -> T) -> T {
        f(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Runs the closure with the execution state of all requests locked; no guard outlives the
    /// call.
    pub(crate) fn with_records<T>(&self, f: impl FnOnce(&mut HashMap<Key, Arc<Record>>) -> T) -> T {
        f(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn new_ticket(&self) -> (Ticket, oneshot::Receiver<Response>) {
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let (tx, rx) = oneshot::channel();
        self.tickets().insert(ticket, tx);
        (ticket, rx)
    }

    pub(crate) fn respond(&self, ticket: Ticket, response: Response) {
        if let Some(tx) = self.tickets().remove(&ticket) {
            // The caller may have stopped waiting.
            let _ = tx.send(response);
        }
    }

    fn tickets(&self) -> std::sync::MutexGuard<'_, HashMap<Ticket, oneshot::Sender<Response>>> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn count_ending(&self, ending: &ledger::Ending) {
        let kind = match ending {
            ledger::Ending::Answered => "answered",
            ledger::Ending::NotRun(_) => "not_run",
            ledger::Ending::Rejected(_) => "rejected",
            ledger::Ending::Unknown(_) => "unknown",
            ledger::Ending::Follow(_) => "moved",
        };
        self.counters.ended.add(1, &[KeyValue::new("ending", kind)]);
    }

    fn remove_expired(&self) {
        let now = self.clock.now();
        let limits = self.services.configuration.current().map(|c| c.config.limits.clone());
        let limits = limits.unwrap_or_default();
        let retention = limits.answer_retention.as_millis() as Millis;
        let mut expired: Vec<Key> = Vec::new();
        self.with_records(|records| {
            records.retain(|key, record| {
                let is_kept = now < record.retention_start() + retention;
                if !is_kept {
                    expired.push(key.clone());
                }
                is_kept
            });
        });
        self.with_table(|table| {
            let max_open = limits.max_open_requests * RECORDS_PER_OPEN_REQUEST;
            table.set_limits(Limits {
                max_open,
                max_answer_bytes: limits.max_answer_bytes,
                max_kept_bytes: self.settings.max_kept_bytes,
            });
            for key in &expired {
                table.forget(key);
            }
        });
    }

    /// Forgets voided rounds without a record once they are older than [`MIN_VOIDED_RETENTION`].
    ///
    /// They must be remembered for at least as long as ended requests (`limits.keep`).
    fn forget_voided(&self) {
        self.with_table(|table| table.forget_voided());
    }
}
