//! Requests for which too few units of their quota are left for a moment.

use coord::{Charge, PoolRole, QuotaSettings, QuotaShares};
use kernel::Name;
use rules::{Quota, Unit};

const QUOTA: Quota =
    Quota { unit: Unit::Tokens, per_s: 100_000.0, burst: 100_000.0, default_cost: 200.0 };

fn org() -> Name {
    Name::from("org")
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
