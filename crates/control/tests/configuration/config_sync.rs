//! Calls to the platform as upkeep decides them; 400 state machines in one process, no network.

use control::{
    Availability, ConfigSync, Role, SyncEvent as Event, SyncSettings, SyncStep as Step, role,
};
use kernel::{Millis, Name};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::Range;

const ENTRIES: usize = 400;
const DATA_CENTRES: usize = 7;
/// Time after which a call to the platform fails, in milliseconds.
const TIMEOUT: Millis = 2_000;
/// Calls in a tenth of a second that the platform handles, at 2,000 a second.
const CALLS_PER_TENTH: usize = 200;

fn name(entry: usize) -> Name {
    Name::from(format!("entry-{entry}"))
}

/// The names in the data centre of an entry, without its own.
fn neighbours(entry: usize) -> Vec<Name> {
    let near = |other: &usize| other % DATA_CENTRES == entry % DATA_CENTRES && *other != entry;
    (0..ENTRIES).filter(near).map(name).collect()
}

fn roles() -> Vec<Role> {
    (0..ENTRIES).map(|entry| role(&name(entry), neighbours(entry).iter())).collect()
}

/// Calls to the platform, by time.
#[derive(Default)]
struct Calls {
    reads: Vec<Millis>,
    watches: Vec<Millis>,
}

impl Calls {
    fn within(&self, times: &Range<Millis>) -> usize {
        let both = self.reads.iter().chain(&self.watches);
        both.filter(|at| times.contains(at)).count()
    }

    /// The most calls in any tenth of a second.
    fn worst_tenth(&self) -> usize {
        let mut by_tenth: BTreeMap<Millis, usize> = BTreeMap::new();
        for at in self.reads.iter().chain(&self.watches) {
            *by_tenth.entry(at / 100).or_default() += 1;
        }
        by_tenth.into_values().max().unwrap_or(0)
    }
}

/// Runs all entries from a common start, with the platform down during `outage`.
fn simulate(
    times: SyncSettings,
    until: Millis,
    outage: &Range<Millis>,
    role_of: impl Fn(usize) -> Role,
) -> Calls {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut calls = Calls::default();
    let mut entries = vec![ConfigSync::new(times); ENTRIES];
    let started = |entry| Reverse((0, entry, 0));
    let mut queue: BinaryHeap<_> = (0..ENTRIES).map(started).collect();
    let mut events = vec![Event::Started];
    let mut bodies = vec![false; ENTRIES];
    while let Some(Reverse((now, entry, number))) = queue.pop() {
        if now >= until {
            break;
        }
        let event = events[number];
        let down = outage.contains(&now);
        let (at, event) = match entries[entry].next(event, role_of(entry), now, rng.random::<f64>())
        {
            Step::Read if down => {
                calls.reads.push(now);
                (now + TIMEOUT, Event::ReadFailed)
            }
            Step::Read => {
                calls.reads.push(now);
                // The first head that an entry reads is followed by its body.
                let body = !std::mem::replace(&mut bodies[entry], true);
                calls.reads.extend(body.then_some(now + 1));
                (now + 2, Event::Read(now))
            }
            Step::Watch(at) => {
                calls.watches.push(now);
                (at, Event::Waited)
            }
            Step::AskPeers(_) => (now + 1, Event::PeerAnswered(now)),
            Step::Wait(at) => (at, Event::Waited),
        };
        events.push(event);
        queue.push(Reverse((at, entry, events.len() - 1)));
    }
    calls
}

#[test]
fn each_data_centre_has_one_relay_and_its_loss_moves_only_its_role() {
    let relays: Vec<usize> =
        roles().iter().enumerate().filter(|(_, role)| **role == Role::Relay).map(|r| r.0).collect();
    assert_eq!(relays.len(), DATA_CENTRES);
    for lost in relays {
        let gone = name(lost);
        let near = (0..ENTRIES).filter(|e| e % DATA_CENTRES == lost % DATA_CENTRES && *e != lost);
        let next = near.filter(|entry| {
            let others = neighbours(*entry);
            role(&name(*entry), others.iter().filter(|other| **other != gone)) == Role::Relay
        });
        assert_eq!(next.count(), 1);
    }
}

#[test]
fn four_hundred_entries_call_the_platform_less_than_eight_times_a_minute_each() {
    let roles = roles();
    let calls = simulate(SyncSettings::default(), 360_000, &(0..0), |entry| roles[entry]);
    let per_minute = calls.within(&(60_000..360_000)) as f64 / 5.0 / ENTRIES as f64;
    println!("calls: {per_minute:.2} a minute for each entry, worst tenth {}", calls.worst_tenth());
    assert!(per_minute < 8.0, "{per_minute}");
    assert!(calls.worst_tenth() <= CALLS_PER_TENTH, "{}", calls.worst_tenth());
}

#[test]
fn neither_a_common_start_nor_the_end_of_an_outage_stampedes() {
    // Entries that start together see only themselves at first: each takes itself for the relay.
    for outage in [0..0, 0..60_000, 30_000..3_630_000] {
        let until = outage.end + 60_000;
        let calls = simulate(SyncSettings::default(), until, &outage, |_| Role::Relay);
        let worst = calls.worst_tenth();
        println!("calls: outage {outage:?}, worst tenth {worst}");
        assert!(worst <= CALLS_PER_TENTH, "{worst} calls in a tenth, outage {outage:?}");
    }
}

#[test]
fn the_checker_reports_a_start_without_jitter() {
    let times = SyncSettings { max_start_delay: 0, ..SyncSettings::default() };
    let calls = simulate(times, 60_000, &(0..0), |_| Role::Relay);
    assert!(calls.worst_tenth() > CALLS_PER_TENTH, "{}", calls.worst_tenth());
}

#[test]
fn the_configuration_counts_as_in_force_until_the_bound_and_from_before_the_call_was_sent() {
    let mut sync = ConfigSync::new(SyncSettings::default());
    assert_eq!(sync.availability(0), Availability::Unconfirmed);
    sync.next(Event::Read(1_000), Role::Follower, 2_500, 0.5);
    assert_eq!(sync.availability(17_000), Availability::Current);
    assert_eq!(sync.availability(17_001), Availability::Isolated(16_001));
    sync.next(Event::PeerAnswered(18_000), Role::Follower, 18_200, 0.5);
    assert_eq!(sync.availability(34_000), Availability::Current);
}

#[test]
fn without_the_platform_a_started_entry_trusts_its_peers_after_hearing_of_all_of_them() {
    let mut sync = ConfigSync::new(SyncSettings::default());
    sync.next(Event::ReadFailed, Role::Follower, 500, 0.5);
    sync.next(Event::PeerAnswered(500), Role::Follower, 510, 0.5);
    assert_eq!(sync.availability(510), Availability::Unconfirmed);
    sync.next(Event::PeerAnswered(1_400), Role::Follower, 1_410, 0.5);
    assert_eq!(sync.availability(1_410), Availability::Unconfirmed);
    sync.next(Event::PeerAnswered(1_500), Role::Follower, 1_510, 0.5);
    assert_eq!(sync.availability(1_510), Availability::Current);
}

#[test]
fn a_failed_relay_asks_its_peers_and_backs_off() {
    let mut sync = ConfigSync::new(SyncSettings::default());
    let mut pauses = Vec::new();
    let mut now = 0;
    sync.next(Event::Read(now), Role::Relay, now, 1.0);
    for _ in 0..6 {
        assert_eq!(sync.next(Event::ReadFailed, Role::Relay, now, 1.0), Step::AskPeers(2));
        let Step::Wait(at) = sync.next(Event::NoPeerAnswered, Role::Relay, now, 1.0) else {
            panic!("no pause after a failure");
        };
        pauses.push(at - now);
        now = at;
        assert_eq!(sync.next(Event::Waited, Role::Relay, now, 1.0), Step::Read);
    }
    assert_eq!(pauses, [250, 500, 1_000, 2_000, 4_000, 4_000]);
}
