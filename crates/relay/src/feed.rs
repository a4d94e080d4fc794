//! Changes under a prefix of the store, which entries tell those that the store turns away.

use infra::Change;
use std::collections::VecDeque;

/// Changes that are kept for entries which ask for them.
const KEPT: usize = 512;

/// What one entry knows of the changes under a prefix.
///
/// Each entry counts what it has taken in by the store's revision. Whoever knows all changes since
/// some revision can tell them, and whoever hears the same change twice takes it once.
#[derive(Clone, Debug, Default)]
pub struct Feed {
    /// Every later change up to `through` is kept; none before the first listing.
    since: Option<i64>,
    through: i64,
    kept: VecDeque<Change>,
}

impl Feed {
    /// Starts anew from a listing at a revision.
    pub fn restart(&mut self, revision: i64) {
        *self = Self { since: Some(revision), through: revision, kept: VecDeque::new() };
    }

    /// Returns the revision up to which all changes are known; none before the first listing.
    pub fn through(&self) -> Option<i64> {
        self.since.map(|_| self.through)
    }

    /// Takes in all changes up to a revision; returns those that are new here.
    ///
    /// The changes begin at or before the revision that is known here.
    pub fn hear(&mut self, changes: Vec<Change>, through: i64) -> Vec<Change> {
        if self.since.is_none() {
            return Vec::new();
        }
        let known = self.through;
        let new: Vec<Change> =
            changes.into_iter().filter(|change| change.revision > known).collect();
        self.kept.extend(new.iter().cloned());
        self.through = known.max(through);
        while self.kept.len() > KEPT {
            self.since = self.kept.pop_front().map(|oldest| oldest.revision);
        }
        new
    }

    /// Returns about `most` changes after a revision, and the revision that they lead to; none when
    /// not all of them are known.
    ///
    /// Changes of one revision stay together.
    pub fn after(&self, revision: i64, most: usize) -> Option<(Vec<Change>, i64)> {
        if self.since.is_none_or(|since| revision < since) {
            return None;
        }
        let mut told: Vec<Change> = Vec::new();
        for change in self.kept.iter().filter(|change| change.revision > revision) {
            let last = told.last().map(|last| last.revision);
            if told.len() >= most && last != Some(change.revision) {
                return last.map(|last| (told, last));
            }
            told.push(change.clone());
        }
        Some((told, self.through))
    }
}
