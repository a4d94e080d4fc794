//! An entry that has just started learns which software versions may have begun open streams.

use coord::{CLOCK_TOLERANCE_MS, MIXED_VERSIONS_MS, VersionHistory};
use kernel::Name;
use std::collections::BTreeSet;

const NOW: u64 = 1_700_000_000_000;

fn set(versions: &[&str]) -> BTreeSet<Name> {
    versions.iter().map(|version| Name::from(*version)).collect()
}

/// Returns the history after these versions were seen, each so long after the first.
fn history(seen: &[(u64, &[&str])]) -> VersionHistory {
    seen.iter().fold(VersionHistory::default(), |history, (at, versions)| {
        history.after(&set(versions), NOW + at).unwrap_or(history)
    })
}

#[test]
fn an_empty_history_names_no_version() {
    assert_eq!(VersionHistory::default().sole(NOW), None);
}

#[test]
fn the_only_version_is_named_at_once() {
    assert_eq!(history(&[(0, &["v1"])]).sole(NOW), Some(&Name::from("v1")));
}

#[test]
fn no_version_is_named_while_two_serve_or_one_has_just_left() {
    let mixed = history(&[(0, &["v1"]), (10, &["v1", "v2"])]);
    assert_eq!(mixed.sole(NOW + 1_000_000), None);
    let left = mixed.after(&set(&["v2"]), NOW + 1_000).expect("no change");
    let forgotten_at = NOW + 1_000 + MIXED_VERSIONS_MS + CLOCK_TOLERANCE_MS;
    assert_eq!(left.sole(forgotten_at - 1), None);
    assert_eq!(left.sole(forgotten_at), Some(&Name::from("v2")));
}

#[test]
fn a_version_that_left_while_nobody_ran_counts_from_when_it_was_found_missing() {
    let before = history(&[(0, &["v1", "v2"])]);
    let found = before.after(&set(&["v2"]), NOW + 500_000).expect("no change");
    assert_eq!(found.sole(NOW + 500_001), None);
}

#[test]
fn a_version_that_comes_back_serves_again() {
    let back = history(&[(0, &["v1", "v2"]), (10, &["v2"]), (20, &["v1", "v2"])]);
    assert_eq!(back.sole(NOW + 1_000_000), None);
}

#[test]
fn nothing_is_written_while_nothing_changes() {
    let known = history(&[(0, &["v1", "v2"]), (10, &["v2"])]);
    assert_eq!(known.after(&set(&["v2"]), NOW + 20), None);
}

#[test]
fn a_history_survives_its_encoding() {
    let known = history(&[(0, &["v1", "v2"]), (10, &["v2"])]);
    let encoded = serde_json::to_vec(&known).expect("not encoded");
    assert_eq!(serde_json::from_slice::<VersionHistory>(&encoded).expect("not decoded"), known);
}

// Guards against ORDER broken: a version that nobody had seen was taken for none.
#[test]
fn a_history_in_doubt_names_no_version_until_no_stream_of_before_is_open() {
    let in_doubt = VersionHistory::in_doubt(NOW);
    let known = in_doubt.after(&set(&["v1"]), NOW + 1_000).expect("no change");
    let certain_at = NOW + MIXED_VERSIONS_MS + CLOCK_TOLERANCE_MS;
    assert_eq!(known.sole(certain_at - 1), None);
    assert!(known.is_in_doubt(certain_at - 1));
    assert_eq!(known.sole(certain_at), Some(&Name::from("v1")));
    assert!(!known.is_in_doubt(certain_at));
    assert_eq!(known.after(&set(&["v1"]), certain_at), Some(history(&[(0, &["v1"])])));
}
