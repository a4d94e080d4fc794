//! Keeps what the entry believes of rules, servers and entries in step with the store.

use crate::context::Context;
use crate::duty;
use crate::feed::Feed;
use crate::message::{Followed, Told, ToldChange};
use crate::peers;
use coord::{Confirmed, Entry};
use infra::{Change, Commit, Committed, Lease, Put, Stored, Watched};
use kernel::boot_ms;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Part of the time to apply rules that passes between two reads of them; the rest covers a read
/// that is slow or lost.
const RULES_EVERY: f64 = 0.6;
/// The same where some entries read for all: the others ask them in between.
const READERS_EVERY: f64 = 0.4;
/// Part of the time to apply rules that passes between two questions to readers.
const ASK_EVERY: f64 = 0.2;
/// Part of the time to apply rules beyond which a confirmation is too old and the store is read.
const OLD: f64 = 0.7;
/// Time for other entries to answer how fresh their rules are.
const VOUCH_TIME: Duration = Duration::from_millis(60);
/// Entries up to which each reads the rules itself.
const ALL_READ: usize = 12;
/// Entries that read the rules for all where there are more.
const READERS: usize = 8;
/// Pause after a call to the store failed.
const RETRY: Duration = Duration::from_millis(250);
/// Time that one watch of the servers waits; the probes of its connection tell a silent one sooner.
const SERVERS_WAIT_MS: u64 = 6_000;
/// Time that one watch of the entries waits.
const ENTRIES_WAIT_MS: u64 = 12_000;
/// Part of the time to obey a leaving server that passes after a change before the next call, so
/// that changes which come together are heard in one.
const GATHER: f64 = 0.3;
/// About the most changes that one message tells: a few kilobytes.
const MOST_CHANGES: usize = 24;
/// Time for servers to register again after the store was away, in milliseconds.
const REGISTER_AGAIN_MS: Millis = 2_200;
/// Time to live of an entry's registration, in seconds: the shares of an entry that is cut off stay
/// unused for so long and for the time in which it stops by itself.
const REGISTRATION_S: i64 = 3;
/// Time between two renewals of it; two may be lost.
const RENEW_EVERY: Duration = Duration::from_millis(900);
/// Time between two looks at servers that did not register again.
const MISSING_EVERY: Duration = Duration::from_millis(100);
/// Prefix of the keys that every entry follows.
const LIVE: &str = "fennelfold/live/";
/// Prefix of the entries' keys.
const ENTRIES: &str = "fennelfold/live/entries/";
/// Key of the lease of the duties.
pub(crate) const LEADER: &str = "fennelfold/live/leader";

/// Reads the rules again and again, or asks those who do; each answer confirms how fresh they are.
pub(crate) async fn rules(cx: Rc<Context>) {
    let apply = cx.settings.promises.apply;
    loop {
        let readers = readers(&cx);
        let is_reader = readers.as_ref().is_none_or(|all| all.contains(&cx.settings.name));
        if let (false, Some(readers)) = (is_reader, &readers) {
            peers::ask_vouch(&cx, readers);
            tokio::time::sleep(VOUCH_TIME).await;
            let limit = apply.mul_f64(OLD).as_millis() as Millis;
            if !cx.newer_rules_exist.replace(false)
                && cx.freshness.borrow().is_fresh(boot_ms(), limit)
            {
                tokio::select! {
                    () = tokio::time::sleep(apply.mul_f64(ASK_EVERY)) => {}
                    () = cx.poll_rules_now.notified() => {}
                }
                continue;
            }
        }
        let sent = boot_ms();
        let read = cx.store.get(cx.protocol.rules_key()).await;
        cx.note_store("rules", read.as_ref().err());
        let pause = match read {
            Ok(Some(stored)) => {
                take_rules(&cx, &stored, sent);
                apply.mul_f64(if readers.is_some() { READERS_EVERY } else { RULES_EVERY })
            }
            Ok(None) => RETRY,
            Err(_) => {
                // Whom the store still serves can tell whether the rules here are the newest.
                peers::ask_vouch(&cx, &[]);
                RETRY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Returns the entries that read the rules for all; none where each reads them itself.
fn readers(cx: &Context) -> Option<Vec<Name>> {
    let roster = cx.roster.borrow();
    let names: Vec<&Name> = roster.present().map(|entry| &entry.name).collect();
    if names.len() <= ALL_READ {
        return None;
    }
    // Names that stand apart in their order are likely to stand in several data centres.
    let step = names.len().div_ceil(READERS);
    Some(names.into_iter().step_by(step).cloned().collect())
}

fn take_rules(cx: &Context, stored: &Stored, sent: Millis) {
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
        Confirmed::Newer => {
            info!(cx.log, "rules in force"; "version" => version, "before" => known,
                "revision" => stored.revision, "read_ms" => boot_ms().saturating_sub(sent));
            *cx.rules.borrow_mut() = Rc::new(rules);
        }
        Confirmed::Same => {}
        Confirmed::Older => {
            warn!(cx.log, "rules older than known"; "version" => version, "kept" => known);
        }
    }
}

impl Followed {
    const ALL: [Self; 2] = [Self::Live, Self::Servers];

    fn feed(self, cx: &Context) -> &RefCell<Feed> {
        match self {
            Self::Live => &cx.live_feed,
            Self::Servers => &cx.servers_feed,
        }
    }

    fn prefix(self, cx: &Context) -> &str {
        match self {
            Self::Live => LIVE,
            Self::Servers => cx.protocol.servers_prefix(),
        }
    }

    /// Returns the time that one watch waits, in milliseconds.
    fn wait_ms(self) -> u64 {
        match self {
            Self::Live => ENTRIES_WAIT_MS,
            Self::Servers => SERVERS_WAIT_MS,
        }
    }

    fn listed(self, cx: &Context, items: Vec<(String, Stored)>) {
        match self {
            Self::Live => entries_listed(cx, items),
            Self::Servers => servers_listed(cx, items),
        }
    }

    fn changed(self, cx: &Context, change: Change) {
        match self {
            Self::Live => entry_changed(cx, &change),
            Self::Servers => server_changed(cx, &change),
        }
    }
}

/// Returns the revisions up to which this entry knows all changes.
pub(crate) fn known(cx: &Context) -> BTreeMap<Followed, i64> {
    let known = |followed: Followed| {
        followed.feed(cx).borrow().through().map(|through| (followed, through))
    };
    Followed::ALL.into_iter().filter_map(known).collect()
}

/// Returns what another entry does not know yet; none when not all of it is kept here.
pub(crate) fn tell(cx: &Context, followed: Followed, after: i64) -> Option<Told> {
    let (changes, through) = followed.feed(cx).borrow().after(after, MOST_CHANGES)?;
    let changes = changes.into_iter().map(ToldChange::from).collect();
    Some(Told { followed, changes, through })
}

/// Takes in what another entry told.
pub(crate) fn take_told(cx: &Context, told: Told) {
    let Told { followed, changes, through } = told;
    hear(cx, followed, changes.into_iter().map(Change::from).collect(), through);
}

/// Takes in all changes up to a revision.
fn hear(cx: &Context, followed: Followed, changes: Vec<Change>, through: i64) {
    let new = followed.feed(cx).borrow_mut().hear(changes, through);
    for change in new {
        followed.changed(cx, change);
    }
}

/// Follows a prefix of the store: a listing, then each change after it.
pub(crate) async fn follow(cx: Rc<Context>, followed: Followed) {
    let prefix = followed.prefix(&cx).to_owned();
    let drain = cx.settings.promises.drain;
    let mut regained = cx.store_regained.subscribe();
    loop {
        regained.mark_unchanged();
        let listed = cx.store.list(&prefix).await;
        cx.note_store("list", listed.as_ref().err());
        let Ok(listing) = listed else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        followed.feed(&cx).borrow_mut().restart(listing.revision);
        followed.listed(&cx, listing.items);
        loop {
            let after = followed.feed(&cx).borrow().through().unwrap_or(listing.revision);
            let watched = tokio::select! {
                watched = cx.store.watch(&prefix, after, followed.wait_ms()) => watched,
                // A watch from before the store was lost may be silent for good.
                _ = regained.changed() => break,
            };
            cx.note_store("watch", watched.as_ref().err());
            match watched {
                Ok(Watched::Changes(changes, through)) => {
                    let is_any = !changes.is_empty();
                    hear(&cx, followed, changes, through);
                    if is_any {
                        tokio::time::sleep(drain.mul_f64(GATHER)).await;
                    }
                }
                Ok(Watched::Forgotten) => {
                    info!(cx.log, "history forgotten"; "prefix" => prefix.clone(), "after" => after);
                    break;
                }
                Err(_) => {
                    tokio::time::sleep(RETRY).await;
                    // What was removed meanwhile may be told only by a listing.
                    break;
                }
            }
        }
    }
}

fn servers_listed(cx: &Context, items: Vec<(String, Stored)>) {
    let listed = items.iter().filter_map(|(key, stored)| take_server(cx, key, stored));
    let listed: BTreeSet<Name> = listed.collect();
    let gone: Vec<Name> = {
        let picker = cx.picker.borrow();
        let ids = picker.servers().map(|server| server.listed.id.clone());
        ids.filter(|id| !listed.contains(id)).collect()
    };
    for id in gone {
        leave(cx, id);
    }
}

fn server_changed(cx: &Context, change: &Change) {
    match &change.stored {
        Some(stored) => drop(take_server(cx, &change.key, stored)),
        None => leave(cx, id_of(cx, &change.key)),
    }
}

/// Drops servers that did not register again in time after the store was away.
pub(crate) async fn missing(cx: Rc<Context>) {
    loop {
        tokio::time::sleep(MISSING_EVERY).await;
        cx.share_out();
        let back = cx.store_regained_at.get();
        if cx.store_lost.get() || boot_ms().saturating_sub(back) < REGISTER_AGAIN_MS {
            continue;
        }
        let missing = std::mem::take(&mut *cx.missing_servers.borrow_mut());
        for id in missing {
            forget(&cx, &id);
        }
    }
}

fn id_of(cx: &Context, key: &str) -> Name {
    Name::from(key.strip_prefix(cx.protocol.servers_prefix()).unwrap_or(key))
}

/// Takes in what a server registered and returns its name.
fn take_server(cx: &Context, key: &str, stored: &Stored) -> Option<Name> {
    match cx.protocol.parse_server(key, &stored.value) {
        Ok(listed) => {
            let id = listed.id.clone();
            cx.missing_servers.borrow_mut().remove(&id);
            let (leaving, service) = (listed.leaving, listed.service.clone());
            let ends_in = listed.leaves_ms.map(Duration::from_millis);
            let ends_in = ends_in.unwrap_or(cx.settings.promises.drain);
            if cx.picker.borrow_mut().list(listed) {
                info!(cx.log, "server listed"; "server" => %id, "service" => %service,
                    "leaving" => leaving, "ends_in_ms" => ends_in.as_millis() as u64,
                    "revision" => stored.revision);
                if leaving {
                    cx.departs(&id, ends_in);
                }
            }
            Some(id)
        }
        Err(failure) => {
            warn!(cx.log, "server entry names no server"; "key" => key.to_owned(),
                "cause" => failure.context);
            let id = id_of(cx, key);
            cx.picker.borrow_mut().remove(&id);
            None
        }
    }
}

/// Takes in that a server is no longer listed.
///
/// While the store was away registrations may have lapsed although their servers live; these have
/// some time to register again.
fn leave(cx: &Context, id: Name) {
    // Another entry may tell of them before this one has regained the store.
    let is_back = boot_ms().saturating_sub(cx.store_regained_at.get()) >= REGISTER_AGAIN_MS;
    if cx.store_lost.get() || !is_back {
        cx.missing_servers.borrow_mut().insert(id);
    } else {
        forget(cx, &id);
    }
}

fn forget(cx: &Context, id: &Name) {
    let was_leaving = cx.picker.borrow().get(id).is_some_and(|server| server.listed.leaving);
    if cx.picker.borrow_mut().remove(id) {
        if !was_leaving {
            // Some servers leave without a word and serve on for the same time.
            cx.departs(id, cx.settings.promises.drain);
        }
        info!(cx.log, "server gone"; "server" => %id);
    }
}

/// What an entry writes under its key.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Registration {
    incarnation: u64,
    front: Name,
    peer: Name,
    data_centre: Name,
}

fn entries_listed(cx: &Context, items: Vec<(String, Stored)>) {
    let leader = items.iter().find(|(key, _)| key == LEADER);
    take_leader(cx, leader.map(|(_, stored)| stored));
    let entries = items.iter().filter_map(|(key, stored)| read_entry(cx, key, stored));
    cx.roster.borrow_mut().replace(entries.collect(), boot_ms());
    cx.share_out();
}

fn entry_changed(cx: &Context, change: &Change) {
    if change.key == LEADER {
        take_leader(cx, change.stored.as_ref());
        return;
    }
    match &change.stored {
        Some(stored) => {
            if let Some(entry) = read_entry(cx, &change.key, stored) {
                info!(cx.log, "entry listed"; "other" => %entry.name, "incarnation" => entry.incarnation);
                cx.roster.borrow_mut().add(entry);
            }
        }
        None => {
            let name = change.key.strip_prefix(ENTRIES).unwrap_or(&change.key);
            info!(cx.log, "entry gone"; "other" => name.to_owned());
            cx.roster.borrow_mut().remove(name, boot_ms());
        }
    }
    cx.share_out();
}

/// Takes in who holds the duties.
fn take_leader(cx: &Context, stored: Option<&Stored>) {
    let leader = stored.and_then(|stored| duty::holder_of(&stored.value));
    if leader.is_none() {
        cx.leader_vacant.notify_one();
    }
    if *cx.leader.borrow() != leader {
        info!(cx.log, "holder of the duties"; "entry_now" => leader.as_deref().map(str::to_owned));
        *cx.leader.borrow_mut() = leader;
    }
}

fn read_entry(cx: &Context, key: &str, stored: &Stored) -> Option<Entry> {
    let name = Name::from(key.strip_prefix(ENTRIES)?);
    match serde_json::from_slice::<Registration>(&stored.value) {
        Ok(Registration { incarnation, front, peer, data_centre }) => {
            Some(Entry { name, incarnation, front, peer, data_centre })
        }
        Err(e) => {
            warn!(cx.log, "registration unreadable"; "other" => %name, "cause" => %e);
            None
        }
    }
}

/// Keeps this entry registered until it stops.
pub(crate) async fn register(cx: Rc<Context>) {
    let mut lease: Option<Lease> = None;
    let mut is_first = true;
    while !cx.stopping.get() {
        let registered = match lease {
            Some(lease) => cx.store.renew(lease).await,
            None => Ok(false),
        };
        cx.note_store("renew", registered.as_ref().err());
        let pause = match registered {
            Ok(true) => RENEW_EVERY,
            Err(_) => RETRY,
            Ok(false) => match write_registration(&cx, &mut is_first).await {
                Ok(made) => {
                    lease = Some(made);
                    RENEW_EVERY
                }
                Err(failure) => {
                    debug!(cx.log, "not registered"; "cause" => %failure);
                    RETRY
                }
            },
        };
        tokio::time::sleep(pause).await;
    }
    let commit = Commit { removes: vec![key_of(&cx)], ..Commit::default() };
    let removed = cx.store.commit(&commit).await;
    cx.note_store("commit", removed.as_ref().err());
}

fn key_of(cx: &Context) -> String {
    format!("{ENTRIES}{}", cx.settings.name)
}

async fn write_registration(cx: &Context, is_first: &mut bool) -> Result<Lease, Failure> {
    let key = key_of(cx);
    let known = cx.store.get(&key).await?;
    let lease = cx.store.grant(REGISTRATION_S).await?;
    let registration = Registration {
        incarnation: cx.incarnation,
        front: Name::from(cx.settings.front.to_string()),
        peer: Name::from(cx.settings.peer.to_string()),
        data_centre: cx.settings.data_centre.clone(),
    };
    let value = serde_json::to_vec(&registration)
        .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let put = Put { key, value: value.into(), lease: Some(lease) };
    let commit = Commit { puts: vec![put], ..Commit::default() };
    match cx.store.commit(&commit).await? {
        Committed::Done(revision) => {
            let was_counted = known.is_some();
            info!(cx.log, "registered"; "revision" => revision, "was_counted" => was_counted);
            if *is_first {
                *is_first = false;
                // The others have to count this entry before it earns a share of any quota.
                let hold = cx.settings.promises.revoke.as_millis() as Millis;
                let from = if was_counted { boot_ms() } else { boot_ms() + hold };
                cx.quota_shares.borrow_mut().start_at(from);
            }
            Ok(lease)
        }
        Committed::Conflict | Committed::NoLease => {
            Err(Failure::new(Code::PlatformUnreachable, "the registration did not take effect"))
        }
    }
}
