//! Fault matrix of the lease: every fault at every step of the first entry, and every pair of
//! faults at consecutive steps, while a second entry competes for the lease. One script of faults,
//! with or without changes of the desired state, is one cell of the matrix.

use crate::world::{Disabled, FAULTS, Fault, World};
use std::collections::BTreeMap;

/// Number of steps (calls and orders) of the first entry at which a script may start.
const STEPS: usize = 24;

/// Number of threads that run the cells.
const THREADS: usize = 4;

/// The faults of a cell by step, and whether the desired state changes during the run.
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

/// Runs a cell. Returns `None` if the run ended before a fault of the script, and otherwise a
/// description of the violations, which is empty if there are none.
fn run_one(script: &Script, disabled: Option<Disabled>) -> Option<String> {
    let violations = World::new(script.0.clone(), script.1, disabled).run()?;
    Some(if violations.is_empty() { String::new() } else { format!("{script:?}: {violations:?}") })
}

#[test]
fn simulation_has_no_violations_under_any_fault() {
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

/// Runs cells with a mechanism disabled until the checker reports `expected`.
fn assert_reported(disabled: Disabled, expected: &str) {
    let cells = scripts().into_iter().filter_map(|script| run_one(&script, Some(disabled)));
    let reported = cells.into_iter().find(|text| text.contains(expected));
    println!("leases without {disabled:?}: {reported:?}");
    assert!(reported.is_some(), "the checker does not notice that {disabled:?} is disabled");
}

#[test]
fn checker_reports_missing_fencing() {
    assert_reported(Disabled::Fencing, "checks: an old order");
}

#[test]
fn checker_reports_a_lease_counted_from_the_response_of_the_renewal() {
    assert_reported(Disabled::TimeBeforeSending, "both entries may send");
}

#[test]
fn checker_reports_a_missing_check_before_an_order() {
    assert_reported(Disabled::Recheck, "both entries may send");
}

#[test]
fn checker_reports_a_missing_wait_where_fencing_is_ignored() {
    assert_reported(Disabled::Waiting, "ignores: an old order");
}

#[test]
fn checker_reports_missing_reconciliation() {
    assert_reported(Disabled::Reconciling, "ignores: ends with");
}

#[test]
fn checker_reports_a_restore_that_entries_ignore() {
    assert_reported(Disabled::Restores, "both entries may send");
}
