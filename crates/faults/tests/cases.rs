//! The awkward cases by name.

use faults::Fault::*;
use faults::{Cell, Fault, LIVES, Life, Promise, Seen, Word, check, run, singles, steps};

/// Steps between the two faults of a case with two.
const REACH: usize = 6;

fn life(name: &str) -> Life {
    Life::named(name).expect("a life of that name")
}

fn assert_kept(cell: &Cell) {
    let log = run(cell, None);
    let found = check(&log);
    assert!(found.is_empty(), "{}, {:?}: {found:?}\n{:?}", cell.life.name, cell.plan, log.seen);
}

/// Puts each of the faults at each step of a life.
fn each(life: Life, faults: &[Fault]) {
    singles(life).filter(|cell| faults.contains(&cell.plan[0].1)).for_each(|c| assert_kept(&c));
}

/// Puts a first fault at each step and a second at each of the steps after it.
fn both(life: Life, first: Fault, second: Fault) {
    for step in 0..steps(life, &Vec::new()) {
        let plan = vec![(step, first)];
        for next in step + 1..steps(life, &plan).min(step + REACH) {
            assert_kept(&Cell { life, plan: vec![(step, first), (next, second)] });
        }
    }
}

fn lives(repeatable: bool) -> impl Iterator<Item = Life> {
    LIVES.iter().copied().filter(move |life| life.is_repeatable() == repeatable)
}

#[test]
fn a_key_repeated_at_a_third_entry_runs_once_while_its_owner_is_cut_off() {
    let life = life("once, again at a third entry");
    each(life, &[CutIn, CutOut]);
    both(life, CutOut, Lose);
    both(life, CutIn, LoseAnswer);
}

#[test]
fn a_key_repeated_at_a_third_entry_runs_once_while_its_owner_is_paused() {
    let life = life("once, again at a third entry");
    each(life, &[Pause]);
    both(life, Pause, KvDown);
    both(life, Pause, LoseAnswer);
}

#[test]
fn a_witness_that_was_only_paused_grants_nothing_after_it_was_passed_over() {
    for life in lives(false) {
        both(life, Pause, Pause);
        both(life, Pause, VeryLate);
    }
}

#[test]
fn a_restarted_witness_without_memory_gives_no_permission() {
    for life in lives(false) {
        each(life, &[Restart]);
        both(life, Restart, Restart);
        both(life, Restart, CrashAfter);
    }
}

#[test]
fn a_grant_that_arrives_late_is_worth_nothing() {
    for life in lives(false) {
        each(life, &[Late, VeryLate]);
        both(life, Late, Late);
        both(life, VeryLate, CrashAfter);
    }
}

#[test]
fn a_lost_answer_of_the_key_value_service_lets_nobody_run_twice() {
    for life in lives(false) {
        both(life, Lose, LoseAnswer);
        both(life, LoseAnswer, KvSlow);
        both(life, CrashBefore, LoseAnswer);
    }
}

#[test]
fn a_stream_that_stops_without_its_final_event_is_not_whole() {
    for life in LIVES {
        each(*life, &[Lose, LoseAnswer, ServerBreaks]);
    }
}

#[test]
fn a_caller_that_reconnects_to_the_leaving_entry_gets_its_answer() {
    for name in
        ["repeatable, read again at the leaving owner", "once, sent again at the leaving owner"]
    {
        assert_kept(&Cell { life: life(name), plan: Vec::new() });
        each(life(name), &[Reclaim, ReclaimDataCentre, CrashAfter, Pause]);
    }
}

#[test]
fn a_process_that_dies_at_any_step_of_its_hand_over_breaks_no_promise() {
    for name in ["once, owner reclaimed", "repeatable, owner reclaimed"] {
        each(life(name), &[CrashBefore, CrashAfter, Restart]);
        both(life(name), LoseAnswer, CrashBefore);
        both(life(name), Lose, CrashAfter);
    }
}

#[test]
fn a_second_reclaim_during_a_hand_over_breaks_no_promise() {
    for name in ["once, owner reclaimed", "repeatable, owner reclaimed"] {
        each(life(name), &[Reclaim]);
        both(life(name), Reclaim, Reclaim);
        both(life(name), LoseAnswer, Reclaim);
    }
}

#[test]
fn an_entry_reclaimed_together_with_its_server_breaks_no_promise() {
    for life in LIVES {
        each(*life, &[ReclaimBoth]);
        both(*life, ReclaimBoth, ReclaimBoth);
    }
}

#[test]
fn a_data_centre_reclaimed_at_once_breaks_no_promise() {
    for life in LIVES {
        each(*life, &[ReclaimDataCentre]);
        both(*life, Reclaim, ReclaimDataCentre);
    }
}

#[test]
fn a_planned_stop_cuts_no_request_short() {
    for name in ["once, owner drains", "repeatable, owner drains"] {
        let log = run(&Cell { life: life(name), plan: Vec::new() }, None);
        let answered = log
            .seen
            .iter()
            .any(|(_, seen)| matches!(seen, Seen::Told { word: Word::Answered, .. }));
        let runs = log.seen.iter().filter(|(_, seen)| matches!(seen, Seen::Ran { .. })).count();
        assert!(answered && runs == 1, "{:?}", log.seen);
    }
}

#[test]
fn a_request_that_no_server_takes_is_told_not_run_at_once() {
    for name in ["once, refused first", "repeatable, refused first"] {
        let log = run(&Cell { life: life(name), plan: Vec::new() }, None);
        let told =
            log.seen.iter().find(|(_, seen)| matches!(seen, Seen::Told { word: Word::NotRun, .. }));
        assert!(told.is_some_and(|(at, _)| *at < 100), "{:?}", log.seen);
    }
}

#[test]
fn a_request_needs_no_key_value_service_on_its_ordinary_path() {
    for life in LIVES {
        assert_kept(&Cell { life: *life, plan: vec![(0, KvDown)] });
        let log = run(&Cell { life: *life, plan: vec![(0, KvDown)] }, None);
        let whole = check(&log).iter().all(|violation| violation.promise != Promise::WholeAnswer);
        let answered =
            |(_, seen): &(u64, Seen)| matches!(seen, Seen::Told { word: Word::Answered, .. });
        let plain = run(&Cell { life: *life, plan: Vec::new() }, None);
        let same = log.seen.iter().any(answered) == plain.seen.iter().any(answered);
        assert!(whole && same, "{}: {:?}", life.name, log.seen);
    }
}

#[test]
fn a_request_whose_last_holder_restarted_is_run_again_by_one_that_gave_it_on() {
    let life = life("repeatable, long answer, owner reclaimed");
    let cell = Cell { life, plan: vec![(3, CutIn), (6, Lose), (56, Restart)] };
    assert_kept(&cell);
    let log = run(&cell, None);
    let answered =
        |(_, seen): &(u64, Seen)| matches!(seen, Seen::Told { word: Word::Answered, .. });
    assert!(log.seen.iter().any(answered), "{:?}", log.seen);
}
