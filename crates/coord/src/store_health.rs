//! Whether the key-value service answers, as the ends of an entry's calls tell.

use kernel::Millis;

/// A change of what an entry knows of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreChange {
    /// A call failed; the store answered before.
    Lost,
    /// A call was answered again.
    Regained,
}

/// Whether the store answers this entry, and since when.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreHealth {
    is_lost: bool,
    regained_at: Millis,
}

impl StoreHealth {
    /// Records the end of a call that was sent at `sent`; returns a change.
    ///
    /// A call that was sent before the store answered again may fail late. It tells nothing of the store now.
    pub fn record(&mut self, sent: Millis, failed: bool, now: Millis) -> Option<StoreChange> {
        match (self.is_lost, failed) {
            (false, true) if sent >= self.regained_at => {
                self.is_lost = true;
                Some(StoreChange::Lost)
            }
            (true, false) => {
                *self = Self { is_lost: false, regained_at: now };
                Some(StoreChange::Regained)
            }
            _ => None,
        }
    }

    /// Records that the store was restored from an older copy, to which servers write again what it lacks.
    pub fn record_restore(&mut self, now: Millis) {
        self.regained_at = now;
    }

    /// Whether the store does not answer.
    pub fn is_lost(&self) -> bool {
        self.is_lost
    }

    /// Returns the time at which the store last answered again, or was restored.
    pub fn regained_at(&self) -> Millis {
        self.regained_at
    }
}
