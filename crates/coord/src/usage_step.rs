//! Next step towards the report of a usage window.

use crate::usage::Counts;

/// The last restore of the store from an older copy, which undid changes that had been confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Restore {
    /// Number of restores so far.
    pub number: u64,
    /// Time by which it was over, in milliseconds since 1970.
    pub over_by_unix_ms: u64,
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
    /// Report nothing. The store may have lost a decision that was reported with other counts.
    Skip,
}

/// Returns the next step for a window that is due.
///
/// A decision that was undone by a restore may have been reported. Clocks of entries differ by up to
/// `clock_tolerance_ms`, so that the time of a restore separates windows only that well.
pub fn next_report_step(
    window: DueWindow<'_>,
    restore: Option<Restore>,
    clock_tolerance_ms: u64,
) -> ReportStep {
    if let Some(counts) = window.stored {
        return ReportStep::Report(counts.clone());
    }
    if let Some(counts) = window.remembered {
        return ReportStep::StoreAgain(counts.clone());
    }
    let may_be_undone = restore.is_some_and(|restore| {
        window.decidable_at_unix_ms <= restore.over_by_unix_ms + clock_tolerance_ms
    });
    if may_be_undone { ReportStep::Skip } else { ReportStep::Decide }
}
