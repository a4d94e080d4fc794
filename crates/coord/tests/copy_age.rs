//! An entry relies on readers only as long as its copy cannot be too old.

use coord::{ChangeSource, CopyAge};

const LIMIT_MS: u64 = 2_800;

fn source(age: &CopyAge, now: u64) -> ChangeSource {
    age.next_source(false, LIMIT_MS, now)
}

#[test]
fn an_entry_without_a_copy_asks_the_store() {
    assert_eq!(source(&CopyAge::default(), 10), ChangeSource::Store);
}

#[test]
fn a_reader_watches_the_store_whatever_the_age() {
    let mut age = CopyAge::default();
    age.record_listing(1_000);
    assert_eq!(age.next_source(true, LIMIT_MS, 1_000), ChangeSource::Store);
}

#[test]
fn a_copy_that_no_reader_confirms_grows_too_old() {
    let mut age = CopyAge::default();
    age.record_confirmation(1_000);
    assert_eq!(source(&age, 1_300), ChangeSource::Readers { remaining_ms: 2_500 });
    assert_eq!(source(&age, 1_000 + LIMIT_MS), ChangeSource::Store);
    age.record_confirmation(3_000);
    assert_eq!(source(&age, 1_000 + LIMIT_MS), ChangeSource::Readers { remaining_ms: 2_000 });
}

#[test]
fn an_entry_whose_copy_no_reader_has_confirmed_watches_the_store_however_new_the_copy_is() {
    let mut age = CopyAge::default();
    age.record_listing(1_000);
    assert_eq!(source(&age, 1_001), ChangeSource::Store);
}

#[test]
fn a_late_confirmation_makes_no_copy_older() {
    let mut age = CopyAge::default();
    age.record_confirmation(3_000);
    age.record_confirmation(2_000);
    assert_eq!(source(&age, 3_000), ChangeSource::Readers { remaining_ms: LIMIT_MS });
}

#[test]
fn what_a_reader_confirmed_is_not_passed_on_as_read_from_the_store() {
    let mut age = CopyAge::default();
    age.record_confirmation(3_000);
    assert_eq!(age.read_age(3_000), None);
    age.record_listing(1_000);
    assert_eq!(age.read_age(3_000), Some(2_000));
}

#[test]
fn a_watch_keeps_the_copy_current_while_it_waits_and_not_after_it_failed() {
    let mut age = CopyAge::default();
    age.record_listing(1_000);
    age.begin_watch();
    assert_eq!(age.read_age(9_000), Some(0));
    age.end_watch(false, 9_000);
    assert_eq!(age.read_age(9_000), Some(8_000));
    age.begin_watch();
    age.end_watch(true, 9_500);
    assert_eq!(age.read_age(9_600), Some(100));
}

#[test]
fn an_entry_that_lacks_more_than_a_reader_tells_at_once_asks_the_store() {
    let mut age = CopyAge::default();
    age.record_confirmation(3_000);
    age.record_behind();
    assert_eq!(source(&age, 3_001), ChangeSource::Store);
}
