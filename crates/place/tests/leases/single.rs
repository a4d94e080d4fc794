//! Single cases of the lease and of the orders.

use place::{
    Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, OrderReason, OrderTracker,
    Permit, ServerState,
};

/// Returns a holder that created the key under lease 7 at revision 42.
fn holding() -> Holder {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 1_000 }, 1_010);
    assert_eq!(holder.next(LeaseEvent::Created(42), 1_020), LeaseAction::Renew(7));
    holder
}

#[test]
fn lease_ends_early_by_the_margin_counted_from_the_sending_of_the_renewal() {
    let mut holder = holding();
    holder.next(LeaseEvent::Renewed(2_000), 5_000);
    assert_eq!(holder.permit(Fencing::Checked, 10_499), Permit::Send(42));
    assert_eq!(holder.permit(Fencing::Checked, 10_500), Permit::NotHeld);
}

#[test]
fn new_holder_waits_for_the_previous_one_where_fencing_is_ignored() {
    let holder = holding();
    assert_eq!(holder.permit(Fencing::Checked, 1_020), Permit::Send(42));
    // The previous process may have sent orders until 0 ms.
    assert_eq!(holder.permit(Fencing::Ignored, 1_020), Permit::NotYet(12_000));
}

#[test]
fn holder_that_has_run_for_long_waits_only_for_orders_in_flight() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 50_000 }, 50_010);
    holder.next(LeaseEvent::Created(42), 50_020);
    assert_eq!(holder.permit(Fencing::Ignored, 50_020), Permit::NotYet(52_020));
    assert_eq!(holder.permit(Fencing::Ignored, 52_020), Permit::Send(42));
}

#[test]
fn orders_under_two_leases_of_one_entry_are_separated_by_the_ttl() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 50_000 }, 50_010);
    holder.next(LeaseEvent::Created(42), 50_020);
    holder.next(LeaseEvent::Expired, 55_000);
    holder.next(LeaseEvent::Granted { lease: 8, sent: 56_000 }, 56_010);
    holder.next(LeaseEvent::Created(44), 56_020);
    assert_eq!(holder.permit(Fencing::Ignored, 56_020), Permit::NotYet(67_000));
}

#[test]
fn key_whose_creation_was_not_confirmed_is_recognised_by_its_lease() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 0 }, 10);
    holder.next(LeaseEvent::Failed, 2_010);
    assert_eq!(holder.next(LeaseEvent::Waited, 2_510), LeaseAction::Read);
    holder.next(LeaseEvent::Found(KeyOwner::ThisEntry { lease: 7, revision: 42 }), 2_520);
    assert_eq!(holder.permit(Fencing::Checked, 2_520), Permit::Send(42));
}

#[test]
fn grant_that_arrives_after_its_lease_ended_is_not_used() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    let next = holder.next(LeaseEvent::Granted { lease: 7, sent: 0 }, 8_500);
    assert!(matches!(next, LeaseAction::Wait(_)));
}

#[test]
fn holder_sends_no_orders_after_its_lease_expired() {
    let mut holder = holding();
    holder.next(LeaseEvent::Expired, 2_000);
    assert_eq!(holder.permit(Fencing::Checked, 2_000), Permit::NotHeld);
}

#[test]
fn entry_does_not_request_a_lease_that_it_could_not_use_yet() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    assert_eq!(holder.next(LeaseEvent::Found(KeyOwner::Nobody), 1_000), LeaseAction::Wait(10_000));
    assert_eq!(holder.next(LeaseEvent::Found(KeyOwner::Nobody), 10_000), LeaseAction::Grant);
}

#[test]
fn after_a_restore_the_leases_of_before_are_left_the_time_in_which_their_holders_believe_in_them() {
    let mut holder = Holder::at_first_start(LeaseTimes::default(), 0);
    holder.record_restore(60_000);
    let next = holder.next(LeaseEvent::Found(KeyOwner::Nobody), 60_010);
    assert_eq!(next, LeaseAction::Wait(70_000));
    // A lease that was requested before is not used.
    let next = holder.next(LeaseEvent::Granted { lease: 7, sent: 60_020 }, 60_030);
    assert!(matches!(next, LeaseAction::Wait(_)), "{next:?}");
    assert_eq!(holder.next(LeaseEvent::Found(KeyOwner::Nobody), 70_000), LeaseAction::Grant);
}

#[test]
fn a_key_that_an_earlier_process_created_after_the_restore_is_replaced_at_once() {
    let mut holder = Holder::at_first_start(LeaseTimes::default(), 0);
    holder.record_restore(60_000);
    let found = KeyOwner::EarlierProcess { revision: 42 };
    assert_eq!(holder.next(LeaseEvent::Found(found), 60_010), LeaseAction::Grant);
    let next = holder.next(LeaseEvent::Granted { lease: 7, sent: 60_010 }, 60_020);
    assert_eq!(next, LeaseAction::Create { lease: 7, replaces: 42 });
}

#[test]
fn holder_sends_no_orders_after_a_restore_ended_its_lease() {
    let mut holder = holding();
    holder.record_restore(2_000);
    assert_eq!(holder.permit(Fencing::Checked, 2_000), Permit::NotHeld);
    // The lease is not resumed, although the copy may hold its key.
    let found = KeyOwner::ThisEntry { lease: 7, revision: 42 };
    assert!(matches!(holder.next(LeaseEvent::Found(found), 2_010), LeaseAction::Wait(_)));
}

#[test]
fn a_key_of_before_a_restore_is_not_replaced_with_a_lease_of_after_it() {
    let mut holder = Holder::at_first_start(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Found(KeyOwner::EarlierProcess { revision: 42 }), 50_000);
    holder.record_restore(50_010);
    let next = holder.next(LeaseEvent::Granted { lease: 7, sent: 50_020 }, 50_030);
    assert!(matches!(next, LeaseAction::Wait(_)), "{next:?}");
}

#[test]
fn holder_sends_no_orders_after_releasing_the_lease() {
    let mut holder = holding();
    assert_eq!(holder.release(2_000), Some(42));
    assert_eq!(holder.permit(Fencing::Checked, 2_000), Permit::NotHeld);
    assert_eq!(holder.release(2_000), None);
}

/// Returns a holder whose lease ended by its own clock during an outage of the key-value service.
fn after_outage() -> Holder {
    let mut holder = holding();
    holder.next(LeaseEvent::Renewed(2_000), 2_010);
    holder.next(LeaseEvent::Waited, 4_500);
    holder.next(LeaseEvent::Failed, 11_000);
    assert_eq!(holder.permit(Fencing::Checked, 11_000), Permit::NotHeld);
    assert_eq!(holder.next(LeaseEvent::Waited, 30_000), LeaseAction::Read);
    holder
}

#[test]
fn holder_whose_lease_survived_an_outage_resumes_immediately() {
    let mut holder = after_outage();
    let found = KeyOwner::ThisEntry { lease: 7, revision: 42 };
    assert_eq!(holder.next(LeaseEvent::Found(found), 30_010), LeaseAction::Renew(7));
    assert_eq!(holder.permit(Fencing::Ignored, 30_010), Permit::NotHeld);
    holder.next(LeaseEvent::Renewed(30_010), 30_020);
    assert_eq!(holder.permit(Fencing::Ignored, 30_020), Permit::Send(42));
}

#[test]
fn holder_whose_lease_expired_in_an_outage_does_not_resume() {
    let mut holder = after_outage();
    holder.next(LeaseEvent::Found(KeyOwner::ThisEntry { lease: 7, revision: 42 }), 30_010);
    holder.next(LeaseEvent::Expired, 30_020);
    assert_eq!(holder.permit(Fencing::Checked, 30_020), Permit::NotHeld);
    // A key of this entry that does not belong to its last held lease is not resumed.
    let next =
        holder.next(LeaseEvent::Found(KeyOwner::ThisEntry { lease: 8, revision: 50 }), 30_030);
    assert!(matches!(next, LeaseAction::Wait(_)));
}

#[test]
fn order_is_retried_until_reported_and_a_change_by_others_is_reverted() {
    let desired = ServerState { model: "small".into(), version: "2".into() };
    let other = ServerState { version: "1".into(), ..desired.clone() };
    let server = "engine-1".into();
    let mut orders = OrderTracker::new(2_000, 1_000);
    let mut reason = |reported: &ServerState, now| {
        orders.reconcile(&server, &desired, Some(reported), 42, now).map(|order| order.reason)
    };
    assert_eq!(reason(&other, 0), Some(OrderReason::Differs));
    assert_eq!(reason(&other, 2_999), None);
    assert_eq!(reason(&other, 3_000), Some(OrderReason::Retry));
    assert_eq!(reason(&desired, 4_000), None);
    assert_eq!(reason(&other, 5_000), Some(OrderReason::Revert));
}

#[test]
fn new_desired_state_is_ordered_immediately() {
    let first = ServerState { model: "small".into(), version: "1".into() };
    let second = ServerState { version: "2".into(), ..first.clone() };
    let server = "engine-1".into();
    let mut orders = OrderTracker::new(2_000, 1_000);
    orders.reconcile(&server, &first, None, 42, 0);
    let order = orders.reconcile(&server, &second, None, 42, 10).unwrap();
    assert_eq!((order.desired, order.reason), (second, OrderReason::Differs));
}

#[test]
fn restarted_holder_takes_over_from_its_earlier_process_without_waiting_for_the_lease_to_expire() {
    let mut holder = Holder::new(LeaseTimes::default(), 50_000);
    let found = LeaseEvent::Found(KeyOwner::EarlierProcess { revision: 42 });
    assert_eq!(holder.next(found, 50_010), LeaseAction::Grant);
    let granted = LeaseEvent::Granted { lease: 8, sent: 50_010 };
    assert_eq!(
        holder.next(granted, 50_020),
        LeaseAction::Create { lease: 8, replaces: 42 },
        "the key is replaced only if it is still the one that was read"
    );
    holder.next(LeaseEvent::Created(44), 50_030);
    assert_eq!(holder.permit(Fencing::Ignored, 50_030), Permit::NotYet(52_030));
    assert_eq!(holder.permit(Fencing::Ignored, 52_030), Permit::Send(44));
}

#[test]
fn takeover_whose_key_expired_meanwhile_waits_like_any_new_tenure() {
    let mut holder = Holder::new(LeaseTimes::default(), 50_000);
    holder.next(LeaseEvent::Found(KeyOwner::EarlierProcess { revision: 42 }), 50_010);
    holder.next(LeaseEvent::Granted { lease: 8, sent: 50_010 }, 50_020);
    assert_eq!(holder.next(LeaseEvent::Waited, 50_030), LeaseAction::Read);
    // Another entry may have held the lease and released it in the meantime.
    let next = holder.next(LeaseEvent::Found(KeyOwner::Nobody), 50_040);
    assert_eq!(next, LeaseAction::Create { lease: 8, replaces: 0 });
    holder.next(LeaseEvent::Created(46), 50_050);
    assert_eq!(holder.permit(Fencing::Ignored, 50_050), Permit::NotYet(62_000));
}

#[test]
fn first_start_of_a_deployment_waits_for_no_previous_holder() {
    let mut holder = Holder::at_first_start(LeaseTimes::default(), 0);
    assert_eq!(holder.next(LeaseEvent::Found(KeyOwner::Nobody), 10), LeaseAction::Grant);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 10 }, 20);
    holder.next(LeaseEvent::Created(42), 30);
    assert_eq!(holder.permit(Fencing::Ignored, 2_030), Permit::Send(42));
}
