//! The shared budget for sending requests again.

use coord::{RetryShare, RetryTerms};
use kernel::Name;

const TERMS: RetryTerms = RetryTerms { window_ms: 10_000, ratio: 0.2, slack: 50.0 };

#[test]
fn all_entries_together_stay_within_the_budget() {
    let service = Name::from("s");
    let entries = 7;
    let mut repeats = 0;
    let mut requests = 0;
    for _ in 0..entries {
        let mut share = RetryShare::new(TERMS);
        share.set_entries(entries);
        for i in 0..300 {
            share.request(&service, i * 10);
            requests += 1;
            repeats += u32::from(share.take(&service, i * 10));
        }
    }
    let budget = TERMS.ratio * f64::from(requests) + TERMS.slack;
    assert!(f64::from(repeats) <= budget, "{repeats} repeats, {budget} allowed");
    assert!(f64::from(repeats) > budget / 2.0, "the budget is there to be used");
}

#[test]
fn the_budget_comes_back_when_the_window_has_passed() {
    let service = Name::from("s");
    let mut share = RetryShare::new(TERMS);
    while share.take(&service, 0) {}
    assert!(!share.take(&service, TERMS.window_ms));
    assert!(share.take(&service, TERMS.window_ms + 1));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut share = RetryShare::new(TERMS);
    while share.take(&Name::from("a"), 0) {}
    assert!(share.take(&Name::from("b"), 0));
}

#[test]
fn repeats_that_are_given_count_where_they_come_from() {
    let service = Name::from("s");
    let (mut a, mut b) = (RetryShare::new(TERMS), RetryShare::new(TERMS));
    a.set_entries(2);
    b.set_entries(2);
    let alone = (0..100).filter(|_| a.clone().take(&service, 0)).count();
    assert!(alone > 0);
    while a.take(&service, 0) {}
    let given = b.give(&service, 5, 0);
    a.receive(&service, given, 0);
    let used = (0..100).filter(|_| a.take_given(&service, 0)).count();
    assert_eq!(used, 5);
    let left = (0..100).filter(|_| b.take(&service, 0)).count();
    assert_eq!(f64::from(given) + left as f64, (0.93 * TERMS.slack / 2.0).floor());
}

#[test]
fn repeats_that_are_given_lapse() {
    let service = Name::from("s");
    let mut share = RetryShare::new(TERMS);
    share.receive(&service, 3, 0);
    assert!(share.take_given(&service, 100));
    assert!(!share.take_given(&service, 600));
}
