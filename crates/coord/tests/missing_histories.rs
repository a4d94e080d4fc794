//! The first write of the histories of versions, and who learns of it by reading.

use coord::MissingHistoryStep::{Read, Wait, Write};
use coord::{MissingHistories, MissingHistoryStep};

/// Interval between two steps, in milliseconds.
const STEP_MS: u64 = 200;

/// Returns the steps of an entry of this rank that misses a history for so long.
fn steps(rank: Option<usize>, for_ms: u64) -> Vec<MissingHistoryStep> {
    let mut missing = MissingHistories::default();
    (0..=for_ms)
        .step_by(STEP_MS as usize)
        .map(|now| missing.next(true, rank, 5_000 + now))
        .collect()
}

#[test]
fn the_first_entry_writes_a_missing_history_at_once() {
    assert_eq!(steps(Some(0), 0), [Write]);
}

#[test]
fn the_other_entries_read_before_they_write() {
    assert_eq!(steps(Some(1), 600), [Wait, Wait, Read, Write]);
}

// Guards against refused streams for as long as the store turns the first entry away.
#[test]
fn each_entry_stands_in_for_those_before_it() {
    for rank in 0..12 {
        assert_eq!(steps(Some(rank), 600 * rank as u64 + STEP_MS).last(), Some(&Write), "{rank}");
    }
}

// Guards against a storm of calls while a history is missing for long.
#[test]
fn an_entry_of_a_large_deployment_reads_seldom() {
    for rank in [None, Some(194)] {
        let steps = steps(rank, 60_000);
        assert!(!steps.contains(&Write));
        let count = steps.iter().filter(|step| **step == Read).count();
        assert!((10..=22).contains(&count), "{rank:?}: {count} readings in a minute");
    }
}

#[test]
fn nothing_is_done_while_no_history_is_missing() {
    let mut missing = MissingHistories::default();
    assert!((0..100).all(|step| missing.next(false, Some(0), step * STEP_MS) == Wait));
}
