//! Reads from the store which software versions serve, to confirm what an entry believes.
//!
//! An entry's own copy of the servers may be older than a stream that another entry began: the entry may
//! stand still, be cut off, or be turned away by the store before it knows. Only a reading that was requested
//! after a caller asked shows every version that can have begun its stream.

use crate::context::Context;
use crate::origin_store::{VERSIONS_PREFIX, parse_history};
use crate::sync::sendable_listing;
use coord::VersionHistory;
use infra::Listing;
use kernel::boot_ms;
use kernel::prelude::*;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::sync::Mutex;

/// Maximum time to read the versions for a request.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);

/// The last reading, shared by all requests that had asked before it was requested.
#[derive(Default)]
pub(crate) struct VersionCheck {
    last: Mutex<Option<Rc<Reading>>>,
}

/// What the store told of the software versions.
struct Reading {
    /// Time of the request on the boot clock, in milliseconds.
    requested_at: Millis,
    /// Versions of the registered servers, by service.
    present: BTreeMap<Name, BTreeSet<Name>>,
    /// Versions that served lately, by service.
    histories: BTreeMap<Name, VersionHistory>,
}

impl Reading {
    fn new(cx: &Context, requested_at: Millis, servers: Listing, histories: Listing) -> Self {
        let mut present: BTreeMap<Name, BTreeSet<Name>> = BTreeMap::new();
        for (key, stored) in sendable_listing(cx, servers).items {
            // An unreadable registration names no server; the watch of the servers logs it.
            if let Ok(info) = cx.protocol.parse_server(&key, &stored.value) {
                present.entry(info.service).or_default().insert(info.software_version);
            }
        }
        let histories = histories.items.iter().filter_map(|(key, stored)| {
            let service = Name::from(key.strip_prefix(VERSIONS_PREFIX)?);
            Some((service, parse_history(cx, key, &stored.value)))
        });
        Self { requested_at, present, histories: histories.collect() }
    }

    fn shows_only(&self, service: &Name, version: &Name, now_unix_ms: u64) -> bool {
        let is_alone = self
            .present
            .get(service)
            .is_some_and(|present| present.len() == 1 && present.contains(version));
        // A missing history tells nothing: no stream begins without one.
        let history = self.histories.get(service);
        is_alone && history.is_some_and(|history| history.sole(now_unix_ms) == Some(version))
    }
}

/// Result of a check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Checked {
    /// No other version serves, or has served lately.
    Sole,
    /// Another version serves, or has served lately.
    Mixed,
    /// The store did not tell in time.
    Unknown,
}

/// Checks with the store whether `version` is the only one that can have begun a stream of the service
/// before this call.
pub(crate) async fn check(cx: &Context, service: &Name, version: &Name) -> Checked {
    let asked_at = boot_ms();
    let reading = tokio::time::timeout(CHECK_TIMEOUT, read_after(cx, asked_at)).await;
    match reading {
        Ok(Some(reading)) if reading.shows_only(service, version, Clock::unix_ms()) => {
            Checked::Sole
        }
        Ok(Some(_)) => Checked::Mixed,
        Ok(None) | Err(_) => Checked::Unknown,
    }
}

/// Returns a reading that was requested at `asked_at` or later.
async fn read_after(cx: &Context, asked_at: Millis) -> Option<Rc<Reading>> {
    // Requests that ask meanwhile wait here and share the next reading.
    let mut last = cx.version_check.last.lock().await;
    if let Some(reading) = last.as_ref().filter(|reading| reading.requested_at > asked_at) {
        return Some(reading.clone());
    }
    if cx.store_health.get().is_lost() {
        return None;
    }
    let sent = boot_ms();
    let (servers, histories) =
        tokio::join!(cx.store.list(cx.protocol.servers_prefix()), cx.store.list(VERSIONS_PREFIX));
    for listed in [&servers, &histories] {
        cx.record_store_call("versions", sent, listed.as_ref().err());
    }
    let reading = Rc::new(Reading::new(cx, sent, servers.ok()?, histories.ok()?));
    *last = Some(reading.clone());
    Some(reading)
}
