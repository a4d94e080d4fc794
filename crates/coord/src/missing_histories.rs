//! Who writes the histories of versions that the store does not hold yet, and who reads them.

use kernel::Millis;

/// Time for which each entry leaves the first write of a history to the one before it in the ranking, in
/// milliseconds.
const TAKEOVER_MS: Millis = 600;
/// Pauses between two readings of the histories while one is missing, in milliseconds.
const MIN_READ_PAUSE_MS: Millis = 400;
const MAX_READ_PAUSE_MS: Millis = 3_200;

/// What an entry does about histories that the store has not shown to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MissingHistoryStep {
    /// Read the histories, as another entry may have written them.
    Read,
    /// Write those that are missing.
    Write,
    /// Leave it to the others for now.
    Wait,
}

/// Decides how an entry gets to know the histories that it misses.
///
/// The first entry of a ranking writes them, the others read. An entry that the store turns away is
/// replaced by the next one.
#[derive(Clone, Copy, Debug, Default)]
pub struct MissingHistories {
    missing_since: Option<Millis>,
    read_at: Millis,
    read_pause: Millis,
}

impl MissingHistories {
    /// Returns the next step of the entry of this rank, from 0; `None` if it is in no ranking yet.
    pub fn next(
        &mut self,
        is_missing: bool,
        rank: Option<usize>,
        now: Millis,
    ) -> MissingHistoryStep {
        if !is_missing {
            self.missing_since = None;
            return MissingHistoryStep::Wait;
        }
        let since = match self.missing_since {
            Some(since) => since,
            None => {
                self.missing_since = Some(now);
                (self.read_at, self.read_pause) = (now, MIN_READ_PAUSE_MS);
                now
            }
        };
        if rank.is_some_and(|rank| now.saturating_sub(since) >= rank as Millis * TAKEOVER_MS) {
            return MissingHistoryStep::Write;
        }
        if now.saturating_sub(self.read_at) < self.read_pause {
            return MissingHistoryStep::Wait;
        }
        (self.read_at, self.read_pause) = (now, (2 * self.read_pause).min(MAX_READ_PAUSE_MS));
        MissingHistoryStep::Read
    }
}
