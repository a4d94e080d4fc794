//! Request counts by window.

use coord::{Counts, UsageCounter, UsageReports};
use kernel::Name;

fn counts(pairs: &[(&str, u64)]) -> Counts {
    pairs.iter().map(|(name, count)| (Name::from(*name), *count)).collect()
}

#[test]
fn requests_are_counted_in_the_window_of_their_start_time() {
    let mut usage = UsageCounter::new(5_000);
    usage.record_start(&"a".into(), 9_999);
    usage.record_start(&"a".into(), 10_000);
    usage.record_start(&"b".into(), 14_999);
    assert_eq!(usage.recent().get(&1), Some(&counts(&[("a", 1)])));
    assert_eq!(usage.recent().get(&2), Some(&counts(&[("a", 1), ("b", 1)])));
    assert_eq!(usage.end_ms(2), 15_000);
}

#[test]
fn old_windows_are_pruned() {
    let mut usage = UsageCounter::new(5_000);
    usage.record_start(&"a".into(), 0);
    usage.record_start(&"a".into(), 100_000);
    usage.prune(100_000);
    assert_eq!(usage.recent().keys().copied().collect::<Vec<_>>(), [20]);
}

#[test]
fn a_repeated_report_replaces_the_earlier_counts() {
    let mut reports = UsageReports::default();
    let report = |count| [(7, counts(&[("a", count)]))].into();
    reports.record(&"x".into(), 1, report(3), 100);
    reports.record(&"x".into(), 1, report(5), 200);
    assert_eq!(reports.total(7), counts(&[("a", 5)]));
}

#[test]
fn the_counts_of_an_ended_run_are_kept() {
    let mut reports = UsageReports::default();
    reports.record(&"x".into(), 1, [(7, counts(&[("a", 3)]))].into(), 100);
    reports.record(&"x".into(), 2, [(7, counts(&[("a", 2), ("b", 1)]))].into(), 900);
    assert_eq!(reports.total(7), counts(&[("a", 5), ("b", 1)]));
    assert!(reports.reported_after(&"x".into(), 2, 899));
    assert!(!reports.reported_after(&"x".into(), 1, 899));
}
