//! The lease and the orders in single cases.

use place::{
    Fencing, Holder, KeyOwner, LeaseAction, LeaseEvent, LeaseTimes, OrderReason, OrderTracker,
    Permit, ServerState,
};

fn holding() -> Holder {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 1_000 }, 1_010);
    assert_eq!(holder.next(LeaseEvent::Created(42), 1_020), LeaseAction::Renew(7));
    holder
}

#[test]
fn the_lease_ends_a_margin_early_counted_from_before_the_call() {
    let mut holder = holding();
    holder.next(LeaseEvent::Renewed(2_000), 5_000);
    assert_eq!(holder.permit(Fencing::Checked, 10_499), Permit::Send(42));
    assert_eq!(holder.permit(Fencing::Checked, 10_500), Permit::NotHeld);
}

#[test]
fn a_new_holder_waits_out_the_one_before_where_numbers_are_ignored() {
    let holder = holding();
    assert_eq!(holder.permit(Fencing::Checked, 1_020), Permit::Send(42));
    // The process before this one may have sent orders until 0 ms.
    assert_eq!(holder.permit(Fencing::Ignored, 1_020), Permit::NotYet(12_000));
}

#[test]
fn a_holder_that_has_long_run_waits_only_for_orders_under_way() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 50_000 }, 50_010);
    holder.next(LeaseEvent::Created(42), 50_020);
    assert_eq!(holder.permit(Fencing::Ignored, 50_020), Permit::NotYet(52_020));
    assert_eq!(holder.permit(Fencing::Ignored, 52_020), Permit::Send(42));
}

#[test]
fn orders_of_two_tenures_of_one_entry_are_a_lease_apart() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 50_000 }, 50_010);
    holder.next(LeaseEvent::Created(42), 50_020);
    holder.next(LeaseEvent::Expired, 55_000);
    holder.next(LeaseEvent::Granted { lease: 8, sent: 56_000 }, 56_010);
    holder.next(LeaseEvent::Created(44), 56_020);
    assert_eq!(holder.permit(Fencing::Ignored, 56_020), Permit::NotYet(67_000));
}

#[test]
fn a_creation_whose_answer_was_lost_is_found_by_its_lease() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    holder.next(LeaseEvent::Granted { lease: 7, sent: 0 }, 10);
    holder.next(LeaseEvent::Failed, 2_010);
    assert_eq!(holder.next(LeaseEvent::Waited, 2_510), LeaseAction::Read);
    holder.next(LeaseEvent::Found(KeyOwner::ThisEntry { lease: 7, revision: 42 }), 2_520);
    assert_eq!(holder.permit(Fencing::Checked, 2_520), Permit::Send(42));
}

#[test]
fn a_grant_that_arrives_after_its_own_end_is_not_used() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    let next = holder.next(LeaseEvent::Granted { lease: 7, sent: 0 }, 8_500);
    assert!(matches!(next, LeaseAction::Wait(_)));
}

#[test]
fn a_holder_that_is_told_of_the_lapse_gives_no_orders() {
    let mut holder = holding();
    holder.next(LeaseEvent::Expired, 2_000);
    assert_eq!(holder.permit(Fencing::Checked, 2_000), Permit::NotHeld);
}

#[test]
fn an_entry_that_could_not_use_the_lease_leaves_it_to_others() {
    let mut holder = Holder::new(LeaseTimes::default(), 0);
    assert_eq!(holder.next(LeaseEvent::Found(KeyOwner::Nobody), 1_000), LeaseAction::Wait(10_000));
    assert_eq!(holder.next(LeaseEvent::Found(KeyOwner::Nobody), 10_000), LeaseAction::Grant);
}

#[test]
fn a_holder_that_resigns_sends_no_more_orders() {
    let mut holder = holding();
    assert_eq!(holder.release(2_000), Some(42));
    assert_eq!(holder.permit(Fencing::Checked, 2_000), Permit::NotHeld);
    assert_eq!(holder.release(2_000), None);
}

/// Returns a holder whose lease ended by its own clock while the platform was away.
fn away() -> Holder {
    let mut holder = holding();
    holder.next(LeaseEvent::Renewed(2_000), 2_010);
    holder.next(LeaseEvent::Waited, 4_500);
    holder.next(LeaseEvent::Failed, 11_000);
    assert_eq!(holder.permit(Fencing::Checked, 11_000), Permit::NotHeld);
    assert_eq!(holder.next(LeaseEvent::Waited, 30_000), LeaseAction::Read);
    holder
}

#[test]
fn a_holder_whose_lease_outlasted_an_outage_acts_again_at_once() {
    let mut holder = away();
    let found = KeyOwner::ThisEntry { lease: 7, revision: 42 };
    assert_eq!(holder.next(LeaseEvent::Found(found), 30_010), LeaseAction::Renew(7));
    assert_eq!(holder.permit(Fencing::Ignored, 30_010), Permit::NotHeld);
    holder.next(LeaseEvent::Renewed(30_010), 30_020);
    assert_eq!(holder.permit(Fencing::Ignored, 30_020), Permit::Send(42));
}

#[test]
fn a_holder_whose_lease_ended_in_an_outage_does_not_act() {
    let mut holder = away();
    holder.next(LeaseEvent::Found(KeyOwner::ThisEntry { lease: 7, revision: 42 }), 30_010);
    holder.next(LeaseEvent::Expired, 30_020);
    assert_eq!(holder.permit(Fencing::Checked, 30_020), Permit::NotHeld);
    // A key of this entry that is not that of its last tenure is not taken up.
    let next =
        holder.next(LeaseEvent::Found(KeyOwner::ThisEntry { lease: 8, revision: 50 }), 30_030);
    assert!(matches!(next, LeaseAction::Wait(_)));
}

#[test]
fn an_order_is_sent_until_reported_and_a_change_by_another_is_undone() {
    let wanted = ServerState { model: "small".into(), version: "2".into() };
    let other = ServerState { version: "1".into(), ..wanted.clone() };
    let server = "engine-1".into();
    let mut orders = OrderTracker::new(2_000, 1_000);
    let mut reason = |reported: &ServerState, now| {
        orders.reconcile(&server, &wanted, Some(reported), 42, now).map(|order| order.reason)
    };
    assert_eq!(reason(&other, 0), Some(OrderReason::Differs));
    assert_eq!(reason(&other, 2_999), None);
    assert_eq!(reason(&other, 3_000), Some(OrderReason::Retry));
    assert_eq!(reason(&wanted, 4_000), None);
    assert_eq!(reason(&other, 5_000), Some(OrderReason::Revert));
}

#[test]
fn a_new_condition_is_ordered_at_once() {
    let first = ServerState { model: "small".into(), version: "1".into() };
    let second = ServerState { version: "2".into(), ..first.clone() };
    let server = "engine-1".into();
    let mut orders = OrderTracker::new(2_000, 1_000);
    orders.reconcile(&server, &first, None, 42, 0);
    let order = orders.reconcile(&server, &second, None, 42, 10).unwrap();
    assert_eq!((order.desired, order.reason), (second, OrderReason::Differs));
}
