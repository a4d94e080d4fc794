//! Replays a load of large requests over many entries: pools let them find their units, and all
//! entries together still spend no more than the quota allows.

use coord::{Charge, PoolRole, QuotaSettings, QuotaShares, Transfer, quota_pools};
use kernel::Name;
use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rules::{Quota, Unit};
use std::collections::VecDeque;

/// The organisation asks for a little more than half of this.
const QUOTA: Quota =
    Quota { unit: Unit::Tokens, per_s: 60_000.0, burst: 60_000.0, default_cost: 200.0 };
const SLACK: f64 = 140_000.0;
/// Tokens of the smallest and the largest request.
const COSTS: (f64, f64) = (800.0, 30_000.0);
/// Length of a step and of the day, in milliseconds.
const STEP_MS: u64 = 50;
const DAY_MS: u64 = 30_000;
const DEPOSIT_MS: u64 = 450;
/// Time after which all buckets have refilled, as they start empty.
const WARM_UP_MS: u64 = 3_000;
/// Numbers of other entries that a request asks in its rounds after the pools.
const ROUNDS: [usize; 2] = [20, 40];

struct Fleet {
    names: Vec<Name>,
    shares: Vec<QuotaShares>,
    pools: Vec<usize>,
    random: StdRng,
    /// Fraction of the messages that are lost.
    loss: f64,
}

impl Fleet {
    fn new(entries: usize, has_pools: bool, loss: f64) -> Self {
        let settings = QuotaSettings { slack: SLACK, ..QuotaSettings::default() };
        let names: Vec<Name> =
            (0..entries).map(|number| Name::from(format!("e{number}"))).collect();
        let mut shares = QuotaShares::new(settings, 0);
        shares.set_entries(entries);
        let shares = vec![shares; entries];
        let random = StdRng::seed_from_u64(7);
        let mut fleet = Self { names, shares, pools: Vec::new(), random, loss };
        if has_pools {
            let named = quota_pools(&fleet.names).expect("no pools");
            fleet.set_pools(&named);
        }
        fleet
    }

    fn set_pools(&mut self, pools: &[Name]) {
        self.pools.clear();
        for (number, name) in self.names.iter().enumerate() {
            let is_pool = pools.contains(name);
            let role = if is_pool { PoolRole::Pool } else { PoolRole::Depositor };
            self.shares[number].set_role(role);
            self.pools.extend(is_pool.then_some(number));
        }
    }

    fn arrives(&mut self) -> bool {
        !self.random.random_bool(self.loss)
    }

    fn deposit(&mut self, now: u64) {
        for from in 0..self.shares.len() {
            let Some(to) = self.pools.iter().copied().choose(&mut self.random) else { return };
            let deposit = self.shares[from].take_deposit(&org(), &QUOTA, now);
            if self.arrives() {
                self.shares[to].receive_deposit(&org(), &QUOTA, deposit, now);
            }
        }
    }

    /// Asks these entries for units; returns how many they granted.
    fn ask(&mut self, at: usize, others: &[usize], wanted: f64, now: u64) -> f64 {
        let share = (2.0 * wanted / others.len().max(1) as f64).clamp(1.0, wanted.max(1.0));
        let mut received = 0.0;
        for other in others.iter().copied().filter(|other| *other != at) {
            let Transfer { units } = self.shares[other].grant(&org(), &QUOTA, share, now);
            if self.arrives() {
                self.shares[at].receive(&org(), &QUOTA, Transfer { units }, now);
                received += units;
            }
        }
        received
    }

    /// Charges a request at an entry, with the units of others if it lacks some.
    fn charge(&mut self, at: usize, cost: f64, now: u64) -> bool {
        let Charge::Short(mut lacking) = self.shares[at].charge(&org(), &QUOTA, cost, now) else {
            return true;
        };
        let pools = self.pools.clone();
        lacking -= self.ask(at, &pools, lacking, now);
        for count in ROUNDS {
            if lacking > 0.0 {
                let others = (0..self.shares.len()).sample(&mut self.random, count);
                lacking -= self.ask(at, &others, lacking, now);
            }
        }
        self.shares[at].charge(&org(), &QUOTA, cost, now) == Charge::Charged
    }
}

fn org() -> Name {
    Name::from("org")
}

/// Result of a day.
struct Day {
    rejected: f64,
    /// Largest number of units spent in a window.
    most_spent: f64,
}

/// Plays requests at random entries that ask for `demand` of the quota's rate. Every
/// `change_every_ms` milliseconds, an entry leaves and another comes.
fn play(mut fleet: Fleet, demand: f64, change_every_ms: Option<u64>) -> Day {
    let (mut asked, mut rejected) = (0.0, 0.0);
    let mut spent: VecDeque<(u64, f64)> = VecDeque::new();
    let mut most_spent: f64 = 0.0;
    let mut owed = 0.0;
    for now in (0..DAY_MS).step_by(STEP_MS as usize) {
        if now % DEPOSIT_MS == 0 {
            fleet.deposit(now);
        }
        if change_every_ms.is_some_and(|every| now % every == every - STEP_MS) {
            let left = fleet.random.random_range(0..fleet.names.len());
            fleet.names[left] = Name::from(format!("e{left}-{now}"));
            let pools = quota_pools(&fleet.names).expect("no pools");
            fleet.set_pools(&pools);
        }
        owed += demand * QUOTA.per_s * STEP_MS as f64 / 1_000.0;
        while owed > 0.0 {
            // Many small requests and a few large ones.
            let size: f64 = fleet.random.random::<f64>().powi(3);
            let cost = COSTS.0 + size * (COSTS.1 - COSTS.0);
            owed -= cost;
            let at = fleet.random.random_range(0..fleet.shares.len());
            let is_charged = fleet.charge(at, cost, now);
            if is_charged {
                spent.push_back((now, cost));
            }
            if now >= WARM_UP_MS {
                asked += cost;
                rejected += if is_charged { 0.0 } else { cost };
            }
        }
        while spent.front().is_some_and(|(at, _)| now - at >= 8_000) {
            spent.pop_front();
        }
        most_spent = most_spent.max(spent.iter().map(|(_, cost)| cost).sum());
    }
    Day { rejected: rejected / asked, most_spent }
}

/// Returns the number of units that all entries together may spend in a window.
fn max_allowed() -> f64 {
    let settings = QuotaSettings::default();
    let window_s = settings.window_ms as f64 / 1_000.0;
    (QUOTA.per_s * window_s + QUOTA.burst) * (1.0 + settings.overshoot) + SLACK
}

#[test]
fn large_requests_find_their_units_at_any_number_of_entries() {
    for entries in [60, 195, 400] {
        let day = play(Fleet::new(entries, true, 0.01), 0.6, None);
        assert!(day.rejected < 0.01, "{entries} entries rejected {:.3}", day.rejected);
    }
}

#[test]
fn without_pools_many_entries_reject_what_the_quota_allows() {
    let few = play(Fleet::new(13, false, 0.01), 0.6, None);
    let many = play(Fleet::new(400, false, 0.01), 0.6, None);
    assert!(few.rejected < 0.02, "13 entries rejected {:.3}", few.rejected);
    assert!(many.rejected > 0.1, "400 entries rejected {:.3}", many.rejected);
}

#[test]
fn all_entries_together_keep_to_the_quota_under_many_times_its_load() {
    for entries in [13, 195, 400] {
        for change_every_ms in [None, Some(1_000)] {
            let day = play(Fleet::new(entries, true, 0.05), 5.0, change_every_ms);
            let allowed = max_allowed();
            assert!(day.most_spent <= allowed, "{entries}: {} of {allowed}", day.most_spent);
        }
    }
}

#[test]
fn a_pool_that_becomes_none_holds_no_more_than_its_share() {
    let mut fleet = Fleet::new(195, true, 0.0);
    for now in (0..20_000).step_by(450) {
        fleet.deposit(now);
    }
    let pool = fleet.pools[0];
    let before = fleet.shares[pool].available(&org(), &QUOTA, 20_000);
    fleet.shares[pool].set_role(PoolRole::Depositor);
    let after = fleet.shares[pool].available(&org(), &QUOTA, 20_000);
    assert!(before > 10_000.0 && after == 0.0, "{before} before, {after} after");
}
