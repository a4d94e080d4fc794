//! Retry budget shared by all entries.

use coord::{RetryBudget, RetrySettings};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SETTINGS: RetrySettings = RetrySettings { window_ms: 10_000, ratio: 0.2, slack: 50.0 };

/// Returns the budget of an entry that starts at `now` and shares the slack with `entries - 1` others.
fn restarted(entries: usize, now: u64) -> RetryBudget {
    let mut budget = RetryBudget::new(SETTINGS);
    budget.set_entries(Some(entries), now);
    budget
}

/// Returns the budget of an entry that has sent nothing for a long time before [`START`].
fn budget(entries: usize) -> RetryBudget {
    restarted(entries, 0)
}

/// Start of the tests, in milliseconds.
const START: u64 = 2 * SETTINGS.window_ms;

#[test]
fn all_entries_together_stay_within_the_budget() {
    let service = Name::from("s");
    let entries = 7;
    let mut retries = 0;
    let mut requests = 0;
    for _ in 0..entries {
        let mut budget = budget(entries);
        for i in 0..300 {
            let now = START + i * 10;
            budget.record_request(&service, now);
            requests += 1;
            retries += u32::from(budget.take(&service, now));
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
fn without_requests_a_window_allows_the_slack_and_the_next_one_allows_it_again() {
    let service = Name::from("s");
    let mut budget = budget(1);
    let mut retries = Vec::new();
    for now in START..=START + 3 * SETTINGS.window_ms {
        if budget.take(&service, now) {
            retries.push(now);
        }
    }
    for window in 0..3 {
        let start = START + window * SETTINGS.window_ms;
        let in_window = |at: &&u64| (start..=start + SETTINGS.window_ms).contains(*at);
        let count = retries.iter().filter(in_window).count() as f64;
        assert!(count <= SETTINGS.slack, "window {window}: {count} retries");
        assert!(count > SETTINGS.slack / 2.0, "window {window}: only {count} retries");
    }
}

#[test]
fn each_service_has_its_own_budget() {
    let mut budget = budget(1);
    while budget.take(&Name::from("a"), START) {}
    assert!(budget.take(&Name::from("b"), START));
}

#[test]
fn granted_retries_count_against_the_granting_entry() {
    let service = Name::from("s");
    let (mut a, mut b) = (budget(2), budget(2));
    let take_all = |budget: &mut RetryBudget| {
        (0..100).take_while(|_| budget.take(&service, START)).count() as u32
    };
    let available = take_all(&mut b.clone());
    assert!(available > 5, "{available}");
    take_all(&mut a);
    let granted = b.grant(&service, 5, START);
    a.receive(&service, granted, START);
    let used = (0..100).filter(|_| a.take_granted(&service, START)).count();
    assert_eq!(used, 5);
    assert_eq!(granted + take_all(&mut b), available);
}

#[test]
fn granted_retries_expire() {
    let service = Name::from("s");
    let mut budget = budget(1);
    budget.receive(&service, 3, START);
    assert!(budget.take_granted(&service, START + 100));
    assert!(!budget.take_granted(&service, START + 600));
}

#[test]
fn entries_that_restart_within_a_window_stay_within_the_budget() {
    const ENTRIES: usize = 9;
    const REQUEST_INTERVAL_MS: u64 = 100;
    const RESTART_INTERVAL_MS: u64 = 2_000;
    let service = Name::from("s");
    let mut budgets: Vec<RetryBudget> = vec![budget(ENTRIES); ENTRIES];
    let (mut requests, mut retries) = (0_u32, 0_u32);
    for elapsed in (0..SETTINGS.window_ms).step_by(REQUEST_INTERVAL_MS as usize) {
        let now = START + elapsed;
        for budget in &mut budgets {
            if elapsed > 0 && elapsed % RESTART_INTERVAL_MS == 0 {
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
fn the_retries_of_a_restarted_entry_accrue_from_its_start() {
    let service = Name::from("s");
    let mut budget = restarted(9, START);
    assert!(!budget.take(&service, START));
    assert!(budget.take(&service, START + SETTINGS.window_ms));
}

// Guards against BUDGET broken by an entry that the others count no longer: its share is theirs then.
#[test]
fn an_entry_without_a_share_accrues_retries_with_its_requests_only() {
    let service = Name::from("s");
    let mut budget = restarted(1, START);
    while budget.take(&service, START) {}
    budget.set_entries(None, START);
    let later = START + SETTINGS.window_ms;
    assert!(!budget.take(&service, later));
    (0..100).for_each(|_| budget.record_request(&service, later));
    assert!(budget.take(&service, later));
    // The time without a share does not count afterwards either.
    while budget.take(&service, later) {}
    budget.set_entries(Some(1), later);
    assert!(!budget.take(&service, later));
    assert!(budget.take(&service, later + SETTINGS.window_ms / 10));
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
    let mut now = START;
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
    let mut sent = 0;
    for seed in 0..200 {
        let (requests, retries) = play(seed, |now| restarted(MODEL_ENTRIES, now));
        sent += retries.len();
        let excess = excess(&requests, &retries);
        assert!(excess <= 0.0, "seed {seed}: {excess} retries too many in a window");
    }
    assert!(sent > 200 * SETTINGS.slack as usize, "{sent} retries in all");
}

/// Guards against a model that cannot fail: entries that each take the whole slack exceed the budget.
#[test]
fn entries_that_each_take_the_whole_slack_exceed_the_budget() {
    let exceeds = |seed| {
        let (requests, retries) = play(seed, |_| budget(1));
        excess(&requests, &retries) > 0.0
    };
    assert!((0..200).any(exceeds));
}
