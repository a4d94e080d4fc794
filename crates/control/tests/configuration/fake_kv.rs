//! In-memory linearizable key-value service, and a client that injects faults into calls to it.

use async_trait::async_trait;
use bytes::Bytes;
use conf::Head;
use infra::{Kv, Lease, Stored, Swap};
use kernel::prelude::*;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use tokio::sync::{Notify, watch};

pub(crate) const HEAD: &str = "fennelfold/config/head";
pub(crate) const HISTORY: &str = "fennelfold/config/history/";

/// Safeguard of acceptance that is disabled to prove that the checker notices its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum DisabledGuard {
    /// A swap succeeds whatever the stored revision is.
    Compare,
    /// Writes to the history are discarded.
    HistoryWrite,
    /// Writes of bodies are discarded.
    BodyWrite,
    /// All heads are read back with the same nonce.
    Nonce,
}

#[derive(Clone, Debug)]
struct Write {
    key: String,
    expected: i64,
    value: Bytes,
}

/// In-memory key-value service.
pub(crate) struct FakeKv {
    items: Mutex<BTreeMap<String, Stored>>,
    heads: Mutex<Vec<Head>>,
    revision: watch::Sender<i64>,
    disabled: Option<DisabledGuard>,
}

impl FakeKv {
    pub(crate) fn new(disabled: Option<DisabledGuard>) -> Arc<Self> {
        Arc::new(Self {
            items: Mutex::default(),
            heads: Mutex::default(),
            revision: watch::channel(0).0,
            disabled,
        })
    }

    /// Returns every head that was ever written, in order.
    pub(crate) fn heads(&self) -> Vec<Head> {
        self.heads.lock().expect("not poisoned").clone()
    }

    pub(crate) fn read(&self, key: &str) -> Option<Stored> {
        let mut stored = self.items.lock().expect("not poisoned").get(key).cloned()?;
        if self.disabled == Some(DisabledGuard::Nonce) && key.contains("/config/h") {
            let mut head: Head = serde_json::from_slice(&stored.value).expect("a head");
            head.nonce = Name::from("hidden");
            stored.value = serde_json::to_vec(&head).expect("a head").into();
        }
        Some(stored)
    }

    /// Returns the number of pending watches.
    pub(crate) fn watch_count(&self) -> usize {
        self.revision.receiver_count()
    }

    fn apply(&self, write: &Write) -> Swap {
        let mut items = self.items.lock().expect("not poisoned");
        let stored_revision = items.get(&write.key).map_or(0, |stored| stored.revision);
        let is_discarded = (self.disabled == Some(DisabledGuard::HistoryWrite)
            && write.key.starts_with(HISTORY))
            || (self.disabled == Some(DisabledGuard::BodyWrite) && write.key.contains("/body/"));
        if is_discarded {
            return Swap::Done(*self.revision.borrow());
        }
        if stored_revision != write.expected && self.disabled != Some(DisabledGuard::Compare) {
            drop(items);
            return Swap::Other(self.read(&write.key));
        }
        let revision = *self.revision.borrow() + 1;
        items.insert(write.key.clone(), Stored { value: write.value.clone(), revision });
        drop(items);
        if write.key == HEAD {
            self.heads
                .lock()
                .expect("not poisoned")
                .push(serde_json::from_slice(&write.value).expect("a head"));
        }
        self.revision.send_replace(revision);
        Swap::Done(revision)
    }
}

/// Fault injected into one call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// The call has no effect and fails.
    Unavailable,
    /// The call and the next [`OUTAGE_CALLS`] fail, which outlasts the retries of a proposal.
    Outage,
    /// The call takes effect, and its response is lost.
    LostResponse,
    /// The call fails, and its write takes effect after the next call.
    Delayed,
    /// The call takes effect twice, and the second response is returned.
    Duplicated,
    /// The response takes three seconds.
    Slow,
    /// Another operator's proposal is accepted just before the call.
    Race,
    /// The calling process crashes before the call.
    CrashBefore,
    /// The calling process crashes after the call took effect.
    CrashAfter,
    /// The calling process is paused before the call, until another entry has answered the
    /// operator.
    Pause,
}

pub(crate) const FAULTS: [Fault; 10] = [
    Fault::Unavailable,
    Fault::Outage,
    Fault::LostResponse,
    Fault::Delayed,
    Fault::Duplicated,
    Fault::Slow,
    Fault::Race,
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Pause,
];

/// Number of calls that fail in an outage after the first one.
const OUTAGE_CALLS: usize = 40;

/// Client that injects the faults of a script, keyed by the number of the call.
pub(crate) struct FaultyClient {
    pub(crate) kv: Arc<FakeKv>,
    script: BTreeMap<usize, Fault>,
    calls: AtomicUsize,
    outage_until: AtomicUsize,
    delayed: Mutex<Vec<(usize, Write)>>,
    /// Signals that the calling process has crashed.
    pub(crate) crashed: Notify,
    /// Signals that the calling process was paused.
    pub(crate) paused: Notify,
    resumed: watch::Sender<bool>,
    unreachable: AtomicBool,
    /// Requests a concurrent proposal; the call continues once `raced` is signalled.
    pub(crate) race: Notify,
    pub(crate) raced: Notify,
}

impl FaultyClient {
    pub(crate) fn new(kv: Arc<FakeKv>, script: BTreeMap<usize, Fault>) -> Arc<Self> {
        Arc::new(Self {
            kv,
            script,
            calls: AtomicUsize::new(0),
            outage_until: AtomicUsize::new(0),
            delayed: Mutex::default(),
            crashed: Notify::new(),
            paused: Notify::new(),
            resumed: watch::channel(false).0,
            unreachable: AtomicBool::new(false),
            race: Notify::new(),
            raced: Notify::new(),
        })
    }

    /// Returns whether every fault of the script was injected.
    pub(crate) fn all_faults_injected(&self) -> bool {
        let calls = self.calls.load(Ordering::SeqCst);
        self.script.keys().all(|call| *call < calls)
    }

    /// Disconnects this client from the service, or reconnects it.
    pub(crate) fn set_unreachable(&self, unreachable: bool) {
        self.unreachable.store(unreachable, Ordering::SeqCst);
    }

    /// Resumes paused processes.
    pub(crate) fn resume(&self) {
        self.resumed.send_replace(true);
    }

    /// Applies every write that is still delayed.
    pub(crate) fn apply_delayed_writes(&self) {
        for (_, write) in self.delayed.lock().expect("not poisoned").drain(..) {
            self.kv.apply(&write);
        }
    }

    /// Applies the delayed writes of calls with a number below `before`.
    fn apply_delayed_before(&self, before: usize) {
        let mut delayed = self.delayed.lock().expect("not poisoned");
        let due: Vec<Write> =
            delayed.iter().filter(|(at, _)| *at < before).map(|(_, write)| write.clone()).collect();
        delayed.retain(|(at, _)| *at >= before);
        drop(delayed);
        due.iter().for_each(|write| drop(self.kv.apply(write)));
    }

    async fn call<T>(&self, write: Option<Write>, execute: impl Fn() -> T) -> Result<T, Failure> {
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        let fault = self.script.get(&number).copied();
        let failure = || Err(Failure::new(Code::PlatformUnreachable, "no response"));
        if self.unreachable.load(Ordering::SeqCst) {
            return failure();
        }
        if number < self.outage_until.load(Ordering::SeqCst) && fault.is_none() {
            return failure();
        }
        let result = match fault {
            Some(Fault::Unavailable) => failure(),
            Some(Fault::Outage) => {
                self.outage_until.store(number + 1 + OUTAGE_CALLS, Ordering::SeqCst);
                failure()
            }
            Some(Fault::LostResponse) => {
                execute();
                failure()
            }
            Some(Fault::Delayed) => {
                self.delayed
                    .lock()
                    .expect("not poisoned")
                    .extend(write.map(|write| (number, write)));
                failure()
            }
            Some(Fault::Duplicated) => {
                execute();
                Ok(execute())
            }
            Some(Fault::Slow) => {
                tokio::time::sleep(Duration::from_secs(3)).await;
                Ok(execute())
            }
            Some(Fault::Race) => {
                self.race.notify_one();
                self.raced.notified().await;
                Ok(execute())
            }
            Some(Fault::CrashBefore) => {
                self.crashed.notify_one();
                std::future::pending().await
            }
            Some(Fault::CrashAfter) => {
                execute();
                self.crashed.notify_one();
                std::future::pending().await
            }
            Some(Fault::Pause) => {
                self.paused.notify_one();
                let _ = self.resumed.subscribe().wait_for(|resumed| *resumed).await;
                Ok(execute())
            }
            None => Ok(execute()),
        };
        self.apply_delayed_before(number);
        result
    }
}

#[async_trait]
impl Kv for FaultyClient {
    async fn get(&self, key: &str) -> Result<Option<Stored>, Failure> {
        self.call(None, || self.kv.read(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(String, Stored)>, Failure> {
        let items = self.kv.items.lock().expect("not poisoned").clone();
        Ok(items.into_iter().filter(|(key, _)| key.starts_with(prefix)).collect())
    }

    async fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        _: Option<Lease>,
    ) -> Result<Swap, Failure> {
        let write = Write { key: key.to_owned(), expected, value };
        self.call(Some(write.clone()), || self.kv.apply(&write)).await
    }

    async fn grant(&self, _: i64) -> Result<Lease, Failure> {
        Ok(Lease(1))
    }

    async fn renew(&self, _: Lease) -> Result<bool, Failure> {
        Ok(true)
    }

    async fn changed(&self, key: &str, revision: i64) -> Result<Stored, Failure> {
        let mut changes = self.kv.revision.subscribe();
        loop {
            if self.unreachable.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            if let Some(stored) = self.kv.read(key).filter(|s| s.revision > revision) {
                return Ok(stored);
            }
            changes.changed().await.expect("the service is alive");
        }
    }
}
