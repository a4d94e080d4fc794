//! The service: the request table, and what its decisions need.

use crate::record::{Record, View};
use backend::{Engines, PlainServices};
use cluster::Cluster;
use control::Configuration;
use infra::Kv;
use kernel::prelude::*;
use kernel::{Metrics, Stop};
use ledger::{Input, Limits, RequestTable, Response, Ticket};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use servers::Servers;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use tokio::sync::broadcast::error::RecvError;
use tokio::sync::{Notify, oneshot};

/// Open records for each place of a caller: its own request, those of callers that went away before
/// they ended, and copies held for other entries.
const RECORDS_FOR_EACH_PLACE: usize = 8;

/// Times and bounds of the driver.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Time for an answer of the owner or witness.
    pub peer: Duration,
    /// Attempts at backend servers for one request.
    pub attempts: u32,
    /// Longest pause of a stream before it counts as broken.
    pub stall: Duration,
    /// Times that a claim with a lost answer is read back.
    pub claim_reads: u32,
    /// Longest wait for a chunk in one read.
    pub read_wait: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            peer: Duration::from_millis(300),
            attempts: 4,
            stall: Duration::from_secs(5),
            claim_reads: 2,
            read_wait: Duration::from_secs(1),
        }
    }
}

/// What the service needs of others.
#[derive(Clone)]
pub struct Services {
    /// Other entries.
    pub cluster: Arc<Cluster>,
    /// Configuration in force.
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

/// Time that a voided round without a record is remembered at least.
const VOIDED_AGE: Duration = Duration::from_secs(600);

/// Counters of the service.
pub(crate) struct Counters {
    pub(crate) accepted: Counter<u64>,
    pub(crate) ended: Counter<u64>,
    pub(crate) recomputed: Counter<u64>,
    pub(crate) claims: Counter<u64>,
    pub(crate) dropped: Counter<u64>,
    pub(crate) first_token: Histogram<f64>,
}

/// Holds and drives the requests of one entry.
pub struct Requests {
    pub(crate) to: Services,
    pub(crate) settings: Settings,
    pub(crate) clock: Clock,
    pub(crate) log: Logger,
    pub(crate) counters: Counters,
    /// Notified when a request ended.
    pub(crate) idle: Notify,
    table: Mutex<RequestTable>,
    records: Mutex<HashMap<Key, Arc<Record>>>,
    tickets: Mutex<HashMap<Ticket, oneshot::Sender<Response>>>,
    next_ticket: AtomicU64,
}

impl Requests {
    /// The name under which services find the requests.
    pub const NAME: &'static str = "requests";

    /// Creates the service without any request.
    pub fn new(
        to: Services,
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
            Mutex::new(RequestTable::new(to.cluster.local_node().clone(), Limits::default()));
        Arc::new(Self {
            to,
            settings,
            clock,
            log,
            counters,
            idle: Notify::new(),
            table,
            records: Mutex::default(),
            tickets: Mutex::default(),
            next_ticket: AtomicU64::new(0),
        })
    }

    /// Returns the run of this entry.
    pub fn me(&self) -> &NodeId {
        self.to.cluster.local_node()
    }

    /// Returns what is known of a request, if it is held here.
    pub fn view(&self, key: &Key) -> Option<View> {
        let (role, chunks, ending) = self.with_table(|table| table.describe(key))?;
        let record = self.with_records(|records| records.get(key).cloned());
        let notes = record.map(|record| record.notes()).unwrap_or_default();
        Some(View { role, chunks, ending, notes })
    }

    /// Returns how many records are held, and how many of them have not ended.
    pub fn count(&self) -> (usize, usize) {
        self.with_table(|table| table.counts())
    }

    /// Takes nothing new from now on.
    pub fn refuse_new(self: &Arc<Self>) {
        self.feed(Input::RefuseNew);
    }

    /// Tells whether this entry is leaving.
    pub fn is_leaving(&self) -> bool {
        self.with_table(|table| table.refuses_new())
    }

    /// Gives every open request away, and waits until all have ended or moved.
    pub async fn hand_over_all(self: &Arc<Self>) {
        self.feed(Input::HandOverAll);
        self.wait_until_idle().await;
    }

    /// Waits until every request that this entry owns has ended or moved.
    pub async fn wait_until_idle(&self) {
        loop {
            let notified = self.idle.notified();
            if self.with_table(|table| table.is_idle()) {
                return;
            }
            notified.await;
        }
    }

    /// Forgets ended requests and takes over those of dead owners, until the stop.
    pub async fn run(self: Arc<Self>, mut stop: Stop) {
        let mut changes = self.to.cluster.changes();
        let mut every_second = tokio::time::interval(Duration::from_secs(1));
        let mut every_age = tokio::time::interval(VOIDED_AGE);
        loop {
            tokio::select! {
                change = changes.recv() => match change {
                    Ok(_) | Err(RecvError::Lagged(_)) => self.feed(Input::Members),
                    Err(RecvError::Closed) => return,
                },
                _ = every_second.tick() => self.forget_old(),
                _ = every_age.tick() => self.forget_voided(),
                () = stop.wait() => return,
            }
        }
    }

    /// Lets the closure see and change the request table; no guard outlives it.
    ///
    /// The closure must not call this again.
    pub(crate) fn with_table<T>(&self, f: impl FnOnce(&mut RequestTable) -> T) -> T {
        f(&mut self.table.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Lets the closure see and change what the shell keeps; no guard outlives it.
    pub(crate) fn with_records<T>(&self, f: impl FnOnce(&mut HashMap<Key, Arc<Record>>) -> T) -> T {
        f(&mut self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn take_ticket(&self) -> (Ticket, oneshot::Receiver<Response>) {
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

    fn forget_old(&self) {
        let now = self.clock.now();
        let limits = self.to.configuration.current().map(|c| c.config.limits.clone());
        let limits = limits.unwrap_or_default();
        let keep = limits.keep.as_millis() as Millis;
        let mut old: Vec<Key> = Vec::new();
        self.with_records(|records| {
            records.retain(|key, record| {
                let keeps = now < record.kept_from() + keep;
                if !keeps {
                    old.push(key.clone());
                }
                keeps
            });
        });
        self.with_table(|table| {
            let max_open = limits.open * RECORDS_FOR_EACH_PLACE;
            table.set_limits(Limits { max_open, max_answer_bytes: limits.answer });
            for key in &old {
                table.forget(key);
            }
        });
    }

    /// Forgets voided rounds without a record once they are as old as an ended request may be.
    fn forget_voided(&self) {
        self.with_table(|table| table.forget_voided());
    }
}
