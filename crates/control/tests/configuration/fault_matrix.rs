//! Fault matrix of acceptance: every fault at every call, and combinations of faults at up to
//! three consecutive calls.

use crate::fake_kv::DisabledGuard;
use crate::fault_case::fault_cases;

/// Runs every case. Returns the number of cases in which all faults were injected, and the failures
/// among them.
async fn run(disabled: Option<DisabledGuard>, max_faults: usize) -> (usize, Vec<String>) {
    let mut completed = 0;
    let mut failed = Vec::new();
    for case in fault_cases(disabled, max_faults) {
        let Some(violations) = case.run().await else { continue };
        completed += 1;
        if !violations.is_empty() {
            let text = format!("{} {:?}: {violations:?}", case.generations, case.script);
            println!("{text}");
            failed.push(text);
        }
    }
    (completed, failed)
}

#[tokio::test(start_paused = true)]
async fn operators_get_the_true_outcome_under_every_fault() {
    let (cases, failed) = run(None, 3).await;
    let passed = cases - failed.len();
    println!("acceptance: cases {cases}, passed {passed}, failed {}", failed.len());
    let shown: Vec<&String> = failed.iter().take(8).collect();
    assert!(failed.is_empty(), "acceptance: {} of {cases} cases failed: {shown:#?}", failed.len());
}

async fn assert_detected(disabled: DisabledGuard, expected: &str) {
    let (cases, failed) = run(Some(disabled), 2).await;
    let detected = failed.iter().filter(|text| text.contains(expected)).count();
    println!("acceptance without {disabled:?}: cases {cases}, detected {detected}");
    assert!(detected > 0, "the checker does not detect that {disabled:?} is disabled");
}

#[tokio::test(start_paused = true)]
async fn checker_detects_a_swap_without_comparison() {
    assert_detected(DisabledGuard::Compare, "was written at position").await;
}

#[tokio::test(start_paused = true)]
async fn checker_detects_a_missing_history_entry() {
    assert_detected(DisabledGuard::HistoryWrite, "is not in the history").await;
}

#[tokio::test(start_paused = true)]
async fn checker_detects_a_missing_body() {
    assert_detected(DisabledGuard::BodyWrite, "has no body").await;
}

#[tokio::test(start_paused = true)]
async fn checker_detects_an_ignored_nonce() {
    assert_detected(DisabledGuard::Nonce, "reported as a conflict but was accepted").await;
}
