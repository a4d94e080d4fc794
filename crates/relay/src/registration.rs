//! Registration of this entry and of its peers in the store.

use crate::context::Context;
use crate::share_claim;
use crate::sync::RETRY_DELAY;
use coord::Entry;
use infra::{Commit, Committed, Lease, Put, Stored};
use kernel::boot_ms;
use kernel::prelude::*;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// Prefix of the entries' registrations.
pub(crate) const ENTRIES_PREFIX: &str = "fennelfold/live/entries/";
/// Interval between two renewals of the registration. Two renewals in a row may be lost.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Delay before the retry of a failed registration. It takes dearer calls than a renewal.
const UNREGISTERED_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time to live of an entry's registration, in seconds. The shares of an entry that is cut off from
/// the store stay unused for this time plus the time in which it stops serving by itself.
pub(crate) const REGISTRATION_TTL_S: i64 = 3;
/// Registration of an entry, as stored under its key.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct Registration {
    incarnation: u64,
    front: Name,
    peer: Name,
    data_centre: Name,
}

/// Parses the registration of an entry; `None` for another key or an unreadable value.
pub(crate) fn parse_registration(cx: &Context, key: &str, stored: &Stored) -> Option<Entry> {
    let name = Name::from(key.strip_prefix(ENTRIES_PREFIX)?);
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

/// Keeps this entry registered until it stops, then removes the registration.
pub(crate) async fn keep_registered(cx: Rc<Context>) {
    let mut written: Option<(Lease, i64)> = None;
    while !cx.stopping.get() {
        let sent = boot_ms();
        let registered = match written {
            Some((lease, _)) => cx.store.renew(lease).await,
            None => Ok(false),
        };
        cx.record_store_call("renew", sent, registered.as_ref().err());
        if matches!(registered, Ok(true)) {
            cx.registered_at.set(Some(sent));
        }
        let pause = match registered {
            Ok(true) => RENEW_INTERVAL,
            Err(_) => RETRY_DELAY,
            Ok(false) => match write_registration(&cx).await {
                Ok(registration) => {
                    written = Some(registration);
                    cx.registered_at.set(Some(sent));
                    RENEW_INTERVAL
                }
                Err(failure) => {
                    debug!(cx.log, "not registered"; "cause" => %failure);
                    UNREGISTERED_RETRY_DELAY
                }
            },
        };
        tokio::time::sleep(pause).await;
    }
    let Some((lease, revision)) = written else { return };
    // The store may execute the removal after the next process has registered under the same name.
    let key = registration_key(&cx);
    let end_of_claim = share_claim::end_with(&cx, lease);
    let commit = Commit {
        expected: vec![(key.clone(), revision)],
        puts: end_of_claim.into_iter().collect(),
        removes: vec![key],
    };
    let sent = boot_ms();
    let removed = cx.store.commit(&commit).await;
    cx.record_store_call("commit", sent, removed.as_ref().err());
}

fn registration_key(cx: &Context) -> String {
    format!("{ENTRIES_PREFIX}{}", cx.settings.name)
}

/// Registers this entry; returns the lease and the revision of its registration.
async fn write_registration(cx: &Context) -> Result<(Lease, i64), Failure> {
    let key = registration_key(cx);
    let was_counted = share_claim::exists(cx).await?;
    let lease = cx.store.grant(REGISTRATION_TTL_S).await?;
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
            info!(cx.log, "registered"; "revision" => revision, "was_counted" => was_counted);
            if cx.counted_from.get().is_none() {
                // The quota shares of this entry refill only once all peers count it.
                let revoke_ms = cx.settings.promises.revoke.as_millis() as Millis;
                let from = if was_counted { boot_ms() } else { boot_ms() + revoke_ms };
                cx.quota_shares.borrow_mut().start_refill_at(from);
                cx.counted_from.set(Some(from));
            }
            Ok((lease, revision))
        }
        Committed::Conflict | Committed::NoLease => Err(Failure::new(
            Code::PlatformUnreachable,
            "the store rejected the registration of this entry",
        )),
    }
}
