//! The shared budget for sending requests again.

use coord::{RetryBudget, RetrySettings};
use kernel::Name;

const SETTINGS: RetrySettings = RetrySettings { window_ms: 10_000, ratio: 0.2, slack: 50.0 };

#[test]
fn all_entries_together_stay_within_the_budget() {
    let service = Name::from("s");
    let entries = 7;
    let mut retries = 0;
    let mut requests = 0;
    for _ in 0..entries {
        let mut share = RetryBudget::new(SETTINGS);
        share.set_entries(entries);
        for i in 0..300 {
            share.request(&service, i * 10);
            requests += 1;
            retries += u32::from(share.take(&service, i * 10));
        }
    }
    let budget = SETTINGS.ratio * f64::from(requests) + SETTINGS.slack;
    assert!(f64::from(retries) <= budget, "{retries} retries, {budget} allowed");
    assert!(f64::from(retries) > budget / 2.0, "the budget is there to be used");
}

#[test]
fn the_budget_comes_back_when_the_window_has_passed() {
    let service = Name::from("s");
    let mut share = RetryBudget::new(SETTINGS);
    while share.take(&service, 0) {}
    assert!(!share.take(&service, SETTINGS.window_ms));
    assert!(share.take(&service, SETTINGS.window_ms + 1));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut share = RetryBudget::new(SETTINGS);
    while share.take(&Name::from("a"), 0) {}
    assert!(share.take(&Name::from("b"), 0));
}

#[test]
fn repeats_that_are_given_count_where_they_come_from() {
    let service = Name::from("s");
    let (mut a, mut b) = (RetryBudget::new(SETTINGS), RetryBudget::new(SETTINGS));
    a.set_entries(2);
    b.set_entries(2);
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
fn repeats_that_are_given_lapse() {
    let service = Name::from("s");
    let mut share = RetryBudget::new(SETTINGS);
    share.receive(&service, 3, 0);
    assert!(share.take_granted(&service, 100));
    assert!(!share.take_granted(&service, 600));
}
