//! How fresh the rules of an entry are.

use coord::{Confirmed, Sight};

#[test]
fn nothing_is_fresh_before_the_first_confirmation() {
    let sight = Sight::default();
    assert!(!sight.is_fresh(0, u64::MAX));
    assert_eq!(sight.age(5), None);
}

#[test]
fn the_age_counts_from_the_sending_of_the_call() {
    let mut sight = Sight::default();
    assert_eq!(sight.confirm(7, 1_000), Confirmed::Newer);
    assert_eq!(sight.age(4_000), Some(3_000));
    assert!(sight.is_fresh(4_000, 3_000));
    assert!(!sight.is_fresh(4_001, 3_000));
}

#[test]
fn an_older_version_confirms_nothing() {
    let mut sight = Sight::default();
    sight.confirm(7, 1_000);
    assert_eq!(sight.confirm(6, 9_000), Confirmed::Older);
    assert_eq!((sight.version(), sight.age(9_000)), (Some(7), Some(8_000)));
}

#[test]
fn answers_that_overtake_each_other_do_not_make_it_older() {
    let mut sight = Sight::default();
    sight.confirm(7, 5_000);
    assert_eq!(sight.confirm(7, 4_000), Confirmed::Same);
    assert_eq!(sight.age(6_000), Some(1_000));
}

#[test]
fn a_suspension_ages_it() {
    let mut sight = Sight::default();
    sight.confirm(7, 1_000);
    let woken = 1_000 + 60_000;
    assert!(!sight.is_fresh(woken, 4_700));
}
