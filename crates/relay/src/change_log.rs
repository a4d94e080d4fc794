//! Recent changes under a key prefix of the store, to send to peers that do not read the store.

use crate::message::registration_size;
use coord::CopyAge;
use infra::{Change, Stored};
use kernel::Millis;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of changes kept for peers.
const MAX_CHANGES: usize = 512;

/// The changes under a prefix that one entry has received.
///
/// Each entry tracks the store revision up to which it has every change. An entry with all changes
/// since some revision can send them on, and an entry that receives a change twice applies it once.
#[derive(Clone, Debug, Default)]
pub struct ChangeLog {
    /// Every change after this revision, up to `through`, is kept; `None` before the first listing.
    since: Option<i64>,
    through: i64,
    changes: VecDeque<Change>,
    /// Highest revision of a listed item or a change under the prefix.
    newest: i64,
    /// Time at which this entry learned of that change.
    newest_at: Millis,
    /// Age of the copy that the listing and the changes make up.
    pub(crate) age: CopyAge,
}

/// A reader's statement that it has all changes up to a revision.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReaderConfirmation {
    /// Revision up to which the reader has all changes.
    pub through: i64,
    /// Time on the receiver's boot clock at which the reader had them, in milliseconds.
    pub at: Millis,
}

/// Approximate limit of the changes that are sent together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimit {
    /// Number of changes.
    pub changes: usize,
    /// Size of their keys and values as JSON strings, in bytes.
    pub bytes: usize,
}

/// How to apply a listing.
#[derive(Clone, Debug, PartialEq)]
pub enum ListingStep {
    /// Replace all that is known: it is not known what changed.
    Replace,
    /// Apply these changes.
    Apply(Vec<Change>),
}

impl ChangeLog {
    /// Takes in a listing at a revision. `known` are the keys that exist as far as this entry knows.
    ///
    /// The changes since the last known revision are kept, so that peers that know less can still be told.
    /// The log starts over with the first listing, and with one of an earlier revision: the store was
    /// restored from an older copy.
    pub fn apply_listing(
        &mut self,
        items: &[(String, Stored)],
        revision: i64,
        known: &BTreeSet<String>,
        now: Millis,
    ) -> ListingStep {
        if self.since.is_none() || revision < self.through {
            let newest = items.iter().map(|(_, stored)| stored.revision).max().unwrap_or(0);
            self.reset(revision, newest, now);
            return ListingStep::Replace;
        }
        // What changed while the listing was read comes with the next watch.
        let is_new = |stored: &Stored| (self.through + 1..=revision).contains(&stored.revision);
        let upserts = items.iter().filter(|(_, stored)| is_new(stored)).map(|(key, stored)| {
            let (key, revision) = (key.clone(), stored.revision);
            Change { key, stored: Some(stored.clone()), revision }
        });
        let listed: BTreeSet<&String> = items.iter().map(|(key, _)| key).collect();
        let removed = known.iter().filter(|key| !listed.contains(key));
        let removals = removed.map(|key| Change { key: key.clone(), stored: None, revision });
        let mut changes: Vec<Change> = upserts.chain(removals).collect();
        changes.sort_by_key(|change| change.revision);
        if revision == self.through {
            // Nothing can have changed but what a lost answer of a watch told.
            return ListingStep::Apply(changes);
        }
        ListingStep::Apply(self.apply(changes, revision, now))
    }

    /// Starts over from a listing at a revision, whose items changed last at the revision `newest`.
    pub fn reset(&mut self, revision: i64, newest: i64, now: Millis) {
        *self = Self {
            since: Some(revision),
            through: revision,
            changes: VecDeque::new(),
            newest,
            newest_at: if newest > self.newest { now } else { self.newest_at },
            age: self.age,
        };
    }

    /// Returns the revision up to which all changes are known; `None` before the first listing.
    pub fn through(&self) -> Option<i64> {
        self.since.map(|_| self.through)
    }

    /// Applies changes up to the revision `through`. Returns those that are new, or none before the
    /// first listing.
    ///
    /// `changes` must hold every change after some revision at or before [`Self::through`], because
    /// a gap would not be detected.
    pub fn apply(&mut self, changes: Vec<Change>, through: i64, now: Millis) -> Vec<Change> {
        if self.since.is_none() {
            return Vec::new();
        }
        let known = self.through;
        let new: Vec<Change> =
            changes.into_iter().filter(|change| change.revision > known).collect();
        if let Some(newest) = new.iter().map(|change| change.revision).max() {
            self.newest = newest;
            self.newest_at = now;
        }
        self.changes.extend(new.iter().cloned());
        self.through = known.max(through);
        while self.changes.len() > MAX_CHANGES {
            self.since = self.changes.pop_front().map(|oldest| oldest.revision);
        }
        new
    }

    /// Records that a reader has all changes, after those that it sent were applied; returns whether the
    /// copy is complete.
    ///
    /// A reader that lacks a change which was known here by then is behind, so that its word does not
    /// count. A difference between `through` alone says nothing: that is the revision of the whole store.
    pub fn record_confirmation(&mut self, confirmation: ReaderConfirmation) -> bool {
        let ReaderConfirmation { through, at } = confirmation;
        let is_behind = through < self.newest && self.newest_at <= at;
        let is_complete = self.since.is_some() && !is_behind;
        if is_complete {
            self.age.record_confirmation(at);
        }
        is_complete
    }

    /// Returns changes after a revision up to about a limit, and the revision up to which they are
    /// complete; `None` if some of them are not kept.
    ///
    /// All changes of one revision are returned together, even beyond the limit.
    pub fn changes_after(&self, revision: i64, limit: BatchLimit) -> Option<(Vec<Change>, i64)> {
        if self.since.is_none_or(|since| revision < since) {
            return None;
        }
        let mut result: Vec<Change> = Vec::new();
        let mut bytes = 0;
        for change in self.changes.iter().filter(|change| change.revision > revision) {
            let last = result.last().map(|last| last.revision);
            let is_full = result.len() >= limit.changes || bytes >= limit.bytes;
            if is_full && last != Some(change.revision) {
                return last.map(|last| (result, last));
            }
            let value = change.stored.as_ref().and_then(|stored| registration_size(&stored.value));
            bytes += change.key.len() + value.unwrap_or(0);
            result.push(change.clone());
        }
        Some((result, self.through))
    }
}
