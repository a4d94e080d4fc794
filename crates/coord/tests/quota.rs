//! Quota shares: the total spent by all entries never exceeds the quota, even after lost transfers
//! and restarts.

use coord::{Charge, QuotaSettings, QuotaShares};
use kernel::Name;
use proptest::prelude::*;
use rules::{Quota, Unit};

const QUOTA: Quota =
    Quota { unit: Unit::Tokens, per_s: 1_000.0, burst: 1_000.0, default_cost: 200.0 };
const SETTINGS: QuotaSettings = QuotaSettings {
    window_ms: 8_000,
    overshoot: 0.1,
    slack: 2_000.0,
    refill_factor: 1.1,
    capacity_fraction: 0.7,
};

fn org() -> Name {
    Name::from("org")
}

fn shares(entries: usize) -> QuotaShares {
    let mut shares = QuotaShares::new(SETTINGS, 0);
    shares.set_entries(entries);
    shares
}

/// Returns the number of units that all entries together may spend in a window.
fn max_allowed() -> f64 {
    let quota_units = QUOTA.per_s * SETTINGS.window_ms as f64 / 1000.0;
    (quota_units + QUOTA.burst) * (1.0 + SETTINGS.overshoot) + SETTINGS.slack
}

#[test]
fn a_new_entry_has_an_empty_bucket() {
    let mut shares = shares(1);
    assert!(matches!(shares.charge(&org(), &QUOTA, 1.0, 0), Charge::Short(_)));
}

#[test]
fn buckets_do_not_refill_before_the_start_time() {
    let mut shares = QuotaShares::new(SETTINGS, u64::MAX);
    assert_eq!(shares.available(&org(), &QUOTA, 100_000), 0.0);
    shares.start_refill_at(100_000);
    shares.set_entries(2);
    assert_eq!(shares.available(&org(), &QUOTA, 101_000), 500.0 * SETTINGS.refill_factor);
}

#[test]
fn a_transfer_keeps_the_total_of_both_entries() {
    let (mut a, mut b) = (shares(2), shares(2));
    let before = a.available(&org(), &QUOTA, 4_000) + b.available(&org(), &QUOTA, 4_000);
    let granted = a.grant(&org(), &QUOTA, 600.0, 4_000);
    b.receive(&org(), &QUOTA, granted, 4_000);
    assert_eq!(a.available(&org(), &QUOTA, 4_000) + b.available(&org(), &QUOTA, 4_000), before);
}

#[test]
fn a_refund_restores_the_available_units() {
    let mut shares = shares(1);
    let before = shares.available(&org(), &QUOTA, 4_000);
    assert_eq!(shares.charge(&org(), &QUOTA, 500.0, 4_000), Charge::Charged);
    shares.refund(&org(), &QUOTA, 500.0, 4_000);
    assert_eq!(shares.available(&org(), &QUOTA, 4_000), before);
}

#[derive(Clone, Debug)]
enum Step {
    Charge {
        entry: usize,
        cost: f64,
    },
    /// A transfer, whose message may be lost.
    Grant {
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
    let charge = (0..entries, 1.0..900.0).prop_map(|(entry, cost)| Step::Charge { entry, cost });
    let grant = (0..entries, 0..entries, 1.0..2_000.0, any::<bool>())
        .prop_map(|(from, to, units, lost)| Step::Grant { from, to, units, lost });
    let restart = (0..entries).prop_map(|entry| Step::Restart { entry });
    (0_u64..400, prop_oneof![6 => charge, 3 => grant, 1 => restart])
}

/// Runs the steps and returns the maximum spent by all entries in any window. With `duplicates`,
/// each transfer is received three times.
fn max_spent(entries: usize, steps: Vec<(u64, Step)>, duplicates: bool) -> f64 {
    let mut all: Vec<QuotaShares> = (0..entries).map(|_| shares(entries)).collect();
    let mut now = 0;
    let mut spent: Vec<(u64, f64)> = Vec::new();
    for (pause, step) in steps {
        now += pause;
        match step {
            Step::Charge { entry, cost } => {
                if all[entry].charge(&org(), &QUOTA, cost, now) == Charge::Charged {
                    spent.push((now, cost));
                }
            }
            Step::Grant { from, to, units, lost } if from != to => {
                let granted = all[from].grant(&org(), &QUOTA, units, now);
                for _ in 0..if duplicates { 3 } else { 1 } {
                    if !lost {
                        all[to].receive(&org(), &QUOTA, granted, now);
                    }
                }
            }
            Step::Grant { .. } => {}
            Step::Restart { entry } => {
                all[entry] = QuotaShares::new(SETTINGS, now);
                all[entry].set_entries(entries);
            }
        }
    }
    let in_window = |start: u64| -> f64 {
        let end = start + SETTINGS.window_ms;
        spent.iter().filter(|(at, _)| *at >= start && *at <= end).map(|(_, cost)| cost).sum()
    };
    spent.iter().map(|(start, _)| in_window(*start)).fold(0.0, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    #[test]
    fn the_total_spent_in_a_window_stays_within_the_quota(
        steps in prop::collection::vec(step(5), 1..400),
    ) {
        prop_assert!(max_spent(5, steps, false) <= max_allowed());
    }
}

/// Guards against a `max_spent` that cannot fail: transfers received more than once create units,
/// so the quota must be exceeded.
#[test]
fn duplicated_transfers_are_detected_as_an_excess() {
    let steps = (0..400).map(|i| {
        let step = if i % 2 == 0 {
            Step::Grant { from: i % 5, to: (i + 1) % 5, units: 2_000.0, lost: false }
        } else {
            Step::Charge { entry: i % 5, cost: 400.0 }
        };
        (50, step)
    });
    assert!(max_spent(5, steps.collect(), true) > max_allowed());
}
