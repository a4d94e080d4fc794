//! Tests of the limits of organisations over all entries.

use kernel::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{Limit, LimitDecision, Limits};

const LIMIT: Limit = Limit { per_s: 50.0, burst: 20.0 };

/// Sends requests at `per_s` for `seconds`, distributed over the entries by `weights`, and returns
/// how many are within the limit.
///
/// Entries exchange their offered load until `cut_at_ms`.
fn count_admitted(weights: &[u32], per_s: f64, seconds: u64, cut_at_ms: u64) -> u64 {
    let mut entries: Vec<Limits> = weights.iter().map(|_| Limits::default()).collect();
    let sum: u32 = weights.iter().sum();
    let organisation = Name::from("hooghly");
    let mut due_requests = vec![0.0; weights.len()];
    let mut admitted = 0;
    for now in 0..seconds * 1000 {
        if now <= cut_at_ms && now % 1000 == 0 {
            exchange(&mut entries, now);
        }
        for (entry, limits) in entries.iter_mut().enumerate() {
            due_requests[entry] += per_s / 1000.0 * f64::from(weights[entry]) / f64::from(sum);
            while due_requests[entry] >= 1.0 {
                due_requests[entry] -= 1.0;
                let decision = limits.try_take(&organisation, LIMIT, weights.len() as u32, now);
                admitted += u64::from(decision == LimitDecision::Within);
            }
        }
    }
    admitted
}

/// Sends the offered load of each entry to all others.
fn exchange(entries: &mut [Limits], now: u64) {
    let reports: Vec<_> = entries.iter_mut().map(|limits| limits.report_offered(now)).collect();
    for (entry, limits) in entries.iter_mut().enumerate() {
        for (other, report) in reports.iter().enumerate().filter(|(other, _)| *other != entry) {
            limits.record_offered(&Name::from(format!("entry-{other}")), report.clone(), now);
        }
    }
}

#[test]
fn an_organisation_that_uses_one_entry_gets_most_of_its_limit() {
    let admitted = count_admitted(&[1, 0, 0, 0, 0, 0, 0, 0], 100.0, 60, u64::MAX);
    assert!(admitted as f64 >= 0.8 * LIMIT.per_s * 60.0, "{admitted}");
}

#[test]
fn an_organisation_below_its_limit_is_not_refused() {
    let admitted = count_admitted(&[3, 1, 2, 1, 1, 1, 1, 2], 25.0, 60, u64::MAX);
    assert!(admitted >= 1_490, "{admitted} of 1500");
}

#[test]
fn an_entry_without_reports_of_others_enforces_the_whole_limit() {
    let mut limits = Limits::default();
    let organisation = Name::from("hooghly");
    let try_take = |_| limits.try_take(&organisation, LIMIT, 8, 0);
    let within =
        (0..100).map(try_take).filter(|decision| *decision == LimitDecision::Within).count();
    assert_eq!(within as f64, LIMIT.burst);
}

#[test]
fn an_organisation_over_its_limit_does_not_affect_another() {
    let mut limits = Limits::default();
    let (large, small) = (Name::from("large"), Name::from("small"));
    for now in 0..10_000 {
        limits.try_take(&large, LIMIT, 1, now);
        if now % 100 == 0 {
            assert_eq!(limits.try_take(&small, LIMIT, 1, now), LimitDecision::Within);
        }
    }
}

#[test]
fn a_refusal_returns_when_the_next_request_is_within_the_limit() {
    let mut limits = Limits::default();
    let organisation = Name::from("nadia");
    let after = loop {
        if let LimitDecision::Exceeded(after) = limits.try_take(&organisation, LIMIT, 1, 0) {
            break after;
        }
    };
    assert_eq!(limits.try_take(&organisation, LIMIT, 1, after), LimitDecision::Within);
}

fn proptest_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..proptest_config() })]

    #[test]
    fn all_entries_together_enforce_the_limit(
        weights in proptest::collection::vec(0_u32..10, 2..9),
        per_s in 10.0_f64..400.0,
        cut_at_ms in 0_u64..60_000,
    ) {
        prop_assume!(weights.iter().sum::<u32>() > 0);
        let seconds = 30;
        let admitted = count_admitted(&weights, per_s, seconds, cut_at_ms);
        // The bucket of each entry holds at least one request, so each may admit one more.
        let max_admitted = LIMIT.per_s * seconds as f64 + LIMIT.burst + weights.len() as f64;
        prop_assert!(
            admitted as f64 <= max_admitted,
            "{admitted} admitted, at most {max_admitted} allowed"
        );
    }
}
