//! Keeps what the entry believes of rules, servers and entries in step with the store.

use crate::duty;
use crate::feed::Feed;
use crate::hub::Hub;
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
pub(crate) async fn rules(hub: Rc<Hub>) {
    let apply = hub.settings.promises.apply;
    loop {
        let readers = readers(&hub);
        let is_reader = readers.as_ref().is_none_or(|all| all.contains(&hub.settings.name));
        if let (false, Some(readers)) = (is_reader, &readers) {
            peers::ask_vouch(&hub, readers);
            tokio::time::sleep(VOUCH_TIME).await;
            let limit = apply.mul_f64(OLD).as_millis() as Millis;
            if !hub.rules_newer.replace(false) && hub.sight.borrow().is_fresh(boot_ms(), limit) {
                tokio::select! {
                    () = tokio::time::sleep(apply.mul_f64(ASK_EVERY)) => {}
                    () = hub.rules_wanted.notified() => {}
                }
                continue;
            }
        }
        let sent = boot_ms();
        let read = hub.store.get(hub.dialect.rules_key()).await;
        hub.note_store("rules", read.as_ref().err());
        let pause = match read {
            Ok(Some(stored)) => {
                take_rules(&hub, &stored, sent);
                apply.mul_f64(if readers.is_some() { READERS_EVERY } else { RULES_EVERY })
            }
            Ok(None) => RETRY,
            Err(_) => {
                // Whom the store still serves can tell whether the rules here are the newest.
                peers::ask_vouch(&hub, &[]);
                RETRY
            }
        };
        tokio::time::sleep(pause).await;
    }
}

/// Returns the entries that read the rules for all; none where each reads them itself.
fn readers(hub: &Hub) -> Option<Vec<Name>> {
    let roster = hub.roster.borrow();
    let names: Vec<&Name> = roster.present().map(|entry| &entry.name).collect();
    if names.len() <= ALL_READ {
        return None;
    }
    // Names that stand apart in their order are likely to stand in several data centres.
    let step = names.len().div_ceil(READERS);
    Some(names.into_iter().step_by(step).cloned().collect())
}

fn take_rules(hub: &Hub, stored: &Stored, sent: Millis) {
    let known = hub.rules.borrow().version;
    let rules = match hub.dialect.rules(&stored.value) {
        Ok(rules) => rules,
        Err(failure) => {
            warn!(hub.log, "rules unreadable"; "cause" => failure.context, "kept" => known);
            return;
        }
    };
    let version = rules.version;
    match hub.sight.borrow_mut().confirm(version, sent) {
        Confirmed::Newer => {
            info!(hub.log, "rules in force"; "version" => version, "before" => known,
                "revision" => stored.revision, "read_ms" => boot_ms().saturating_sub(sent));
            *hub.rules.borrow_mut() = Rc::new(rules);
        }
        Confirmed::Same => {}
        Confirmed::Older => {
            warn!(hub.log, "rules older than known"; "version" => version, "kept" => known);
        }
    }
}

impl Followed {
    const ALL: [Self; 2] = [Self::Live, Self::Servers];

    fn feed(self, hub: &Hub) -> &RefCell<Feed> {
        match self {
            Self::Live => &hub.live_feed,
            Self::Servers => &hub.servers_feed,
        }
    }

    fn prefix(self, hub: &Hub) -> &str {
        match self {
            Self::Live => LIVE,
            Self::Servers => hub.dialect.servers_prefix(),
        }
    }

    /// Returns the time that one watch waits, in milliseconds.
    fn wait_ms(self) -> u64 {
        match self {
            Self::Live => ENTRIES_WAIT_MS,
            Self::Servers => SERVERS_WAIT_MS,
        }
    }

    fn listed(self, hub: &Hub, items: Vec<(String, Stored)>) {
        match self {
            Self::Live => entries_listed(hub, items),
            Self::Servers => servers_listed(hub, items),
        }
    }

    fn changed(self, hub: &Hub, change: Change) {
        match self {
            Self::Live => entry_changed(hub, &change),
            Self::Servers => server_changed(hub, &change),
        }
    }
}

/// Returns the revisions up to which this entry knows all changes.
pub(crate) fn known(hub: &Hub) -> BTreeMap<Followed, i64> {
    let known = |followed: Followed| {
        followed.feed(hub).borrow().through().map(|through| (followed, through))
    };
    Followed::ALL.into_iter().filter_map(known).collect()
}

/// Returns what another entry does not know yet; none when not all of it is kept here.
pub(crate) fn tell(hub: &Hub, followed: Followed, after: i64) -> Option<Told> {
    let (changes, through) = followed.feed(hub).borrow().after(after, MOST_CHANGES)?;
    let changes = changes.into_iter().map(ToldChange::from).collect();
    Some(Told { followed, changes, through })
}

/// Takes in what another entry told.
pub(crate) fn take_told(hub: &Hub, told: Told) {
    let Told { followed, changes, through } = told;
    hear(hub, followed, changes.into_iter().map(Change::from).collect(), through);
}

/// Takes in all changes up to a revision.
fn hear(hub: &Hub, followed: Followed, changes: Vec<Change>, through: i64) {
    let new = followed.feed(hub).borrow_mut().hear(changes, through);
    for change in new {
        followed.changed(hub, change);
    }
}

/// Follows a prefix of the store: a listing, then each change after it.
pub(crate) async fn follow(hub: Rc<Hub>, followed: Followed) {
    let prefix = followed.prefix(&hub).to_owned();
    let drain = hub.settings.promises.drain;
    let mut regained = hub.regained.subscribe();
    loop {
        regained.mark_unchanged();
        let listed = hub.store.list(&prefix).await;
        hub.note_store("list", listed.as_ref().err());
        let Ok(listing) = listed else {
            tokio::time::sleep(RETRY).await;
            continue;
        };
        followed.feed(&hub).borrow_mut().restart(listing.revision);
        followed.listed(&hub, listing.items);
        loop {
            let after = followed.feed(&hub).borrow().through().unwrap_or(listing.revision);
            let watched = tokio::select! {
                watched = hub.store.watch(&prefix, after, followed.wait_ms()) => watched,
                // A watch from before the store was lost may be silent for good.
                _ = regained.changed() => break,
            };
            hub.note_store("watch", watched.as_ref().err());
            match watched {
                Ok(Watched::Changes(changes, through)) => {
                    let is_any = !changes.is_empty();
                    hear(&hub, followed, changes, through);
                    if is_any {
                        tokio::time::sleep(drain.mul_f64(GATHER)).await;
                    }
                }
                Ok(Watched::Forgotten) => {
                    info!(hub.log, "history forgotten"; "prefix" => prefix.clone(), "after" => after);
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

fn servers_listed(hub: &Hub, items: Vec<(String, Stored)>) {
    let listed = items.iter().filter_map(|(key, stored)| take_server(hub, key, stored));
    let listed: BTreeSet<Name> = listed.collect();
    let gone: Vec<Name> = {
        let picker = hub.picker.borrow();
        let ids = picker.servers().map(|server| server.info.id.clone());
        ids.filter(|id| !listed.contains(id)).collect()
    };
    for id in gone {
        leave(hub, id);
    }
}

fn server_changed(hub: &Hub, change: &Change) {
    match &change.stored {
        Some(stored) => drop(take_server(hub, &change.key, stored)),
        None => leave(hub, id_of(hub, &change.key)),
    }
}

/// Drops servers that did not register again in time after the store was away.
pub(crate) async fn missing(hub: Rc<Hub>) {
    loop {
        tokio::time::sleep(MISSING_EVERY).await;
        hub.share_out();
        let back = hub.store_back.get();
        if hub.store_lost.get() || boot_ms().saturating_sub(back) < REGISTER_AGAIN_MS {
            continue;
        }
        let missing = std::mem::take(&mut *hub.missing.borrow_mut());
        for id in missing {
            forget(&hub, &id);
        }
    }
}

fn id_of(hub: &Hub, key: &str) -> Name {
    Name::from(key.strip_prefix(hub.dialect.servers_prefix()).unwrap_or(key))
}

/// Takes in what a server registered and returns its name.
fn take_server(hub: &Hub, key: &str, stored: &Stored) -> Option<Name> {
    match hub.dialect.server(key, &stored.value) {
        Ok(listed) => {
            let id = listed.id.clone();
            hub.missing.borrow_mut().remove(&id);
            let (leaving, service) = (listed.leaving, listed.service.clone());
            let ends_in = listed.reclaimed_in_ms.map(Duration::from_millis);
            let ends_in = ends_in.unwrap_or(hub.settings.promises.drain);
            if hub.picker.borrow_mut().upsert(listed) {
                info!(hub.log, "server listed"; "server" => %id, "service" => %service,
                    "leaving" => leaving, "ends_in_ms" => ends_in.as_millis() as u64,
                    "revision" => stored.revision);
                if leaving {
                    hub.departs(&id, ends_in);
                }
            }
            Some(id)
        }
        Err(failure) => {
            warn!(hub.log, "server entry names no server"; "key" => key.to_owned(),
                "cause" => failure.context);
            let id = id_of(hub, key);
            hub.picker.borrow_mut().remove(&id);
            None
        }
    }
}

/// Takes in that a server is no longer listed.
///
/// While the store was away registrations may have lapsed although their servers live; these have
/// some time to register again.
fn leave(hub: &Hub, id: Name) {
    // Another entry may tell of them before this one has regained the store.
    let is_back = boot_ms().saturating_sub(hub.store_back.get()) >= REGISTER_AGAIN_MS;
    if hub.store_lost.get() || !is_back {
        hub.missing.borrow_mut().insert(id);
    } else {
        forget(hub, &id);
    }
}

fn forget(hub: &Hub, id: &Name) {
    let was_leaving = hub.picker.borrow().get(id).is_some_and(|server| server.info.leaving);
    if hub.picker.borrow_mut().remove(id) {
        if !was_leaving {
            // Some servers leave without a word and serve on for the same time.
            hub.departs(id, hub.settings.promises.drain);
        }
        info!(hub.log, "server gone"; "server" => %id);
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

fn entries_listed(hub: &Hub, items: Vec<(String, Stored)>) {
    let leader = items.iter().find(|(key, _)| key == LEADER);
    take_leader(hub, leader.map(|(_, stored)| stored));
    let entries = items.iter().filter_map(|(key, stored)| read_entry(hub, key, stored));
    hub.roster.borrow_mut().replace(entries.collect(), boot_ms());
    hub.share_out();
}

fn entry_changed(hub: &Hub, change: &Change) {
    if change.key == LEADER {
        take_leader(hub, change.stored.as_ref());
        return;
    }
    match &change.stored {
        Some(stored) => {
            if let Some(entry) = read_entry(hub, &change.key, stored) {
                info!(hub.log, "entry listed"; "other" => %entry.name, "incarnation" => entry.incarnation);
                hub.roster.borrow_mut().add(entry);
            }
        }
        None => {
            let name = change.key.strip_prefix(ENTRIES).unwrap_or(&change.key);
            info!(hub.log, "entry gone"; "other" => name.to_owned());
            hub.roster.borrow_mut().remove(name, boot_ms());
        }
    }
    hub.share_out();
}

/// Takes in who holds the duties.
fn take_leader(hub: &Hub, stored: Option<&Stored>) {
    let leader = stored.and_then(|stored| duty::holder_of(&stored.value));
    if leader.is_none() {
        hub.leader_moved.notify_one();
    }
    if *hub.leader.borrow() != leader {
        info!(hub.log, "holder of the duties"; "entry_now" => leader.as_deref().map(str::to_owned));
        *hub.leader.borrow_mut() = leader;
    }
}

fn read_entry(hub: &Hub, key: &str, stored: &Stored) -> Option<Entry> {
    let name = Name::from(key.strip_prefix(ENTRIES)?);
    match serde_json::from_slice::<Registration>(&stored.value) {
        Ok(Registration { incarnation, front, peer, data_centre }) => {
            Some(Entry { name, incarnation, front, peer, data_centre })
        }
        Err(e) => {
            warn!(hub.log, "registration unreadable"; "other" => %name, "cause" => %e);
            None
        }
    }
}

/// Keeps this entry registered until it stops.
pub(crate) async fn register(hub: Rc<Hub>) {
    let mut lease: Option<Lease> = None;
    let mut is_first = true;
    while !hub.stopping.get() {
        let registered = match lease {
            Some(lease) => hub.store.renew(lease).await,
            None => Ok(false),
        };
        hub.note_store("renew", registered.as_ref().err());
        let pause = match registered {
            Ok(true) => RENEW_EVERY,
            Err(_) => RETRY,
            Ok(false) => match write_registration(&hub, &mut is_first).await {
                Ok(made) => {
                    lease = Some(made);
                    RENEW_EVERY
                }
                Err(failure) => {
                    debug!(hub.log, "not registered"; "cause" => %failure);
                    RETRY
                }
            },
        };
        tokio::time::sleep(pause).await;
    }
    let commit = Commit { removes: vec![key_of(&hub)], ..Commit::default() };
    let removed = hub.store.commit(&commit).await;
    hub.note_store("commit", removed.as_ref().err());
}

fn key_of(hub: &Hub) -> String {
    format!("{ENTRIES}{}", hub.settings.name)
}

async fn write_registration(hub: &Hub, is_first: &mut bool) -> Result<Lease, Failure> {
    let key = key_of(hub);
    let known = hub.store.get(&key).await?;
    let lease = hub.store.grant(REGISTRATION_S).await?;
    let registration = Registration {
        incarnation: hub.incarnation,
        front: Name::from(hub.settings.front.to_string()),
        peer: Name::from(hub.settings.peer.to_string()),
        data_centre: hub.settings.data_centre.clone(),
    };
    let value = serde_json::to_vec(&registration)
        .map_err(|e| Failure::new(Code::Internal, e.to_string()))?;
    let put = Put { key, value: value.into(), lease: Some(lease) };
    let commit = Commit { puts: vec![put], ..Commit::default() };
    match hub.store.commit(&commit).await? {
        Committed::Done(revision) => {
            let was_counted = known.is_some();
            info!(hub.log, "registered"; "revision" => revision, "was_counted" => was_counted);
            if *is_first {
                *is_first = false;
                // The others have to count this entry before it earns a share of any quota.
                let hold = hub.settings.promises.revoke.as_millis() as Millis;
                let from = if was_counted { boot_ms() } else { boot_ms() + hold };
                hub.purses.borrow_mut().start_at(from);
            }
            Ok(lease)
        }
        Committed::Conflict | Committed::NoLease => {
            Err(Failure::new(Code::PlatformUnreachable, "the registration did not take effect"))
        }
    }
}
