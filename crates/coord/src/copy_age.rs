//! Age of an entry's copy of a key prefix of the store, and who keeps the copy up to date.

use kernel::Millis;

/// Where an entry learns the next changes of a key prefix.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChangeSource {
    /// From the readers, for this long unless they confirm the copy again.
    Readers {
        /// Time until the copy is too old, in milliseconds.
        remaining_ms: Millis,
    },
    /// From the store, by a watch of its own.
    Store,
}

/// Age of an entry's copy of a key prefix of the store.
///
/// Times are on the boot clock, in milliseconds. The copy holds all changes up to the later one of two
/// times: that of the last answer of the store, and that of the last confirmation of a reader.
#[derive(Clone, Copy, Debug, Default)]
pub struct CopyAge {
    read_at: Option<Millis>,
    confirmed_at: Option<Millis>,
    is_watching: bool,
}

impl CopyAge {
    /// Records a complete listing that was requested at `sent`.
    pub fn record_listing(&mut self, sent: Millis) {
        self.read_at = self.read_at.max(Some(sent));
    }

    /// Records that a watch of the store began. While it waits, the store would tell of a change.
    pub fn begin_watch(&mut self) {
        self.is_watching = true;
    }

    /// Records that a watch ended at `now`, with all changes until then, if it succeeded.
    pub fn end_watch(&mut self, succeeded: bool, now: Millis) {
        self.is_watching = false;
        if succeeded {
            self.read_at = self.read_at.max(Some(now));
        }
    }

    /// Records that a reader had all changes at the time `at`, and that this copy has them, too.
    pub fn record_confirmation(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Records that a reader has more changes than one answer holds. The store tells all of them in one.
    pub fn record_behind(&mut self) {
        self.confirmed_at = None;
    }

    /// Returns the age of what the store itself told this entry; `None` before its first answer.
    ///
    /// Only this age may be passed on: a confirmation that went from entry to entry would keep all
    /// copies alive without anybody reading the store.
    pub fn read_age(&self, now: Millis) -> Option<Millis> {
        if self.is_watching { Some(0) } else { self.read_at.map(|at| now.saturating_sub(at)) }
    }

    /// Decides where to learn the next changes, if no copy may be older than `limit_ms`.
    ///
    /// What the store told does not count, however new it is: that readers tell what comes next is known
    /// only once one of them has confirmed the copy.
    pub fn next_source(&self, is_reader: bool, limit_ms: Millis, now: Millis) -> ChangeSource {
        let age = self.confirmed_at.map_or(Millis::MAX, |at| now.saturating_sub(at));
        if is_reader || age >= limit_ms {
            ChangeSource::Store
        } else {
            ChangeSource::Readers { remaining_ms: limit_ms - age }
        }
    }
}
