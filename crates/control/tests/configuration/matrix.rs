//! Fault matrix of acceptance: every fault at every call, and up to three at neighbouring calls.

use crate::cell::cells;
use crate::kv::Off;

/// Runs every cell; returns how many met all their faults, and those that broke a promise.
async fn run(off: Option<Off>, depth: usize) -> (usize, Vec<String>) {
    let mut met = 0;
    let mut failed = Vec::new();
    for cell in cells(off, depth) {
        let Some(broken) = cell.run().await else { continue };
        met += 1;
        if !broken.is_empty() {
            let text = format!("{} {:?}: {broken:?}", cell.generations, cell.script);
            println!("{text}");
            failed.push(text);
        }
    }
    (met, failed)
}

#[tokio::test(start_paused = true)]
async fn operators_are_told_the_truth_under_every_fault() {
    let (cells, failed) = run(None, 3).await;
    let passed = cells - failed.len();
    println!("acceptance: cells {cells}, passed {passed}, failed {}", failed.len());
    let shown: Vec<&String> = failed.iter().take(8).collect();
    assert!(failed.is_empty(), "acceptance: {} of {cells} cells failed: {shown:#?}", failed.len());
}

async fn assert_reported(off: Off, expected: &str) {
    let (cells, failed) = run(Some(off), 2).await;
    let reported = failed.iter().filter(|text| text.contains(expected)).count();
    println!("acceptance without {off:?}: cells {cells}, reported {reported}");
    assert!(reported > 0, "the checker misses that {off:?} is off");
}

#[tokio::test(start_paused = true)]
async fn the_checker_reports_a_missing_comparison() {
    assert_reported(Off::Compare, "written as number").await;
}

#[tokio::test(start_paused = true)]
async fn the_checker_reports_a_missing_history() {
    assert_reported(Off::HistoryWrite, "is not in the history").await;
}

#[tokio::test(start_paused = true)]
async fn the_checker_reports_a_missing_body() {
    assert_reported(Off::BodyWrite, "has no body").await;
}

#[tokio::test(start_paused = true)]
async fn the_checker_reports_an_ignored_nonce() {
    assert_reported(Off::Nonce, "told conflict, but it was accepted").await;
}
