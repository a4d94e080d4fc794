//! Requests for which too few units of their quota are left for a moment.

use coord::{Charge, PoolRole, QuotaSettings, QuotaShares, QuotaStep, Shortage};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rules::{Quota, Unit};

const QUOTA: Quota =
    Quota { unit: Unit::Tokens, per_s: 100_000.0, burst: 100_000.0, default_cost: 200.0 };
const TARGET_LATENCY_MS: u64 = 1_200;

fn org() -> Name {
    Name::from("org")
}

fn step(units: f64, scarce_ms: u64, waited_ms: u64) -> QuotaStep {
    let shortage = Shortage { units, scarce_ms, waited_ms, target_latency_ms: TARGET_LATENCY_MS };
    shortage.next_step(&QUOTA)
}

#[test]
fn a_request_waits_for_units_that_come_back_within_a_quarter_of_its_target_latency() {
    assert_eq!(step(25_000.0, 0, 0), QuotaStep::Wait(250));
    assert_eq!(step(10.0, 0, 0), QuotaStep::Wait(100));
    assert_eq!(step(10.0, 500, 100), QuotaStep::Wait(100));
}

#[test]
fn a_request_is_rejected_at_once_if_its_units_come_back_too_late() {
    assert_eq!(step(31_000.0, 0, 0), QuotaStep::Reject);
    assert_eq!(step(10_000.0, 0, 250), QuotaStep::Reject);
    let none = Quota { per_s: 0.0, ..QUOTA };
    let shortage = Shortage {
        units: 1_000.0,
        scarce_ms: 0,
        waited_ms: 0,
        target_latency_ms: TARGET_LATENCY_MS,
    };
    assert_eq!(shortage.next_step(&none), QuotaStep::Reject, "nothing is refilled");
}

#[test]
fn no_request_waits_while_its_organisation_asks_for_more_than_its_quota() {
    assert_eq!(step(10.0, 1_600, 0), QuotaStep::Reject);
}

#[test]
fn units_are_scarce_from_the_time_on_at_which_a_pool_has_few() {
    let mut shares = QuotaShares::new(QuotaSettings::default(), 0);
    assert_eq!(shares.scarce_ms(&org(), &QUOTA, 10), 10, "buckets are empty at first");
    assert_eq!(shares.scarce_ms(&org(), &QUOTA, 900), 0);
    let all = shares.available(&org(), &QUOTA, 900);
    assert_eq!(shares.charge(&org(), &QUOTA, all, 900), Charge::Charged);
    assert_eq!(shares.scarce_ms(&org(), &QUOTA, 905), 5);
}

#[test]
fn units_that_a_request_waits_for_are_not_deposited() {
    let settings = QuotaSettings { slack: 140_000.0, ..QuotaSettings::default() };
    let mut shares = QuotaShares::new(settings, 0);
    shares.set_entries(195);
    shares.set_role(PoolRole::Depositor);
    let Charge::Short(missing) = shares.charge(&org(), &QUOTA, 12_000.0, 450) else {
        panic!("an entry's share holds a large request");
    };
    shares.begin_wait(&org(), 12_000.0);
    shares.receive(&org(), &QUOTA, coord::Transfer { units: missing }, 452);
    // The deposit is due before the task of the request runs again.
    let deposit = shares.take_deposit(&org(), &QUOTA, 453);
    assert!(deposit.units < 10.0, "{} units are deposited", deposit.units);
    assert_eq!(shares.charge(&org(), &QUOTA, 12_000.0, 454), Charge::Charged);
    shares.end_wait(&org(), 12_000.0);
    let unneeded = coord::Transfer { units: 5_000.0 };
    shares.receive(&org(), &QUOTA, unneeded, 455);
    assert!(shares.take_deposit(&org(), &QUOTA, 456).units > 4_000.0, "nobody waits any more");
}

/// A request in the replay: when it is tried next, what it costs, and how long it has waited.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    at: u64,
    cost: f64,
    waited_ms: u64,
}

/// Replays requests after a restart of all entries, from when on the empty buckets refill. The organisation
/// asks for `demand` of its quota. Returns the fraction of the requests that are rejected.
fn rejected_after_a_restart(demand: f64, may_wait: bool) -> f64 {
    let mut shares = QuotaShares::new(QuotaSettings::default(), 0);
    let mut random = StdRng::seed_from_u64(3);
    let mut queue: Vec<Waiting> = Vec::new();
    let (mut owed, mut asked, mut rejected) = (0.0, 0.0, 0.0);
    for now in 0..3_000 {
        owed += demand * QUOTA.per_s / 1_000.0;
        while owed > 0.0 {
            let cost = random.random_range(800.0..24_000.0);
            owed -= cost;
            asked += 1.0;
            queue.push(Waiting { at: now, cost, waited_ms: 0 });
        }
        let (due, later): (Vec<Waiting>, Vec<Waiting>) =
            queue.into_iter().partition(|waiting| waiting.at <= now);
        queue = later;
        for waiting in due {
            let Waiting { cost, waited_ms, .. } = waiting;
            let Charge::Short(units) = shares.charge(&org(), &QUOTA, cost, now) else { continue };
            let scarce_ms = shares.scarce_ms(&org(), &QUOTA, now);
            let step = if may_wait { step(units, scarce_ms, waited_ms) } else { QuotaStep::Reject };
            match step {
                QuotaStep::Wait(ms) => {
                    queue.push(Waiting { at: now + ms, cost, waited_ms: waited_ms + ms });
                }
                QuotaStep::Reject => rejected += 1.0,
            }
        }
    }
    rejected / asked
}

#[test]
fn after_a_restart_of_all_entries_requests_within_the_quota_wait_instead_of_being_rejected() {
    let (without, with) =
        (rejected_after_a_restart(0.6, false), rejected_after_a_restart(0.6, true));
    assert!(without > 0.1, "the load is not what is to be replayed: {without}");
    assert!(
        with < without / 4.0,
        "{with} are rejected although they may wait, {without} otherwise"
    );
}

#[test]
fn an_organisation_far_beyond_its_quota_gets_no_less_because_requests_wait() {
    let (without, with) =
        (rejected_after_a_restart(2.5, false), rejected_after_a_restart(2.5, true));
    assert!(
        with < without + 0.05,
        "{with} are rejected although they may wait, {without} otherwise"
    );
}
