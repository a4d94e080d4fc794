//! The entries that watch the store for the others, and what they tell.

use crate::change_log::{BatchLimit, ChangeLog, ReaderConfirmation};
use crate::context::Context;
use crate::message::{ChangeBatch, PeerChange, WatchedPrefix};
use crate::sync::apply_changes;
use coord::ChangeSource;
use infra::Change;
use kernel::boot_ms;
use kernel::prelude::*;

/// Maximum age of the copy of a prefix, as a fraction of the time allowed to react to a leaving server.
/// An entry whose copy is older watches the store itself. The rest of that time covers the call.
const MAX_COPY_AGE_FRACTION: f64 = 0.5;
/// Delay between a change and the next watch, as a fraction of the time allowed to react to a
/// leaving server. Changes that arrive together are then received in one call.
const BATCH_FRACTION: f64 = 0.3;
/// The same delay of a reader, whose changes reach the other entries only with their next query.
const READER_BATCH_FRACTION: f64 = 0.15;
/// Limit of the changes of one prefix in one message: usually a few kilobytes. Changes of both prefixes, each
/// beyond the limit by one registration, fit into a datagram.
const BATCH_LIMIT: BatchLimit = BatchLimit { changes: 24, bytes: 16 << 10 };

/// Largest number of servers whose changes the readers tell. What they tell grows with servers times entries.
const MAX_SERVERS_TOLD: usize = 300;

/// Whether the readers tell the other entries what changes.
pub(crate) fn readers_tell(cx: &Context) -> bool {
    cx.picker.borrow().servers().count() <= MAX_SERVERS_TOLD
}

/// Whether this entry reads the rules and watches the prefixes itself.
pub(crate) fn is_reader(cx: &Context) -> bool {
    cx.readers.borrow().as_ref().is_none_or(|readers| readers.contains(&cx.settings.name))
}

/// Decides where this entry learns the next changes of a prefix. The leader orders servers by what it
/// knows, so that it watches the store itself.
pub(crate) fn next_source(cx: &Context, prefix: WatchedPrefix) -> ChangeSource {
    let limit = cx.settings.promises.drain.mul_f64(MAX_COPY_AGE_FRACTION).as_millis() as Millis;
    let is_leader = cx.leader.borrow().as_ref() == Some(&cx.settings.name);
    let watches = is_leader || !readers_tell(cx) || is_reader(cx);
    prefix.change_log(cx).borrow().age.next_source(watches, limit, boot_ms())
}

/// Returns the delay between a change and the next watch.
pub(crate) fn batch_delay(cx: &Context) -> Duration {
    let tells_others = cx.readers.borrow().is_some() && is_reader(cx);
    let fraction = if tells_others { READER_BATCH_FRACTION } else { BATCH_FRACTION };
    cx.settings.promises.drain.mul_f64(fraction)
}

/// Returns the revision up to which this entry has all changes, by prefix.
pub(crate) fn known_revisions(cx: &Context) -> BTreeMap<WatchedPrefix, i64> {
    let known = |prefix: WatchedPrefix| {
        prefix.change_log(cx).borrow().through().map(|through| (prefix, through))
    };
    WatchedPrefix::ALL.into_iter().filter_map(known).collect()
}

/// Returns changes that a peer lacks if it has all changes up to the revision `after`; `None` before the
/// first listing. `store_lost` tells that the peer cannot read them itself.
pub(crate) fn changes_for_peer(
    cx: &Context,
    prefix: WatchedPrefix,
    after: i64,
    store_lost: bool,
) -> Option<ChangeBatch> {
    let log = prefix.change_log(cx).borrow();
    let newest = log.through()?;
    // If the changes are no longer kept, the answer only says that there are some.
    let kept = log.changes_after(after, BATCH_LIMIT);
    let (mut changes, mut through) = kept.unwrap_or((Vec::new(), after));
    let age = confirmed_age(cx, &log, boot_ms());
    let is_last = newest <= through;
    if !is_last && age.is_some() && !store_lost {
        // The peer gets them from the store.
        (changes, through) = (Vec::new(), after);
    }
    let changes = changes.into_iter().map(PeerChange::from).collect();
    Some(ChangeBatch { prefix, changes, through, is_last, age })
}

/// Returns the age of the store's last answer that shows that this entry has all changes of a prefix;
/// `None` if there is none.
///
/// A watch whose connection hangs looks like one that waits, so the last read of the rules counts too.
fn confirmed_age(cx: &Context, log: &ChangeLog, now: Millis) -> Option<Millis> {
    // Only a reader goes on to read.
    if cx.store_health.get().is_lost() || !is_reader(cx) {
        return None;
    }
    let (copy_age, rules_age) = (log.age.read_age(now)?, cx.freshness.borrow().age(now)?);
    Some(copy_age.max(rules_age))
}

/// Applies a batch of changes that a peer sent in reply to a query of the time `asked_at`. Returns
/// whether to ask the peer for more.
///
/// An entry that lacks more than one batch gets them from the store in one answer. If many servers change at
/// once, the readers could not tell all entries batch by batch in time.
pub(crate) fn apply_batch(cx: &Context, batch: ChangeBatch, asked_at: Millis) -> bool {
    let ChangeBatch { prefix, changes, through, is_last, age } = batch;
    let known = prefix.change_log(cx).borrow().through();
    apply_changes(cx, prefix, changes.into_iter().map(Change::from).collect(), through);
    if let (true, Some(age)) = (is_last, age) {
        let at = asked_at.saturating_sub(age);
        let confirmation = ReaderConfirmation { through, at };
        prefix.change_log(cx).borrow_mut().record_confirmation(confirmation);
    }
    let asks_peers = age.is_none() || cx.store_health.get().is_lost();
    if !is_last && !asks_peers {
        prefix.change_log(cx).borrow_mut().age.record_behind();
        cx.copy_behind.notify_waiters();
    }
    // A peer that had nothing new has nothing more to tell now.
    !is_last && asks_peers && prefix.change_log(cx).borrow().through() > known
}
