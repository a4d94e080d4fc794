//! A linearizable key-value service in memory, and a client of it whose calls meet faults.

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

/// A mechanism that protects acceptance and is switched off for a counter-test.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Off {
    Compare,
    HistoryWrite,
    BodyWrite,
    Nonce,
}

#[derive(Clone, Debug)]
struct Write {
    key: String,
    expected: i64,
    value: Bytes,
}

/// The service itself.
pub(crate) struct Model {
    items: Mutex<BTreeMap<String, Stored>>,
    heads: Mutex<Vec<Head>>,
    revision: watch::Sender<i64>,
    off: Option<Off>,
}

impl Model {
    pub(crate) fn new(off: Option<Off>) -> Arc<Self> {
        Arc::new(Self {
            items: Mutex::default(),
            heads: Mutex::default(),
            revision: watch::channel(0).0,
            off,
        })
    }

    /// Every head that was ever written, in order.
    pub(crate) fn heads(&self) -> Vec<Head> {
        self.heads.lock().expect("not poisoned").clone()
    }

    pub(crate) fn read(&self, key: &str) -> Option<Stored> {
        let mut stored = self.items.lock().expect("not poisoned").get(key).cloned()?;
        if self.off == Some(Off::Nonce) && key.contains("/config/h") {
            let mut head: Head = serde_json::from_slice(&stored.value).expect("a head");
            head.nonce = Name::from("hidden");
            stored.value = serde_json::to_vec(&head).expect("a head").into();
        }
        Some(stored)
    }

    /// Counts the watches that wait.
    pub(crate) fn watches(&self) -> usize {
        self.revision.receiver_count()
    }

    fn apply(&self, write: &Write) -> Swap {
        let mut items = self.items.lock().expect("not poisoned");
        let known = items.get(&write.key).map_or(0, |stored| stored.revision);
        let drops = (self.off == Some(Off::HistoryWrite) && write.key.starts_with(HISTORY))
            || (self.off == Some(Off::BodyWrite) && write.key.contains("/body/"));
        if drops {
            return Swap::Done(*self.revision.borrow());
        }
        if known != write.expected && self.off != Some(Off::Compare) {
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

/// What befalls one call.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fault {
    /// The call has no effect and fails.
    Down,
    /// The call and the forty after it fail, longer than an offer is tried.
    Outage,
    /// The call takes effect, and its answer is lost.
    LostAnswer,
    /// The call fails and takes effect after the next one.
    Late,
    /// The call takes effect twice, and the second answer arrives.
    Twice,
    /// The answer takes three seconds.
    Slow,
    /// Another operator's offer is accepted just before.
    Race,
    /// The calling process dies before the call.
    CrashBefore,
    /// The calling process dies after the call took effect.
    CrashAfter,
    /// The calling process is paused before the call until the operator has an answer elsewhere.
    Pause,
}

pub(crate) const FAULTS: [Fault; 10] = [
    Fault::Down,
    Fault::Outage,
    Fault::LostAnswer,
    Fault::Late,
    Fault::Twice,
    Fault::Slow,
    Fault::Race,
    Fault::CrashBefore,
    Fault::CrashAfter,
    Fault::Pause,
];

/// Calls that an outage fails after the first one.
const OUTAGE: usize = 40;

/// A client whose calls meet the faults of a script, by the number of the call.
pub(crate) struct Client {
    pub(crate) model: Arc<Model>,
    script: BTreeMap<usize, Fault>,
    calls: AtomicUsize,
    down_until: AtomicUsize,
    late: Mutex<Vec<(usize, Write)>>,
    pub(crate) crashed: Notify,
    pub(crate) paused: Notify,
    resumed: watch::Sender<bool>,
    down: AtomicBool,
    pub(crate) race: Notify,
    pub(crate) raced: Notify,
}

impl Client {
    pub(crate) fn new(model: Arc<Model>, script: BTreeMap<usize, Fault>) -> Arc<Self> {
        Arc::new(Self {
            model,
            script,
            calls: AtomicUsize::new(0),
            down_until: AtomicUsize::new(0),
            late: Mutex::default(),
            crashed: Notify::new(),
            paused: Notify::new(),
            resumed: watch::channel(false).0,
            down: AtomicBool::new(false),
            race: Notify::new(),
            raced: Notify::new(),
        })
    }

    /// Tells whether every fault of the script was met.
    pub(crate) fn met_all(&self) -> bool {
        let calls = self.calls.load(Ordering::SeqCst);
        self.script.keys().all(|call| *call < calls)
    }

    /// Cuts this client off from the service, or connects it again.
    pub(crate) fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Lets paused processes go on.
    pub(crate) fn resume(&self) {
        self.resumed.send_replace(true);
    }

    /// Lets every write that is still on its way take effect.
    pub(crate) fn land_all(&self) {
        for (_, write) in self.late.lock().expect("not poisoned").drain(..) {
            self.model.apply(&write);
        }
    }

    fn land(&self, before: usize) {
        let mut late = self.late.lock().expect("not poisoned");
        let due: Vec<Write> =
            late.iter().filter(|(at, _)| *at < before).map(|(_, write)| write.clone()).collect();
        late.retain(|(at, _)| *at >= before);
        drop(late);
        due.iter().for_each(|write| drop(self.model.apply(write)));
    }

    async fn call<T>(&self, write: Option<Write>, run: impl Fn() -> T) -> Result<T, Failure> {
        let number = self.calls.fetch_add(1, Ordering::SeqCst);
        let fault = self.script.get(&number).copied();
        let failed = || Err(Failure::new(Code::PlatformUnreachable, "no answer"));
        if self.down.load(Ordering::SeqCst) {
            return failed();
        }
        if number < self.down_until.load(Ordering::SeqCst) && fault.is_none() {
            return failed();
        }
        let result = match fault {
            Some(Fault::Down) => failed(),
            Some(Fault::Outage) => {
                self.down_until.store(number + 1 + OUTAGE, Ordering::SeqCst);
                failed()
            }
            Some(Fault::LostAnswer) => {
                run();
                failed()
            }
            Some(Fault::Late) => {
                self.late.lock().expect("not poisoned").extend(write.map(|write| (number, write)));
                failed()
            }
            Some(Fault::Twice) => {
                run();
                Ok(run())
            }
            Some(Fault::Slow) => {
                tokio::time::sleep(Duration::from_secs(3)).await;
                Ok(run())
            }
            Some(Fault::Race) => {
                self.race.notify_one();
                self.raced.notified().await;
                Ok(run())
            }
            Some(Fault::CrashBefore) => {
                self.crashed.notify_one();
                std::future::pending().await
            }
            Some(Fault::CrashAfter) => {
                run();
                self.crashed.notify_one();
                std::future::pending().await
            }
            Some(Fault::Pause) => {
                self.paused.notify_one();
                let _ = self.resumed.subscribe().wait_for(|resumed| *resumed).await;
                Ok(run())
            }
            None => Ok(run()),
        };
        self.land(number);
        result
    }
}

#[async_trait]
impl Kv for Client {
    async fn get(&self, key: &str) -> Result<Option<Stored>, Failure> {
        self.call(None, || self.model.read(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(String, Stored)>, Failure> {
        let items = self.model.items.lock().expect("not poisoned").clone();
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
        self.call(Some(write.clone()), || self.model.apply(&write)).await
    }

    async fn grant(&self, _: i64) -> Result<Lease, Failure> {
        Ok(Lease(1))
    }

    async fn renew(&self, _: Lease) -> Result<bool, Failure> {
        Ok(true)
    }

    async fn changed(&self, key: &str, revision: i64) -> Result<Stored, Failure> {
        let mut changes = self.model.revision.subscribe();
        loop {
            if self.down.load(Ordering::SeqCst) {
                std::future::pending::<()>().await;
            }
            if let Some(stored) = self.model.read(key).filter(|s| s.revision > revision) {
                return Ok(stored);
            }
            changes.changed().await.expect("the model lives");
        }
    }
}
