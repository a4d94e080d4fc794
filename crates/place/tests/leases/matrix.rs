//! Every fault at every step of a holder, and pairs at neighbouring steps, with a rival.

use crate::world::{FAULTS, Fault, Off, World};
use std::collections::BTreeMap;

/// Steps at which a script may start: calls and orders of the first one.
const STEPS: usize = 24;

/// Threads that share the cells.
const THREADS: usize = 4;

/// The faults of a cell, and whether what the holders want changes during it.
type Script = (BTreeMap<usize, Fault>, bool);

fn scripts() -> Vec<Script> {
    let mut scripts = vec![(BTreeMap::new(), true), (BTreeMap::new(), false)];
    for step in 0..STEPS {
        for fault in FAULTS {
            scripts.push((BTreeMap::from([(step, fault)]), true));
            scripts.push((BTreeMap::from([(step, fault)]), false));
            let pair = |next| (BTreeMap::from([(step, fault), (step + 1, next)]), true);
            scripts.extend(FAULTS.map(pair));
        }
    }
    scripts
}

/// Runs a cell; none when a fault was not met, an empty text when all is well.
fn run_one(script: &Script, off: Option<Off>) -> Option<String> {
    let broken = World::new(script.0.clone(), script.1, off).run()?;
    Some(if broken.is_empty() { String::new() } else { format!("{script:?}: {broken:?}") })
}

#[test]
fn a_stale_holder_does_no_harm_under_every_fault() {
    let scripts = scripts();
    let results: Vec<String> = std::thread::scope(|scope| {
        let share = scripts.len().div_ceil(THREADS);
        let run = |part: &'_ [Script]| -> Vec<String> {
            part.iter().filter_map(|script| run_one(script, None)).collect()
        };
        let threads: Vec<_> =
            scripts.chunks(share).map(|part| scope.spawn(move || run(part))).collect();
        threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    });
    let cells = results.len();
    let failed: Vec<String> = results.into_iter().filter(|text| !text.is_empty()).collect();
    let passed = cells - failed.len();
    println!("leases: cells {cells}, passed {passed}, failed {}", failed.len());
    let shown: Vec<&String> = failed.iter().take(8).collect();
    assert!(failed.is_empty(), "leases: {} of {cells} cells failed: {shown:#?}", failed.len());
}

/// Runs cells until the checker reports `expected`.
fn assert_reported(off: Off, expected: &str) {
    let cells = scripts().into_iter().filter_map(|script| run_one(&script, Some(off)));
    let reported = cells.into_iter().find(|text| text.contains(expected));
    println!("leases without {off:?}: {reported:?}");
    assert!(reported.is_some(), "the checker misses that {off:?} is off");
}

#[test]
fn the_checker_reports_missing_fencing() {
    assert_reported(Off::Fencing, "checks: an old order");
}

#[test]
fn the_checker_reports_time_taken_after_the_answer() {
    assert_reported(Off::TimeBeforeSending, "both may send");
}

#[test]
fn the_checker_reports_a_missing_check_before_an_order() {
    assert_reported(Off::Recheck, "both may send");
}

#[test]
fn the_checker_reports_a_missing_wait_where_numbers_are_ignored() {
    assert_reported(Off::Waiting, "ignores: an old order");
}

#[test]
fn the_checker_reports_missing_reconciliation() {
    assert_reported(Off::Reconciling, "ignores: ends with");
}
