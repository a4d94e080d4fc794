//! Next step towards the report of a usage window.

use crate::usage::Counts;

/// Difference between the clocks of two entries that is tolerated, in milliseconds.
pub const CLOCK_TOLERANCE_MS: u64 = 5_000;

/// The last restore of the store from an older copy, which undid changes that had been confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Restore {
    /// Number of restores so far.
    pub number: u64,
    /// Time at which this entry heard of it, in milliseconds since 1970.
    pub heard_at_unix_ms: u64,
}

/// A usage window that is due to be reported, as its reporter knows it.
#[derive(Clone, Copy, Debug)]
pub struct DueWindow<'a> {
    /// Time from which a leader could decide its counts, in milliseconds since 1970.
    pub decidable_at_unix_ms: u64,
    /// Counts that the store holds.
    pub stored: Option<&'a Counts>,
    /// Counts that this entry decided or found stored before.
    pub remembered: Option<&'a Counts>,
}

/// Next step towards the report of a window.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReportStep {
    /// Report these counts, which the store holds.
    Report(Counts),
    /// Store these counts again, then report them.
    StoreAgain(Counts),
    /// Decide the counts and store them, then report them.
    Decide,
    /// Report nothing. Other counts may have been reported.
    Skip,
}

/// Returns the next step for a window that is due.
///
/// A decision that was undone by a restore may have been reported. As clocks differ, the time of a
/// restore separates windows only up to [`CLOCK_TOLERANCE_MS`].
pub fn next_report_step(window: DueWindow<'_>, restore: Option<Restore>) -> ReportStep {
    match (window.stored, window.remembered) {
        // Stored counts differ from those of before a restore only if a write took effect very late.
        (Some(stored), Some(remembered)) if stored != remembered => ReportStep::Skip,
        (Some(stored), _) => ReportStep::Report(stored.clone()),
        (None, Some(remembered)) => ReportStep::StoreAgain(remembered.clone()),
        (None, None) => {
            let may_be_undone = restore.is_some_and(|restore| {
                window.decidable_at_unix_ms <= restore.heard_at_unix_ms + CLOCK_TOLERANCE_MS
            });
            if may_be_undone { ReportStep::Skip } else { ReportStep::Decide }
        }
    }
}
