//! Platform calls chosen by [`ConfigSync`], simulated with 400 state machines in one process and no
//! network.

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
/// Timeout of a call to the platform, in milliseconds.
const CALL_TIMEOUT: Millis = 2_000;
/// Maximum number of calls that the platform handles in 100 ms, at 2,000 calls/s.
const MAX_CALLS_PER_100_MS: usize = 200;

fn name(entry: usize) -> Name {
    Name::from(format!("entry-{entry}"))
}

/// Returns the names of the other entries in the data centre of an entry.
fn neighbours(entry: usize) -> Vec<Name> {
    let is_neighbour =
        |other: &usize| other % DATA_CENTRES == entry % DATA_CENTRES && *other != entry;
    (0..ENTRIES).filter(is_neighbour).map(name).collect()
}

fn roles() -> Vec<Role> {
    (0..ENTRIES).map(|entry| role(&name(entry), neighbours(entry).iter())).collect()
}

/// Times of the calls to the platform.
#[derive(Default)]
struct Calls {
    reads: Vec<Millis>,
    watches: Vec<Millis>,
}

impl Calls {
    fn count_within(&self, times: &Range<Millis>) -> usize {
        let all = self.reads.iter().chain(&self.watches);
        all.filter(|at| times.contains(at)).count()
    }

    /// Returns the maximum number of calls in any of the consecutive intervals of 100 ms.
    fn max_per_100_ms(&self) -> usize {
        let mut by_interval: BTreeMap<Millis, usize> = BTreeMap::new();
        for at in self.reads.iter().chain(&self.watches) {
            *by_interval.entry(at / 100).or_default() += 1;
        }
        by_interval.into_values().max().unwrap_or(0)
    }
}

/// Simulates all entries, started at the same time, with the platform down during `outage`.
fn simulate(
    settings: SyncSettings,
    until: Millis,
    outage: &Range<Millis>,
    role_of: impl Fn(usize) -> Role,
) -> Calls {
    let mut rng = SmallRng::seed_from_u64(5);
    let mut calls = Calls::default();
    let mut entries = vec![ConfigSync::new(settings); ENTRIES];
    let start_event = |entry| Reverse((0, entry, 0));
    let mut queue: BinaryHeap<_> = (0..ENTRIES).map(start_event).collect();
    let mut events = vec![Event::Started];
    let mut has_body = vec![false; ENTRIES];
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
                (now + CALL_TIMEOUT, Event::ReadFailed)
            }
            Step::Read => {
                calls.reads.push(now);
                // An entry also reads the body after it has read the first head.
                let reads_body = !std::mem::replace(&mut has_body[entry], true);
                calls.reads.extend(reads_body.then_some(now + 1));
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
fn each_data_centre_has_one_relay_and_losing_it_elects_exactly_one_other() {
    let relays: Vec<usize> =
        roles().iter().enumerate().filter(|(_, role)| **role == Role::Relay).map(|r| r.0).collect();
    assert_eq!(relays.len(), DATA_CENTRES);
    for lost in relays {
        let lost_name = name(lost);
        let remaining =
            (0..ENTRIES).filter(|e| e % DATA_CENTRES == lost % DATA_CENTRES && *e != lost);
        let new_relays = remaining.filter(|entry| {
            let others = neighbours(*entry);
            role(&name(*entry), others.iter().filter(|other| **other != lost_name)) == Role::Relay
        });
        assert_eq!(new_relays.count(), 1);
    }
}

#[test]
fn each_of_400_entries_calls_the_platform_less_than_eight_times_a_minute() {
    let roles = roles();
    let calls = simulate(SyncSettings::default(), 360_000, &(0..0), |entry| roles[entry]);
    let per_minute = calls.count_within(&(60_000..360_000)) as f64 / 5.0 / ENTRIES as f64;
    println!(
        "calls: {per_minute:.2} per minute and entry, at most {} in 100 ms",
        calls.max_per_100_ms()
    );
    assert!(per_minute < 8.0, "{per_minute}");
    assert!(calls.max_per_100_ms() <= MAX_CALLS_PER_100_MS, "{}", calls.max_per_100_ms());
}

#[test]
fn simultaneous_start_and_end_of_an_outage_do_not_overload_the_platform() {
    // Entries that start at the same time do not know each other yet, so each acts as the relay.
    for outage in [0..0, 0..60_000, 30_000..3_630_000] {
        let until = outage.end + 60_000;
        let calls = simulate(SyncSettings::default(), until, &outage, |_| Role::Relay);
        let max = calls.max_per_100_ms();
        println!("calls: outage {outage:?}, at most {max} in 100 ms");
        assert!(max <= MAX_CALLS_PER_100_MS, "{max} calls in 100 ms, outage {outage:?}");
    }
}

#[test]
fn checker_detects_a_start_without_jitter() {
    let settings = SyncSettings { max_start_delay: 0, ..SyncSettings::default() };
    let calls = simulate(settings, 60_000, &(0..0), |_| Role::Relay);
    assert!(calls.max_per_100_ms() > MAX_CALLS_PER_100_MS, "{}", calls.max_per_100_ms());
}

#[test]
fn configuration_is_current_until_the_maximum_age_counted_from_when_the_call_was_sent() {
    let mut sync = ConfigSync::new(SyncSettings::default());
    assert_eq!(sync.availability(0), Availability::Unconfirmed);
    sync.next(Event::Read(1_000), Role::Follower, 2_500, 0.5);
    assert_eq!(sync.availability(17_000), Availability::Current);
    assert_eq!(sync.availability(17_001), Availability::Isolated(16_001));
    sync.next(Event::PeerAnswered(18_000), Role::Follower, 18_200, 0.5);
    assert_eq!(sync.availability(34_000), Availability::Current);
}

#[test]
fn without_the_platform_a_started_entry_trusts_its_peers_after_the_trust_delay() {
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
fn relay_queries_its_peers_and_backs_off_after_failed_reads() {
    let mut sync = ConfigSync::new(SyncSettings::default());
    let mut backoffs = Vec::new();
    let mut now = 0;
    sync.next(Event::Read(now), Role::Relay, now, 1.0);
    for _ in 0..6 {
        assert_eq!(sync.next(Event::ReadFailed, Role::Relay, now, 1.0), Step::AskPeers(2));
        let Step::Wait(at) = sync.next(Event::NoPeerAnswered, Role::Relay, now, 1.0) else {
            panic!("expected a wait after a failure");
        };
        backoffs.push(at - now);
        now = at;
        assert_eq!(sync.next(Event::Waited, Role::Relay, now, 1.0), Step::Read);
    }
    assert_eq!(backoffs, [250, 500, 1_000, 2_000, 4_000, 4_000]);
}
