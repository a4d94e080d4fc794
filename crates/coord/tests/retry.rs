//! Retry budget shared by all entries.

use coord::{RetryBudget, RetrySettings};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

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

/// Returns the largest number of retries in any window beyond those allowed. A window allows the
/// slack and a part of the requests that arrived in it, in the window before it, or in the one that
/// begins half a window earlier, whichever has most.
fn excess(requests: &[u64], retries: &[u64]) -> f64 {
    let window = SETTINGS.window_ms;
    let count = |times: &[u64], from: u64| {
        let to = from + window;
        times.partition_point(|at| *at <= to) - times.partition_point(|at| *at < from)
    };
    let excess = |start: &u64| {
        let starts = [*start, start.saturating_sub(window / 2), start.saturating_sub(window)];
        let most = starts.into_iter().map(|from| count(requests, from)).max().unwrap_or(0);
        count(retries, *start) as f64 - (SETTINGS.ratio * most as f64 + SETTINGS.slack)
    };
    retries.iter().map(excess).fold(f64::MIN, f64::max)
}

/// Plays phases of random traffic, failures and restarts at [`MODEL_ENTRIES`] entries, and returns
/// the times of all requests and retries.
fn play(seed: u64, restart: impl Fn(u64) -> RetryBudget) -> (Vec<u64>, Vec<u64>) {
    const STEP_MS: u64 = 20;
    let mut rng = StdRng::seed_from_u64(seed);
    let service = Name::from("s");
    let mut budgets = vec![budget(MODEL_ENTRIES); MODEL_ENTRIES];
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    let mut now = 2 * SETTINGS.window_ms;
    let end = now + 4 * SETTINGS.window_ms;
    while now < end {
        let phase_end = now + rng.random_range(500..6_000);
        let requests_per_step: f64 = [0.0, 0.4, 4.0][rng.random_range(0..3)];
        let fails = rng.random_bool(0.5);
        if rng.random_bool(0.6) {
            for _ in 0..rng.random_range(1..=MODEL_ENTRIES) {
                budgets[rng.random_range(0..MODEL_ENTRIES)] = restart(now);
            }
        }
        while now < phase_end {
            now += STEP_MS;
            for _ in 0..(requests_per_step + rng.random::<f64>()) as u64 {
                let at = rng.random_range(0..MODEL_ENTRIES);
                budgets[at].record_request(&service, now);
                requests.push(now);
                if !fails {
                    continue;
                }
                let other = rng.random_range(0..MODEL_ENTRIES);
                for _ in 0..2 {
                    if budgets[at].take(&service, now) || budgets[at].take_granted(&service, now) {
                        retries.push(now);
                    } else if other != at {
                        let granted = budgets[other].grant(&service, 2, now);
                        budgets[at].receive(&service, granted, now);
                    }
                }
            }
        }
    }
    (requests, retries)
}

/// Number of entries that [`play`] models.
const MODEL_ENTRIES: usize = 5;

#[test]
fn no_window_exceeds_the_budget_when_entries_restart_and_traffic_drops() {
    for seed in 0..200 {
        let (requests, retries) = play(seed, |now| restarted(MODEL_ENTRIES, now));
        assert!(!retries.is_empty(), "seed {seed}: no retry");
        let excess = excess(&requests, &retries);
        assert!(excess <= 0.0, "seed {seed}: {excess} retries too many in a window");
    }
}

/// Guards against a model that cannot fail: entries that start with a full budget exceed it.
#[test]
fn entries_that_restart_with_a_full_budget_exceed_it() {
    let exceeds = |seed| {
        let (requests, retries) = play(seed, |_| budget(MODEL_ENTRIES));
        excess(&requests, &retries) > 0.0
    };
    assert!((0..200).any(exceeds));
}
