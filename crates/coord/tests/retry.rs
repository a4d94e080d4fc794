//! Retry budget shared by all entries.

use coord::{RetryBudget, RetrySettings};
use kernel::Name;

const SETTINGS: RetrySettings = RetrySettings { window_ms: 10_000, ratio: 0.2, slack: 50.0 };

/// Returns the budget of an entry that has shared the slack with `entries - 1` others from the start.
fn budget(entries: usize) -> RetryBudget {
    let mut budget = RetryBudget::new(SETTINGS);
    budget.set_entries(entries);
    budget.share_slack_from(0);
    budget
}

/// Returns the budget of an entry that starts again at `now`.
fn restarted(entries: usize, now: u64) -> RetryBudget {
    let mut budget = budget(entries);
    budget.share_slack_from(now + SETTINGS.window_ms);
    budget
}

#[test]
fn all_entries_together_stay_within_the_budget() {
    let service = Name::from("s");
    let entries = 7;
    let mut retries = 0;
    let mut requests = 0;
    for _ in 0..entries {
        let mut budget = budget(entries);
        for i in 0..300 {
            budget.record_request(&service, i * 10);
            requests += 1;
            retries += u32::from(budget.take(&service, i * 10));
        }
    }
    let allowed = SETTINGS.ratio * f64::from(requests) + SETTINGS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} retries, {allowed} allowed");
    assert!(
        f64::from(retries) > allowed / 2.0,
        "{retries} retries, not more than half of the {allowed} allowed"
    );
}

#[test]
fn the_budget_is_restored_after_the_window() {
    let service = Name::from("s");
    let mut budget = budget(1);
    while budget.take(&service, 0) {}
    assert!(!budget.take(&service, SETTINGS.window_ms));
    assert!(budget.take(&service, SETTINGS.window_ms + 1));
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = budget(1);
    while budget.take(&Name::from("a"), 0) {}
    assert!(budget.take(&Name::from("b"), 0));
}

#[test]
fn granted_retries_count_against_the_granting_entry() {
    let service = Name::from("s");
    let (mut a, mut b) = (budget(2), budget(2));
    let alone = (0..100).filter(|_| a.clone().take(&service, 0)).count();
    assert!(alone > 0);
    while a.take(&service, 0) {}
    let granted = b.grant(&service, 5, 0);
    a.receive(&service, granted, 0);
    let used = (0..100).filter(|_| a.take_granted(&service, 0)).count();
    assert_eq!(used, 5);
    let left = (0..100).filter(|_| b.take(&service, 0)).count();
    assert_eq!(f64::from(granted) + left as f64, (0.93 * SETTINGS.slack / 2.0).floor());
}

#[test]
fn granted_retries_expire() {
    let service = Name::from("s");
    let mut budget = RetryBudget::new(SETTINGS);
    budget.receive(&service, 3, 0);
    assert!(budget.take_granted(&service, 100));
    assert!(!budget.take_granted(&service, 600));
}

#[test]
fn entries_that_restart_within_a_window_stay_within_the_budget() {
    const ENTRIES: usize = 9;
    const REQUEST_INTERVAL_MS: u64 = 100;
    const RESTART_INTERVAL_MS: u64 = 2_000;
    let service = Name::from("s");
    let mut budgets: Vec<RetryBudget> = vec![budget(ENTRIES); ENTRIES];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for now in (0..SETTINGS.window_ms).step_by(REQUEST_INTERVAL_MS as usize) {
        for budget in &mut budgets {
            if now > 0 && now % RESTART_INTERVAL_MS == 0 {
                *budget = restarted(ENTRIES, now);
            }
            budget.record_request(&service, now);
            requests += 1;
            while budget.take(&service, now) {
                retries += 1;
            }
        }
    }
    let allowed = SETTINGS.ratio * f64::from(requests) + SETTINGS.slack;
    assert!(f64::from(retries) <= allowed, "{retries} retries, {allowed} allowed");
}

#[test]
fn an_entry_that_restarted_shares_the_slack_again_after_a_window() {
    let service = Name::from("s");
    let mut budget = restarted(9, 5_000);
    assert!(!budget.take(&service, 5_000 + SETTINGS.window_ms - 1));
    assert!(budget.take(&service, 5_000 + SETTINGS.window_ms));
}
