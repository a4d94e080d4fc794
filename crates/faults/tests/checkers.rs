//! Each protecting mechanism is switched off in turn, and the checker has to notice.

use faults::{Cell, LIVES, Mutation, Promise, check, run, singles};

/// Tells whether some cell of the matrix shows that the promise is broken.
fn is_noticed(mutation: Mutation, promise: Promise) -> bool {
    let plain = LIVES.iter().map(|life| Cell { life: *life, plan: Vec::new() });
    let cells = plain.chain(LIVES.iter().flat_map(|life| singles(*life)));
    let breaks = |cell: Cell| {
        check(&run(&cell, Some(mutation))).iter().any(|violation| violation.promise == promise)
    };
    cells.into_iter().any(breaks)
}

#[test]
fn a_witness_that_takes_over_after_granting_is_noticed() {
    assert!(is_noticed(Mutation::ForgetGrant, Promise::AtMostOnce));
}

#[test]
fn a_right_given_to_two_entries_is_noticed() {
    assert!(is_noticed(Mutation::GiveTwice, Promise::AtMostOnce));
}

#[test]
fn a_pool_that_repeats_a_request_is_noticed() {
    assert!(is_noticed(Mutation::RepeatInPool, Promise::AtMostOnce));
}

#[test]
fn not_run_told_without_a_void_is_noticed() {
    assert!(is_noticed(Mutation::PretendVoided, Promise::NotRunIsTrue));
}

#[test]
fn a_late_request_that_begins_a_round_nobody_asks_for_is_noticed() {
    assert!(is_noticed(Mutation::IgnoreRound, Promise::NotRunIsTrue));
}

#[test]
fn chunks_shown_before_the_witness_holds_them_are_noticed() {
    assert!(is_noticed(Mutation::PretendHeld, Promise::SurvivesReclaim));
}

#[test]
fn chunks_of_another_attempt_are_noticed() {
    assert!(is_noticed(Mutation::IgnoreAttempt, Promise::WholeAnswer));
}

#[test]
fn answers_crossed_on_one_server_are_noticed() {
    assert!(is_noticed(Mutation::CrossAnswers, Promise::WholeAnswer));
}

#[test]
fn a_stream_without_its_final_event_that_counts_as_whole_is_noticed() {
    assert!(is_noticed(Mutation::AcceptCutStream, Promise::WholeAnswer));
}

#[test]
fn a_leaving_entry_that_keeps_its_requests_is_noticed() {
    assert!(is_noticed(Mutation::KeepAll, Promise::SurvivesReclaim));
}

#[test]
fn a_final_word_that_is_held_back_is_noticed() {
    assert!(is_noticed(Mutation::HoldBack(20_000), Promise::ToldAtOnce));
}
