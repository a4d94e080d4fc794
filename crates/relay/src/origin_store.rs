//! Keeps in the store which software versions began streams, so that this outlives all entries.
//!
//! While one version serves, only the fact that it is the only one is kept. Else two entries write the
//! versions of all new streams, many in one call.

use crate::context::Context;
use crate::message::Message;
use crate::sync::wait_for_store;
use coord::{MissingHistories, MissingHistoryStep, VersionHistory};
use infra::{Commit, Committed, Lease, Put, Swap};
use kernel::boot_ms;
use kernel::prelude::*;
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::{Mutex, watch};
use tokio::time::Instant;

/// Prefix of the keys that hold versions of streams.
const ORIGINS_PREFIX: &str = "fennelfold/origins/";
/// Prefix of the keys that hold the versions that served a service lately.
pub(crate) const VERSIONS_PREFIX: &str = "fennelfold/versions/";
/// What stands in place of a service in the key which shows that this deployment has run. Each build takes its
/// empty value for the history of a service that nobody asks for.
const DEPLOYMENT: &str = ".deployment";
/// Maximum time that a stream waits before it begins, until its service has a history.
const HISTORY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Interval between two writes. What an entry was told since the last one is lost with it.
const WRITE_INTERVAL: Duration = Duration::from_millis(200);
/// Time to live of a written version, in seconds. It is longer than any stream lasts.
const ORIGINS_TTL_S: i64 = 45;
/// Time for which one lease is used for new keys, in milliseconds.
const LEASE_USE_MS: Millis = 10_000;
/// Maximum number of streams in one write.
const MAX_STREAMS_PER_WRITE: usize = 4_000;
/// Maximum number of streams that wait to be written, while the store is away.
const MAX_WAITING_STREAMS: usize = 20_000;
/// Maximum number of streams in one message.
const MAX_STREAMS_PER_MESSAGE: usize = 500;
/// Time for which the versions of streams that were read count as all. What is written later began at a
/// running entry, which tells it to others, in milliseconds.
const RELOAD_AFTER_MS: Millis = 2_000;
/// Maximum time to read the versions of streams for a request.
const LOAD_TIMEOUT: Duration = Duration::from_millis(600);

/// Histories with the revisions of their keys, by service.
type Histories = BTreeMap<Name, (VersionHistory, i64)>;
/// Streams by the version that began them, as they are stored.
type Batch = BTreeMap<Name, Vec<Name>>;

/// What one entry knows of the origins in the store.
#[derive(Default)]
pub(crate) struct OriginStore {
    /// Streams to write, with their versions.
    waiting: RefCell<Vec<(Name, Name)>>,
    lease: Cell<Option<(Lease, Millis)>>,
    last_batch: Cell<u64>,
    /// Histories that the store has shown; `None` before they were read.
    histories: RefCell<Option<Histories>>,
    /// Signals a change of `histories`.
    histories_changed: watch::Sender<()>,
    /// Number of restores of the store before `histories` were read.
    read_after_restores: Cell<u64>,
    missing: Cell<MissingHistories>,
    /// Time at which the last reading of all versions of streams began.
    loaded_at: Mutex<Option<Millis>>,
}

impl OriginStore {
    /// Adds streams for the next write.
    pub(crate) fn add(&self, cx: &Context, software_version: &Name, requests: Vec<Name>) {
        let mut waiting = self.waiting.borrow_mut();
        let room = MAX_WAITING_STREAMS.saturating_sub(waiting.len());
        if requests.len() > room {
            warn!(cx.log, "versions of streams not kept"; "streams" => requests.len() - room,
                "cause" => "too many wait for the store");
        }
        let added = requests.into_iter().take(room);
        waiting.extend(added.map(|request| (request, software_version.clone())));
    }

    /// Returns the only version that can have begun streams of a service, by its history in the store.
    pub(crate) fn sole_version(&self, service: &Name, now_unix_ms: u64) -> Option<Name> {
        let histories = self.histories.borrow();
        let (history, _) = histories.as_ref()?.get(service)?;
        history.sole(now_unix_ms).cloned()
    }

    /// Whether a version that nobody saw may have begun streams of a service, by its history in the store.
    pub(crate) fn is_in_doubt(&self, service: &Name, now_unix_ms: u64) -> bool {
        let histories = self.histories.borrow();
        let history = histories.as_ref().and_then(|histories| histories.get(service));
        history.is_some_and(|(history, _)| history.is_in_doubt(now_unix_ms))
    }

    fn has_history(&self, service: &str) -> bool {
        self.histories.borrow().as_ref().is_some_and(|histories| histories.contains_key(service))
    }

    /// Waits until the store has shown a history.
    async fn wait_for_history(&self, service: &str) {
        let mut changed = self.histories_changed.subscribe();
        while !self.has_history(service) {
            // The sender lives as long as the store of origins.
            drop(changed.changed().await);
        }
    }
}

/// Waits a short time, and not beyond `deadline`, until the store holds a history of a service that has servers;
/// returns whether a stream may begin.
///
/// One that began before would leave nothing that outlives all entries.
pub(crate) async fn wait_for_history(cx: &Context, service: &Name, deadline: Instant) -> bool {
    let has_servers =
        cx.served_versions.borrow().get(service).is_some_and(|served| !served.present.is_empty());
    let shown = cx.origin_store.wait_for_history(service);
    let limit = deadline.min(Instant::now() + HISTORY_TIMEOUT);
    !has_servers || tokio::time::timeout_at(limit, shown).await.is_ok()
}

/// Waits until the store shows that this deployment has run.
pub(crate) async fn wait_for_deployment_mark(cx: &Context) {
    cx.origin_store.wait_for_history(DEPLOYMENT).await;
}

/// Has the versions of streams written to the store.
pub(crate) fn record(cx: &Context, software_version: &Name, requests: Vec<Name>) {
    let mut by_recorder: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    for request in requests {
        let recorder = cx.origins.borrow().recorder(&request).cloned();
        let recorder = recorder.unwrap_or_else(|| cx.settings.name.clone());
        by_recorder.entry(recorder).or_default().push(request);
    }
    let roster = cx.roster.borrow();
    for (recorder, requests) in by_recorder {
        let entry = roster.get(&recorder).filter(|entry| entry.name != cx.settings.name);
        let Some(entry) = entry else {
            cx.origin_store.add(cx, software_version, requests);
            continue;
        };
        for requests in requests.chunks(MAX_STREAMS_PER_MESSAGE) {
            let message = Message::RecordOrigins {
                software_version: software_version.clone(),
                requests: requests.to_vec(),
            };
            cx.peers().send(cx, entry, message);
        }
    }
}

/// Writes what this entry is told, and the histories if it is the one that keeps them.
pub(crate) async fn run(cx: Rc<Context>) {
    while let Err(failure) = read_histories(&cx).await {
        debug!(cx.log, "histories of versions not read"; "cause" => %failure);
        wait_for_store(&cx, |_| {}).await;
    }
    loop {
        tokio::time::sleep(WRITE_INTERVAL).await;
        let written = async {
            keep_histories(&cx).await?;
            write_waiting(&cx).await
        };
        if let Err(failure) = written.await {
            debug!(cx.log, "versions not written"; "cause" => %failure);
            wait_for_store(&cx, |_| {}).await;
        }
    }
}

async fn read_histories(cx: &Context) -> Result<(), Failure> {
    let (sent, restores) = (boot_ms(), cx.restores());
    let listed = cx.store.list(VERSIONS_PREFIX).await;
    cx.record_store_call("list", sent, listed.as_ref().err());
    let listed = listed?.items;
    let is_first = listed.is_empty();
    let histories = listed.into_iter().filter_map(|(key, stored)| {
        let service = Name::from(key.strip_prefix(VERSIONS_PREFIX)?);
        Some((service, (parse_history(cx, &key, &stored.value), stored.revision)))
    });
    let histories: Histories = histories.collect();
    // No stream begins and nobody leads before something is written here, which stays for good.
    cx.record_start(!is_first);
    cx.origin_store.read_after_restores.set(restores);
    cx.origin_store.histories.replace(Some(histories));
    cx.origin_store.histories_changed.send_replace(());
    Ok(())
}

/// Returns the history in a value of the store. An unreadable one confirms nothing.
pub(crate) fn parse_history(cx: &Context, key: &str, value: &[u8]) -> VersionHistory {
    serde_json::from_slice(value).unwrap_or_else(|e| {
        warn!(cx.log, "history of versions unreadable"; "key" => key.to_owned(), "cause" => %e);
        VersionHistory::in_doubt(Clock::unix_ms())
    })
}

/// Versions that serve, by service, as this entry sees them.
fn served_services(cx: &Context) -> Vec<(Name, BTreeSet<Name>)> {
    let served = cx.served_versions.borrow();
    served.iter().map(|(service, served)| (service.clone(), served.present.clone())).collect()
}

/// Writes the histories that have changed or are missing, or reads what another entry wrote.
async fn keep_histories(cx: &Context) -> Result<(), Failure> {
    let origins = &cx.origin_store;
    if origins.read_after_restores.get() != cx.restores() {
        // The copy may lack what was written after it.
        read_histories(cx).await?;
    }
    let served = served_services(cx);
    let is_missing = |service: &Name| !origins.has_history(service);
    let has_missing = is_missing(&DEPLOYMENT.into())
        || served.iter().any(|(service, present)| !present.is_empty() && is_missing(service));
    let keeps_history = cx.origins.borrow().keeps_history();
    let mut missing = origins.missing.get();
    let step = missing.next(has_missing, cx.origins.borrow().history_rank(), boot_ms());
    origins.missing.set(missing);
    if step == MissingHistoryStep::Read {
        return read_histories(cx).await;
    }
    if step == MissingHistoryStep::Write && is_missing(&DEPLOYMENT.into()) {
        write_history(cx, DEPLOYMENT.into(), 0, VersionHistory::default()).await?;
    }
    for (service, present) in served {
        let known = {
            let histories = origins.histories.borrow();
            histories.as_ref().and_then(|histories| histories.get(&service)).cloned()
        };
        let may_write = keeps_history || (known.is_none() && step == MissingHistoryStep::Write);
        let (history, revision) = known.unwrap_or_else(|| (new_history(cx), 0));
        if let Some(changed) = history.after(&present, Clock::unix_ms()).filter(|_| may_write) {
            write_history(cx, service, revision, changed).await?;
        }
    }
    Ok(())
}

/// Returns the history of a service that has none in the store, before any version is added.
fn new_history(cx: &Context) -> VersionHistory {
    // An entry that was there from the beginning knows that no stream began without a history.
    if cx.is_first_start() && cx.restore.get().is_none() {
        VersionHistory::default()
    } else {
        VersionHistory::in_doubt(Clock::unix_ms())
    }
}

/// Writes the history of a service unless another entry has written it since `revision`.
async fn write_history(
    cx: &Context,
    service: Name,
    revision: i64,
    changed: VersionHistory,
) -> Result<(), Failure> {
    let key = format!("{VERSIONS_PREFIX}{service}");
    let value =
        serde_json::to_vec(&changed).map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let sent = boot_ms();
    let swapped = cx.store.swap(&key, revision, value.into(), None).await;
    cx.record_store_call("commit", sent, swapped.as_ref().err());
    let known = match swapped? {
        Swap::Done(revision) => {
            info!(cx.log, "versions of a service"; "service" => %service,
                "history" => ?changed, "revision" => revision);
            Some((changed, revision))
        }
        // The next round starts from what another entry wrote.
        Swap::Other(Some(stored)) => {
            Some((parse_history(cx, &key, &stored.value), stored.revision))
        }
        Swap::Other(None) => None,
    };
    if let Some(histories) = &mut *cx.origin_store.histories.borrow_mut() {
        match known {
            Some(known) => drop(histories.insert(service, known)),
            None => drop(histories.remove(&service)),
        }
    }
    cx.origin_store.histories_changed.send_replace(());
    Ok(())
}

/// Writes the streams that wait.
async fn write_waiting(cx: &Context) -> Result<(), Failure> {
    let origins = &cx.origin_store;
    let mut batch = Batch::new();
    let count = origins.waiting.borrow().len().min(MAX_STREAMS_PER_WRITE);
    for (request, version) in origins.waiting.borrow().iter().take(count) {
        batch.entry(version.clone()).or_default().push(request.clone());
    }
    if batch.is_empty() {
        return Ok(());
    }
    let lease = lease(cx).await?;
    let number = origins.last_batch.get() + 1;
    origins.last_batch.set(number);
    let value =
        serde_json::to_vec(&batch).map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let key = format!("{ORIGINS_PREFIX}{}/{}/{number}", cx.settings.name, cx.incarnation);
    let put = Put { key, value: value.into(), lease: Some(lease) };
    let commit = Commit { puts: vec![put], ..Commit::default() };
    let sent = boot_ms();
    let committed = cx.store.commit(&commit).await;
    cx.record_store_call("commit", sent, committed.as_ref().err());
    match committed? {
        Committed::Done(_) => {
            origins.waiting.borrow_mut().drain(..count);
            Ok(())
        }
        Committed::Conflict | Committed::NoLease => {
            origins.lease.set(None);
            Err(Failure::new(Code::PlatformUnreachable, "the lease of the versions has ended"))
        }
    }
}

/// Returns a lease under which keys are written now.
async fn lease(cx: &Context) -> Result<Lease, Failure> {
    let now = boot_ms();
    if let Some((lease, granted_at)) = cx.origin_store.lease.get()
        && now.saturating_sub(granted_at) < LEASE_USE_MS
    {
        return Ok(lease);
    }
    let granted = cx.store.grant(ORIGINS_TTL_S).await;
    cx.record_store_call("grant", now, granted.as_ref().err());
    let lease = granted?;
    cx.origin_store.lease.set(Some((lease, now)));
    Ok(lease)
}

/// Reads the versions of streams from the store, unless they have just been read.
pub(crate) async fn load(cx: &Rc<Context>) {
    let asked_at = boot_ms();
    let loaded = async {
        let mut loaded_at = cx.origin_store.loaded_at.lock().await;
        if loaded_at.is_some_and(|at| at + RELOAD_AFTER_MS > asked_at) {
            return;
        }
        let sent = boot_ms();
        let listed = cx.store.list(ORIGINS_PREFIX).await;
        cx.record_store_call("list", sent, listed.as_ref().err());
        let Ok(listing) = listed else { return };
        *loaded_at = Some(sent);
        let mut streams = 0;
        for (key, stored) in listing.items {
            let batch: Batch = match serde_json::from_slice(&stored.value) {
                Ok(batch) => batch,
                Err(e) => {
                    warn!(cx.log, "versions of streams unreadable"; "key" => key, "cause" => %e);
                    continue;
                }
            };
            let mut origins = cx.origins.borrow_mut();
            for (version, requests) in batch {
                streams += requests.len();
                requests.iter().for_each(|request| origins.record(request, &version, sent));
            }
        }
        info!(cx.log, "versions of streams read"; "streams" => streams,
            "took_ms" => boot_ms().saturating_sub(sent));
    };
    if tokio::time::timeout(LOAD_TIMEOUT, loaded).await.is_err() {
        info!(cx.log, "versions of streams not read in time");
    }
}
