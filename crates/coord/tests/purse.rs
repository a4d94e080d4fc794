//! Shares of quotas: what all entries spend never exceeds the quota, whatever happens to them.

use coord::{Ask, Purses, Terms};
use kernel::Name;
use proptest::prelude::*;
use rules::{Quota, Unit};

const QUOTA: Quota =
    Quota { unit: Unit::Tokens, per_s: 1_000.0, burst: 1_000.0, default_cost: 200.0 };
const TERMS: Terms =
    Terms { window_ms: 8_000, overshoot: 0.1, slack: 2_000.0, earned: 1.1, saved: 0.7 };

fn org() -> Name {
    Name::from("org")
}

fn purses(entries: usize) -> Purses {
    let mut purses = Purses::new(TERMS, 0);
    purses.set_entries(entries);
    purses
}

/// What a window may spend in all.
fn allowed() -> f64 {
    let earned = QUOTA.per_s * TERMS.window_ms as f64 / 1000.0;
    (earned + QUOTA.burst) * (1.0 + TERMS.overshoot) + TERMS.slack
}

#[test]
fn an_entry_that_has_just_started_has_nothing() {
    let mut purses = purses(1);
    assert!(matches!(purses.pay(&org(), &QUOTA, 1.0, 0), Ask::Short(_)));
}

#[test]
fn an_entry_that_is_not_counted_yet_earns_nothing() {
    let mut purses = Purses::new(TERMS, u64::MAX);
    assert_eq!(purses.available(&org(), &QUOTA, 100_000), 0.0);
    purses.start_at(100_000);
    purses.set_entries(2);
    assert_eq!(purses.available(&org(), &QUOTA, 101_000), 500.0 * TERMS.earned);
}

#[test]
fn units_given_are_gone_and_units_received_are_there() {
    let (mut a, mut b) = (purses(2), purses(2));
    let before = a.available(&org(), &QUOTA, 4_000) + b.available(&org(), &QUOTA, 4_000);
    let given = a.give(&org(), &QUOTA, 600.0, 4_000);
    b.receive(&org(), &QUOTA, given, 4_000);
    assert_eq!(a.available(&org(), &QUOTA, 4_000) + b.available(&org(), &QUOTA, 4_000), before);
}

#[test]
fn a_request_that_did_not_run_is_paid_back() {
    let mut purses = purses(1);
    let before = purses.available(&org(), &QUOTA, 4_000);
    assert_eq!(purses.pay(&org(), &QUOTA, 500.0, 4_000), Ask::Paid);
    purses.refund(&org(), &QUOTA, 500.0, 4_000);
    assert_eq!(purses.available(&org(), &QUOTA, 4_000), before);
}

#[derive(Clone, Debug)]
enum Step {
    Pay {
        entry: usize,
        cost: f64,
    },
    /// A transfer that may be lost on the way.
    Give {
        from: usize,
        to: usize,
        units: f64,
        lost: bool,
    },
    Restart {
        entry: usize,
    },
}

fn step(entries: usize) -> impl Strategy<Value = (u64, Step)> {
    let pay = (0..entries, 1.0..900.0).prop_map(|(entry, cost)| Step::Pay { entry, cost });
    let give = (0..entries, 0..entries, 1.0..2_000.0, any::<bool>())
        .prop_map(|(from, to, units, lost)| Step::Give { from, to, units, lost });
    let restart = (0..entries).prop_map(|entry| Step::Restart { entry });
    (0_u64..400, prop_oneof![6 => pay, 3 => give, 1 => restart])
}

/// Plays steps and returns the most that was spent in a window.
fn most_spent(entries: usize, steps: Vec<(u64, Step)>, duplicates: bool) -> f64 {
    let mut all: Vec<Purses> = (0..entries).map(|_| purses(entries)).collect();
    let mut now = 0;
    let mut spent: Vec<(u64, f64)> = Vec::new();
    for (pause, step) in steps {
        now += pause;
        match step {
            Step::Pay { entry, cost } => {
                if all[entry].pay(&org(), &QUOTA, cost, now) == Ask::Paid {
                    spent.push((now, cost));
                }
            }
            Step::Give { from, to, units, lost } if from != to => {
                let given = all[from].give(&org(), &QUOTA, units, now);
                for _ in 0..if duplicates { 3 } else { 1 } {
                    if !lost {
                        all[to].receive(&org(), &QUOTA, given, now);
                    }
                }
            }
            Step::Give { .. } => {}
            Step::Restart { entry } => {
                all[entry] = Purses::new(TERMS, now);
                all[entry].set_entries(entries);
            }
        }
    }
    let in_window = |start: u64| -> f64 {
        let end = start + TERMS.window_ms;
        spent.iter().filter(|(at, _)| *at >= start && *at <= end).map(|(_, cost)| cost).sum()
    };
    spent.iter().map(|(start, _)| in_window(*start)).fold(0.0, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn what_all_spend_in_a_window_is_within_the_quota(
        steps in prop::collection::vec(step(5), 1..400),
    ) {
        prop_assert!(most_spent(5, steps, false) <= allowed());
    }
}

#[test]
fn the_checker_sees_units_that_are_made_twice() {
    let steps = (0..400).map(|i| {
        let step = if i % 2 == 0 {
            Step::Give { from: i % 5, to: (i + 1) % 5, units: 2_000.0, lost: false }
        } else {
            Step::Pay { entry: i % 5, cost: 400.0 }
        };
        (50, step)
    });
    assert!(most_spent(5, steps.collect(), true) > allowed());
}
