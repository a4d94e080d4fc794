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
