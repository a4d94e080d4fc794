//! Keeps the entry's copy of the rules, the servers and the entries up to date with the store.

use crate::change_log::{ChangeLog, ListingStep};
use crate::context::Context;
use crate::duty;
use crate::message::{WatchedPrefix, registration_size};
use crate::origins;
use crate::paths;
use crate::peers;
use crate::readers::{batch_delay, is_reader, next_source};
use crate::registration::{ENTRIES_PREFIX, parse_registration};
use crate::server_check;
use bytes::Bytes;
use coord::{ChangeSource, Confirmation};
use infra::{Change, Listing, Stored, Watched};
use kernel::boot_ms;
use kernel::prelude::*;
use pick::Server;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use tokio::time::Instant;

/// Interval between two polls of the rules, as a fraction of the time allowed to apply new rules.
/// The rest of that time covers a slow or lost read.
const POLL_FRACTION: f64 = 0.6;
/// The same interval in a deployment where only the readers poll the rules. The other entries query
/// the readers in between.
const READER_POLL_FRACTION: f64 = 0.15;
/// Interval between two freshness queries to the readers, as a fraction of the time allowed to
/// apply new rules.
const QUERY_FRACTION: f64 = 0.2;
/// Maximum age of a confirmation, as a fraction of the time allowed to apply new rules. An older
/// one makes the entry poll the store itself.
const MAX_AGE_FRACTION: f64 = 0.7;
/// Time to wait for replies to a freshness query.
const FRESHNESS_REPLY_TIMEOUT: Duration = Duration::from_millis(60);
/// Delay before the retry of a failed call to the store.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(250);
/// The same delay while the store is away, unless it has answered another call meanwhile. The renewals of
/// the registration, the cheapest calls, find out.
const OUTAGE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Duration of one watch of the servers, in milliseconds. Keep-alive probes detect a dead
/// connection sooner.
const SERVERS_WATCH_MS: u64 = 6_000;
/// Duration of one watch of the entries, in milliseconds.
const ENTRIES_WATCH_MS: u64 = 12_000;
/// Maximum interval between two decisions whether to rely on the readers.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time allowed for servers to register again after an outage of the store, in milliseconds.
const REREGISTRATION_MS: Millis = 2_200;
/// Interval between two checks for servers that did not register again.
const MISSING_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Prefix of the entries' registrations and of the leader's lease record.
const LIVE_PREFIX: &str = "fennelfold/live/";
/// Key of the leader's lease record.
pub(crate) const LEADER_KEY: &str = "fennelfold/live/leader";

/// Polls the rules in the store, or queries the readers that do. Each reply confirms the freshness
/// of the rules, and the copies of the servers and entries.
pub(crate) async fn poll_rules(cx: Rc<Context>) {
    let apply = cx.settings.promises.apply;
    loop {
        let readers = cx.readers.borrow().clone();
        if let (false, Some(readers)) = (is_reader(&cx), &readers) {
            peers::query_freshness(&cx, readers);
            tokio::time::sleep(FRESHNESS_REPLY_TIMEOUT).await;
            let limit = apply.mul_f64(MAX_AGE_FRACTION).as_millis() as Millis;
            if !cx.newer_rules_exist.replace(false)
                && cx.freshness.borrow().is_fresh(boot_ms(), limit)
            {
                tokio::select! {
                    () = tokio::time::sleep(apply.mul_f64(QUERY_FRACTION)) => {}
                    () = cx.poll_rules_now.notified() => {}
                }
                continue;
            }
        }
        let sent = boot_ms();
        let read = cx.store.get(cx.protocol.rules_key()).await;
        cx.record_store_call("rules", sent, read.as_ref().err());
        let is_read = read.is_ok();
        let pause = match read {
            Ok(Some(stored)) => {
                apply_rules(&cx, &stored, sent);
                apply.mul_f64(if readers.is_some() { READER_POLL_FRACTION } else { POLL_FRACTION })
            }
            Ok(None) => RETRY_DELAY,
            Err(_) => {
                wait_for_store(&cx, |cx| {
                    // Peers that still reach the store can confirm that these rules are the newest.
                    peers::query_freshness(cx, &[]);
                })
                .await;
                Duration::ZERO
            }
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = cx.poll_rules_now.notified(), if is_read => {}
        }
    }
}

/// Waits before the next call after one to the store has failed: until the store answers another call, or
/// for [`OUTAGE_RETRY_DELAY`]. Calls `meanwhile` every [`RETRY_DELAY`].
pub(crate) async fn wait_for_store(cx: &Context, meanwhile: impl Fn(&Context)) {
    let mut regained = cx.store_regained.subscribe();
    let until = Instant::now() + OUTAGE_RETRY_DELAY;
    loop {
        meanwhile(cx);
        tokio::select! {
            () = tokio::time::sleep(RETRY_DELAY) => {}
            _ = regained.changed() => return,
        }
        if !cx.store_health.get().is_lost() || Instant::now() >= until {
            return;
        }
    }
}

fn apply_rules(cx: &Context, stored: &Stored, sent: Millis) {
    let known = cx.rules.borrow().version;
    let rules = match cx.protocol.parse_rules(&stored.value) {
        Ok(rules) => rules,
        Err(failure) => {
            warn!(cx.log, "rules unreadable"; "cause" => failure.context, "kept" => known);
            return;
        }
    };
    let version = rules.version;
    match cx.freshness.borrow_mut().confirm(version, sent) {
        Confirmation::Newer => {
            info!(cx.log, "rules in force"; "version" => version, "before" => known,
                "revision" => stored.revision, "read_ms" => boot_ms().saturating_sub(sent));
            *cx.rules.borrow_mut() = Rc::new(rules);
        }
        Confirmation::Same => {}
        Confirmation::Older => {
            warn!(cx.log, "rules older than known"; "version" => version, "kept" => known);
        }
    }
}

impl WatchedPrefix {
    pub(crate) const ALL: [Self; 2] = [Self::Live, Self::Servers];

    pub(crate) fn change_log(self, cx: &Context) -> &RefCell<ChangeLog> {
        match self {
            Self::Live => &cx.live_changes,
            Self::Servers => &cx.server_changes,
        }
    }

    fn prefix(self, cx: &Context) -> &str {
        match self {
            Self::Live => LIVE_PREFIX,
            Self::Servers => cx.protocol.servers_prefix(),
        }
    }

    /// Returns the duration of one watch, in milliseconds.
    fn wait_ms(self) -> u64 {
        match self {
            Self::Live => ENTRIES_WATCH_MS,
            Self::Servers => SERVERS_WATCH_MS,
        }
    }

    /// Returns the keys under the prefix that this entry knows.
    fn known_keys(self, cx: &Context) -> BTreeSet<String> {
        match self {
            Self::Live => {
                let roster = cx.roster.borrow();
                let entries =
                    roster.present().map(|entry| format!("{ENTRIES_PREFIX}{}", entry.name));
                let leader = cx.leader.borrow().as_ref().map(|_| LEADER_KEY.to_owned());
                entries.chain(leader).collect()
            }
            Self::Servers => {
                let picker = cx.picker.borrow();
                let ids = picker.servers().map(|server| &server.info.id);
                ids.map(|id| format!("{}{id}", cx.protocol.servers_prefix())).collect()
            }
        }
    }

    fn apply_listing(self, cx: &Context, items: Vec<(String, Stored)>) {
        match self {
            Self::Live => apply_entry_listing(cx, items),
            Self::Servers => apply_server_listing(cx, items),
        }
    }

    fn apply_change(self, cx: &Context, change: Change) {
        match self {
            Self::Live => apply_entry_change(cx, &change),
            Self::Servers => apply_server_change(cx, &change),
        }
    }
}

/// Applies the changes up to the revision `through` and skips those that are known.
pub(crate) fn apply_changes(
    cx: &Context,
    prefix: WatchedPrefix,
    changes: Vec<Change>,
    through: i64,
) {
    let new = prefix.change_log(cx).borrow_mut().apply(changes, through, boot_ms());
    for change in new {
        prefix.apply_change(cx, change);
    }
}

/// Keeps the copy of a prefix of the store up to date: applies a listing first, then every change
/// after it, as the readers or the store tell it.
pub(crate) async fn watch_prefix(cx: Rc<Context>, prefix: WatchedPrefix) {
    let key_prefix = prefix.prefix(&cx).to_owned();
    let mut regained = cx.store_regained.subscribe();
    loop {
        regained.mark_unchanged();
        let sent = boot_ms();
        let listed = cx.store.list(&key_prefix).await;
        cx.record_store_call("list", sent, listed.as_ref().err());
        let Ok(listing) = listed else {
            wait_for_store(&cx, |_| {}).await;
            continue;
        };
        let revision = listing.revision;
        apply_listing(&cx, prefix, listing, sent);
        loop {
            if let ChangeSource::Readers { remaining_ms } = next_source(&cx, prefix) {
                if prefix == WatchedPrefix::Servers {
                    cx.servers_followed_at.set(boot_ms());
                }
                let pause = Duration::from_millis(remaining_ms).min(SOURCE_CHECK_INTERVAL);
                tokio::select! {
                    () = tokio::time::sleep(pause) => continue,
                    () = cx.copy_behind.notified() => continue,
                    // The readers list what changed during an outage of the store.
                    _ = regained.changed() => continue,
                }
            }
            let after = prefix.change_log(&cx).borrow().through().unwrap_or(revision);
            let sent = boot_ms();
            prefix.change_log(&cx).borrow_mut().age.begin_watch();
            let watched = tokio::select! {
                watched = cx.store.watch(&key_prefix, after, prefix.wait_ms()) => Some(watched),
                // A watch that was opened before an outage of the store may never return a change.
                _ = regained.changed() => None,
            };
            let succeeded = matches!(watched, Some(Ok(Watched::Changes(..))));
            prefix.change_log(&cx).borrow_mut().age.end_watch(succeeded, boot_ms());
            let Some(watched) = watched else { break };
            cx.record_store_call("watch", sent, watched.as_ref().err());
            match watched {
                Ok(Watched::Changes(changes, through)) => {
                    let has_changes = !changes.is_empty();
                    let changes = changes.into_iter().map(|change| sendable_change(&cx, change));
                    let changes = changes.collect();
                    apply_changes(&cx, prefix, changes, through);
                    if has_changes {
                        tokio::time::sleep(batch_delay(&cx)).await;
                    }
                }
                Ok(Watched::Forgotten) => {
                    info!(cx.log, "changes after the known revision are no longer available";
                        "prefix" => key_prefix.clone(), "after" => after);
                    break;
                }
                Err(_) => {
                    wait_for_store(&cx, |_| {}).await;
                    // Only a listing is certain to show the keys that were removed in between.
                    break;
                }
            }
        }
    }
}

/// Applies a listing that was requested at `sent`. What it shows to have changed since the last one is kept
/// like changes of a watch, so that the others can still be told.
fn apply_listing(cx: &Context, prefix: WatchedPrefix, listing: Listing, sent: Millis) {
    let Listing { items, revision } = sendable_listing(cx, listing);
    let known = prefix.known_keys(cx);
    let mut log = prefix.change_log(cx).borrow_mut();
    log.age.record_listing(sent);
    match log.apply_listing(&items, revision, &known, sent) {
        ListingStep::Replace => {
            drop(log);
            prefix.apply_listing(cx, items);
        }
        ListingStep::Apply(changes) => {
            drop(log);
            for change in changes {
                prefix.apply_change(cx, change);
            }
        }
    }
}

/// Replaces values that could not be sent to peers, so that all entries take them for the same.
pub(crate) fn sendable_listing(cx: &Context, listing: Listing) -> Listing {
    let sendable = |(key, stored): (String, Stored)| {
        let stored = sendable_value(cx, &key, stored);
        (key, stored)
    };
    Listing { items: listing.items.into_iter().map(sendable).collect(), ..listing }
}

fn sendable_change(cx: &Context, change: Change) -> Change {
    let Change { key, stored, revision } = change;
    let stored = stored.map(|stored| sendable_value(cx, &key, stored));
    Change { key, stored, revision }
}

/// Replaces a value that could not be sent to peers by an empty one, which is no registration.
fn sendable_value(cx: &Context, key: &str, stored: Stored) -> Stored {
    if registration_size(&stored.value).is_some() {
        return stored;
    }
    warn!(cx.log, "value is no registration"; "key" => key.to_owned(),
        "bytes" => stored.value.len());
    Stored { value: Bytes::new(), ..stored }
}

fn apply_server_listing(cx: &Context, items: Vec<(String, Stored)>) {
    let listed = items.iter().filter_map(|(key, stored)| upsert_server(cx, key, stored));
    let listed: BTreeSet<Name> = listed.collect();
    let gone: Vec<Name> = {
        let picker = cx.picker.borrow();
        let ids = picker.servers().map(|server| server.info.id.clone());
        ids.filter(|id| !listed.contains(id)).collect()
    };
    for id in gone {
        handle_server_removal(cx, id);
    }
}

fn apply_server_change(cx: &Context, change: &Change) {
    match &change.stored {
        Some(stored) => drop(upsert_server(cx, &change.key, stored)),
        None => handle_server_removal(cx, server_id(cx, &change.key)),
    }
}

/// Removes servers that did not register again in time after an outage of the store.
pub(crate) async fn remove_missing_servers(cx: Rc<Context>) {
    loop {
        tokio::time::sleep(MISSING_CHECK_INTERVAL).await;
        cx.update_shares();
        if !is_reregistration_over(&cx) {
            continue;
        }
        let missing = std::mem::take(&mut *cx.missing_servers.borrow_mut());
        for id in missing {
            remove_server(&cx, &id);
        }
    }
}

fn server_id(cx: &Context, key: &str) -> Name {
    Name::from(key.strip_prefix(cx.protocol.servers_prefix()).unwrap_or(key))
}

/// Adds or updates a server from its registration. Returns its name.
fn upsert_server(cx: &Context, key: &str, stored: &Stored) -> Option<Name> {
    match cx.protocol.parse_server(key, &stored.value) {
        Ok(info) => {
            let id = info.id.clone();
            cx.missing_servers.borrow_mut().remove(&id);
            let (leaving, service) = (info.leaving, info.service.clone());
            let software = info.software_version.clone();
            let ends_in = info.reclaimed_in_ms.map(Duration::from_millis);
            let ends_in = ends_in.unwrap_or(cx.settings.promises.drain);
            if cx.picker.borrow().get(&id).is_none() {
                cx.server_added_at.set(boot_ms());
            }
            if cx.picker.borrow_mut().upsert(info) {
                cx.server_paths.borrow_mut().record_registered(&service, &id);
                origins::observe_versions(cx, &service);
                info!(cx.log, "server listed"; "server" => %id, "service" => %service,
                    "software" => %software,
                    "leaving" => leaving, "ends_in_ms" => ends_in.as_millis() as u64,
                    "revision" => stored.revision);
                if leaving {
                    cx.schedule_departure(&id, ends_in);
                }
            }
            Some(id)
        }
        Err(failure) => {
            warn!(cx.log, "server entry names no server"; "key" => key.to_owned(),
                "cause" => failure.context);
            let id = server_id(cx, key);
            cx.picker.borrow_mut().remove(&id);
            None
        }
    }
}

/// Handles the removal of a server's registration.
///
/// Registrations may expire during an outage of the store while their servers still run. Such
/// servers get [`REREGISTRATION_MS`] to register again.
fn handle_server_removal(cx: &Context, id: Name) {
    // A peer may send the removal before this entry has reached the store again.
    if is_reregistration_over(cx) {
        remove_server(cx, &id);
    } else {
        cx.missing_servers.borrow_mut().insert(id);
    }
}

/// Whether servers have had the time to register again after the last outage of the store.
fn is_reregistration_over(cx: &Context) -> bool {
    let health = cx.store_health.get();
    !health.is_lost() && boot_ms().saturating_sub(health.regained_at()) >= REREGISTRATION_MS
}

fn remove_server(cx: &Context, id: &Name) {
    let was_leaving = cx.picker.borrow().get(id).is_some_and(Server::is_leaving);
    cx.server_limits.borrow_mut().remove(id);
    cx.brittle_servers.borrow_mut().remove(id);
    let known = cx.picker.borrow().get(id).map(|server| server.info.clone());
    let service = known.as_ref().map(|info| info.service.clone());
    if let Some(info) = known.filter(|_| !was_leaving) {
        server_check::record_unlisted(cx, id, info.started_unix_ms);
    }
    if let Some(service) = &service {
        paths::remove_server(cx, service, id);
    }
    if cx.picker.borrow_mut().remove(id) {
        if let Some(service) = service {
            origins::observe_versions(cx, &service);
        }
        if !was_leaving {
            // Some servers remove their registration without notice and keep serving for the drain
            // time.
            cx.schedule_departure(id, cx.settings.promises.drain);
        }
        info!(cx.log, "server gone"; "server" => %id);
    }
}

fn apply_entry_listing(cx: &Context, items: Vec<(String, Stored)>) {
    let leader = items.iter().find(|(key, _)| key == LEADER_KEY);
    update_leader(cx, leader.map(|(_, stored)| stored));
    let entries = items.iter().filter_map(|(key, stored)| parse_registration(cx, key, stored));
    cx.roster.borrow_mut().replace(entries.collect(), boot_ms());
    cx.update_shares();
}

fn apply_entry_change(cx: &Context, change: &Change) {
    if change.key == LEADER_KEY {
        update_leader(cx, change.stored.as_ref());
        return;
    }
    match &change.stored {
        Some(stored) => {
            if let Some(entry) = parse_registration(cx, &change.key, stored) {
                info!(cx.log, "entry listed"; "other" => %entry.name,
                    "incarnation" => entry.incarnation);
                cx.roster.borrow_mut().add(entry);
            }
        }
        None => {
            let name = change.key.strip_prefix(ENTRIES_PREFIX).unwrap_or(&change.key);
            info!(cx.log, "entry gone"; "other" => name.to_owned());
            cx.roster.borrow_mut().remove(name, boot_ms());
        }
    }
    cx.update_shares();
}

/// Updates the leader from the lease record; `None` if there is no record, hence no leader.
fn update_leader(cx: &Context, stored: Option<&Stored>) {
    let leader = stored.and_then(|stored| duty::lease_holder(&stored.value));
    if leader.is_none() {
        cx.leader_vacant.notify_one();
    }
    if *cx.leader.borrow() != leader {
        info!(cx.log, "holder of the duties"; "entry_now" => leader.as_deref().map(str::to_owned));
        *cx.leader.borrow_mut() = leader;
    }
}
