//! When an entry takes the store for lost.

use coord::{StoreChange, StoreHealth};

#[test]
fn a_call_that_was_sent_before_an_outage_ended_does_not_begin_another_one() {
    let mut health = StoreHealth::default();
    assert_eq!(health.record(1_000, true, 1_500), Some(StoreChange::Lost));
    assert_eq!(health.record(2_000, false, 2_004), Some(StoreChange::Regained));
    assert_eq!(health.record(1_600, true, 2_100), None);
    assert!(!health.is_lost());
    assert_eq!(health.regained_at(), 2_004);
    assert_eq!(health.record(2_200, true, 2_700), Some(StoreChange::Lost));
}
