//! The service: records by key, and what they need.

use crate::record::Record;
use backend::{Engine, Plain};
use cluster::Cluster;
use control::Configuration;
use kernel::prelude::*;
use kernel::{Metrics, Stop};
use member::Change;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};
use platform::Kv;
use servers::Servers;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::broadcast::error::RecvError;

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
    pub engine: Engine,
    /// Plain services.
    pub plain: Plain,
}

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
    pub(crate) leaving: std::sync::atomic::AtomicBool,
    records: Mutex<HashMap<Key, Arc<Record>>>,
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
        let (leaving, records) = (false.into(), Mutex::default());
        Arc::new(Self { to, settings, clock, log, counters, leaving, records })
    }

    /// Returns the run of this entry.
    pub fn me(&self) -> &NodeId {
        self.to.cluster.me()
    }

    /// Returns the record of a request, if it is held here.
    pub fn get(&self, key: &Key) -> Option<Arc<Record>> {
        self.records().get(key).cloned()
    }

    /// Returns how many records are held, and how many of them have not ended.
    pub fn count(&self) -> (usize, usize) {
        let records = self.records();
        let open = records.values().filter(|record| record.state().ended_at.is_none()).count();
        (records.len(), open)
    }

    /// Forgets ended requests and takes over those of dead owners, until the stop.
    pub async fn run(self: Arc<Self>, mut stop: Stop) {
        let mut changes = self.to.cluster.changes();
        loop {
            tokio::select! {
                change = changes.recv() => match change {
                    Ok(Change::Died(node) | Change::Joined(node)) => self.owner_gone(&node),
                    Ok(_) | Err(RecvError::Lagged(_)) => {}
                    Err(RecvError::Closed) => return,
                },
                () = tokio::time::sleep(Duration::from_secs(1)) => self.forget_old(),
                () = stop.wait() => return,
            }
        }
    }

    pub(crate) fn records(&self) -> MutexGuard<'_, HashMap<Key, Arc<Record>>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
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
        let keep = self
            .to
            .configuration
            .current()
            .map_or(Duration::from_secs(120), |c| c.config.limits.keep);
        let keep = keep.as_millis() as Millis;
        self.records().retain(|_, record| {
            let ended = record.state().ended_at;
            // A record that never ended is forgotten as long after its deadline.
            now < ended.unwrap_or(record.deadline) + keep
        });
    }
}
