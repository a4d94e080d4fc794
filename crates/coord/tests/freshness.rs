//! Freshness of the rules of an entry.

use coord::{Confirmation, Freshness};

#[test]
fn nothing_is_fresh_before_the_first_confirmation() {
    let freshness = Freshness::default();
    assert!(!freshness.is_fresh(0, u64::MAX));
    assert_eq!(freshness.age(5), None);
}

#[test]
fn the_age_is_measured_from_the_sending_of_the_call() {
    let mut freshness = Freshness::default();
    assert_eq!(freshness.confirm(7, 1_000), Confirmation::Newer);
    assert_eq!(freshness.age(4_000), Some(3_000));
    assert!(freshness.is_fresh(4_000, 3_000));
    assert!(!freshness.is_fresh(4_001, 3_000));
}

#[test]
fn an_older_version_confirms_nothing() {
    let mut freshness = Freshness::default();
    freshness.confirm(7, 1_000);
    assert_eq!(freshness.confirm(6, 9_000), Confirmation::Older);
    assert_eq!((freshness.version(), freshness.age(9_000)), (Some(7), Some(8_000)));
}

#[test]
fn a_reply_to_an_earlier_call_does_not_increase_the_age() {
    let mut freshness = Freshness::default();
    freshness.confirm(7, 5_000);
    assert_eq!(freshness.confirm(7, 4_000), Confirmation::Same);
    assert_eq!(freshness.age(6_000), Some(1_000));
}

#[test]
fn the_time_of_a_suspension_counts_towards_the_age() {
    let mut freshness = Freshness::default();
    freshness.confirm(7, 1_000);
    let resumed_at = 1_000 + 60_000;
    assert!(!freshness.is_fresh(resumed_at, 4_700));
}
