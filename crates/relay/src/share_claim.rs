//! Claim of an entry to a share of the quotas from its first moment on.
//!
//! The buckets of an entry may refill once all others count it. Those of a process that follows another
//! one on the same VM may refill at once while the others still count that one. Its registration tells
//! so only for its own time to live; the claim outlives it by nearly as long as the others go on counting.

use crate::context::Context;
use crate::registration::REGISTRATION_TTL_S;
use infra::{Commit, Committed, Lease, Put};
use kernel::boot_ms;
use kernel::prelude::*;
use std::rc::Rc;

/// Prefix of the claims.
const CLAIMS_PREFIX: &str = "fennelfold/claims/";
/// Time by which a claim ends before the others may stop to count the entry, in seconds. It covers the time
/// in which they learn that the entry is back.
const CLAIM_MARGIN_S: i64 = 2;
/// Interval between two renewals of the claim.
const RENEW_INTERVAL: Duration = Duration::from_millis(1_800);

/// Keeps the claim in the store from the time on at which all others count this entry.
///
/// This is a task of its own, so that a slow answer does not delay the renewals of the registration.
pub(crate) async fn keep(cx: Rc<Context>) {
    while !cx.stopping.get() {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let now = boot_ms();
        if cx.counted_from.get().is_none_or(|from| now < from) || cx.stopping.get() {
            continue;
        }
        let kept = match cx.claim.get() {
            Some(lease) => cx.store.renew(lease).await,
            None => write(&cx).await,
        };
        cx.record_store_call("claim", now, kept.as_ref().err());
        match kept {
            Ok(true) => {}
            Ok(false) => cx.claim.set(None),
            Err(failure) => debug!(cx.log, "claim not kept"; "cause" => %failure),
        }
    }
}

async fn write(cx: &Context) -> Result<bool, Failure> {
    let counted_s = REGISTRATION_TTL_S + cx.settings.promises.revoke.as_secs() as i64;
    let lease = cx.store.grant((counted_s - CLAIM_MARGIN_S).max(1)).await?;
    let commit = Commit { puts: vec![claim(cx, lease)], ..Commit::default() };
    let is_written = matches!(cx.store.commit(&commit).await?, Committed::Done(_));
    cx.claim.set(is_written.then_some(lease));
    Ok(is_written)
}

/// Returns the change that lets the claim end with the registration's lease; `None` without a claim.
pub(crate) fn end_with(cx: &Context, registration: Lease) -> Option<Put> {
    cx.claim.get().map(|_| claim(cx, registration))
}

/// Whether the others still count the process that ran before on this VM.
///
/// # Errors
/// The failure of the call to the store.
pub(crate) async fn exists(cx: &Context) -> Result<bool, Failure> {
    let stored = cx.store.get(&key(cx)).await?;
    Ok(stored.is_some_and(|stored| stored.value == value(cx).as_bytes()))
}

fn key(cx: &Context) -> String {
    format!("{CLAIMS_PREFIX}{}", cx.settings.name)
}

/// Returns the value of a claim, which tells VMs apart that had the same name one after the other.
fn value(cx: &Context) -> String {
    cx.settings.front.to_string()
}

fn claim(cx: &Context, lease: Lease) -> Put {
    Put { key: key(cx), value: value(cx).into(), lease: Some(lease) }
}
