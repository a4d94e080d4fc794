//! Keeps in the store which software versions began streams, so that this outlives all entries.
//!
//! While one version serves, only the fact that it is the only one is kept. Else two entries write the
//! versions of all new streams, many in one call.

use crate::context::Context;
use crate::message::Message;
use crate::sync::wait_for_store;
use coord::VersionHistory;
use infra::{Commit, Committed, Lease, Put, Swap};
use kernel::boot_ms;
use kernel::prelude::*;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::sync::Mutex;

/// Prefix of the keys that hold versions of streams.
const ORIGINS_PREFIX: &str = "fennelfold/origins/";
/// Prefix of the keys that hold the versions that served a service lately.
pub(crate) const VERSIONS_PREFIX: &str = "fennelfold/versions/";
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

/// Streams by the version that began them, as they are stored.
type Batch = BTreeMap<Name, Vec<Name>>;

/// What one entry knows of the origins in the store.
#[derive(Default)]
pub(crate) struct OriginStore {
    /// Streams to write, with their versions.
    waiting: RefCell<Vec<(Name, Name)>>,
    lease: Cell<Option<(Lease, Millis)>>,
    last_batch: Cell<u64>,
    /// Histories with the revisions of their keys, by service; `None` before they were read.
    histories: RefCell<Option<BTreeMap<Name, (VersionHistory, i64)>>>,
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
            if cx.origins.borrow().keeps_history() {
                write_histories(&cx).await?;
            }
            write_waiting(&cx).await
        };
        if let Err(failure) = written.await {
            debug!(cx.log, "versions not written"; "cause" => %failure);
            wait_for_store(&cx, |_| {}).await;
        }
    }
}

async fn read_histories(cx: &Context) -> Result<(), Failure> {
    let sent = boot_ms();
    let listed = cx.store.list(VERSIONS_PREFIX).await;
    cx.record_store_call("list", sent, listed.as_ref().err());
    let listed = listed?.items;
    let is_first = listed.is_empty();
    let histories = listed.into_iter().filter_map(|(key, stored)| {
        let service = Name::from(key.strip_prefix(VERSIONS_PREFIX)?);
        let history = parse_history(cx, &key, &stored.value)?;
        Some((service, (history, stored.revision)))
    });
    let histories: BTreeMap<Name, (VersionHistory, i64)> = histories.collect();
    // They are written as soon as an entry knows a server, and stay for good.
    cx.record_start(!is_first);
    cx.origin_store.histories.replace(Some(histories));
    Ok(())
}

pub(crate) fn parse_history(cx: &Context, key: &str, value: &[u8]) -> Option<VersionHistory> {
    let parsed = serde_json::from_slice(value);
    parsed
        .map_err(|e| {
            warn!(cx.log, "history of versions unreadable"; "key" => key.to_owned(), "cause" => %e);
        })
        .ok()
}

/// Writes the histories of the services whose versions have changed.
async fn write_histories(cx: &Context) -> Result<(), Failure> {
    let present: Vec<_> = {
        let served = cx.served_versions.borrow();
        served.iter().map(|(service, served)| (service.clone(), served.present.clone())).collect()
    };
    for (service, present) in present {
        let (history, revision) = {
            let histories = cx.origin_store.histories.borrow();
            let known = histories.as_ref().and_then(|histories| histories.get(&service)).cloned();
            known.unwrap_or_default()
        };
        let Some(changed) = history.after(&present, Clock::unix_ms()) else { continue };
        let key = format!("{VERSIONS_PREFIX}{service}");
        let value = serde_json::to_vec(&changed)
            .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
        let sent = boot_ms();
        let swapped = cx.store.swap(&key, revision, value.into(), None).await;
        cx.record_store_call("commit", sent, swapped.as_ref().err());
        let known = match swapped? {
            Swap::Done(revision) => {
                info!(cx.log, "versions of a service"; "service" => %service,
                    "history" => ?changed, "revision" => revision);
                (changed, revision)
            }
            // The next round starts from what another entry wrote.
            Swap::Other(Some(stored)) => {
                (parse_history(cx, &key, &stored.value).unwrap_or_default(), stored.revision)
            }
            Swap::Other(None) => <(VersionHistory, i64)>::default(),
        };
        if let Some(histories) = &mut *cx.origin_store.histories.borrow_mut() {
            histories.insert(service, known);
        }
    }
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
