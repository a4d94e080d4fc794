//! Reports of usage windows by changing leaders, while the store is restored from older copies.

use coord::{CLOCK_TOLERANCE_MS, Counts, DueWindow, ReportStep, Restore, Window, next_report_step};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const WINDOW_MS: u64 = 5_000;
/// Time from the end of a window to its decision, by the clock of the leader.
const DECISION_DELAY_MS: u64 = 1_000;
/// Largest difference of an entry's clock from the true time.
const CLOCK_ERROR_MS: u64 = CLOCK_TOLERANCE_MS / 2;
const STEP_MS: u64 = 100;
const DAY_MS: u64 = 90_000;
/// Start of the day, far enough from zero for clocks that are behind.
const START_MS: u64 = 100_000;
const ENTRIES: usize = 5;

fn counts(number: u64) -> Counts {
    Counts::from([(Name::from("org"), number)])
}

fn due<'a>(stored: Option<&'a Counts>, remembered: Option<&'a Counts>) -> DueWindow<'a> {
    DueWindow { decidable_at_unix_ms: 10_000, stored, remembered }
}

fn restore(heard_at_unix_ms: u64) -> Option<Restore> {
    Some(Restore { number: 1, heard_at_unix_ms })
}

#[test]
fn counts_that_the_store_holds_are_reported_whatever_was_restored() {
    let stored = counts(7);
    for restore in [None, restore(20_000)] {
        let step = next_report_step(due(Some(&stored), None), restore);
        assert_eq!(step, ReportStep::Report(counts(7)));
    }
}

#[test]
fn counts_that_only_this_entry_remembers_are_stored_again() {
    let remembered = counts(7);
    let step = next_report_step(due(None, Some(&remembered)), restore(20_000));
    assert_eq!(step, ReportStep::StoreAgain(counts(7)));
}

#[test]
fn a_window_is_decided_unless_a_restore_may_have_undone_its_decision() {
    let step = |restore| next_report_step(due(None, None), restore);
    assert_eq!(step(None), ReportStep::Decide);
    assert_eq!(step(restore(10_000)), ReportStep::Skip);
    assert_eq!(step(restore(10_000 - CLOCK_TOLERANCE_MS)), ReportStep::Skip);
    assert_eq!(step(restore(10_000 - CLOCK_TOLERANCE_MS - 1)), ReportStep::Decide);
}

#[test]
fn counts_that_differ_from_those_remembered_are_not_reported() {
    let (stored, remembered) = (counts(7), counts(8));
    let step = next_report_step(due(Some(&stored), Some(&remembered)), restore(20_000));
    assert_eq!(step, ReportStep::Skip);
}

/// A mechanism that is disabled to verify that the checker detects its absence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Disabled {
    /// Leaders do not heed restores.
    Restores,
    /// Clocks differ by more than is tolerated.
    Clocks,
}

#[derive(Clone, Debug, Default)]
struct Store {
    final_counts: BTreeMap<Window, Counts>,
    /// Entry and number of its tenure.
    leader: Option<(usize, u64)>,
    era: u64,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    clock_error_ms: i64,
    reported: BTreeSet<Window>,
    remembered: BTreeMap<Window, Counts>,
    restore: Option<Restore>,
}

/// Entries, their store and the receiver of the reports in virtual time.
struct Day {
    rng: StdRng,
    disabled: Option<Disabled>,
    now: u64,
    entries: Vec<Entry>,
    store: Store,
    copies: Vec<(u64, Store)>,
    vacant_until: u64,
    last_number: u64,
    /// Reports that arrive later.
    in_transit: Vec<(u64, Window, Counts)>,
    received: BTreeMap<Window, BTreeSet<u64>>,
    restored_at: Vec<u64>,
}

impl Day {
    fn play(seed: u64, disabled: Option<Disabled>) -> Self {
        let mut day = Self {
            rng: StdRng::seed_from_u64(seed),
            disabled,
            now: START_MS,
            entries: Vec::new(),
            store: Store::default(),
            copies: Vec::new(),
            vacant_until: 0,
            last_number: 0,
            in_transit: Vec::new(),
            received: BTreeMap::new(),
            restored_at: Vec::new(),
        };
        for _ in 0..ENTRIES {
            let entry = day.new_entry();
            day.entries.push(entry);
        }
        while day.now < START_MS + DAY_MS {
            day.now += STEP_MS;
            if day.now.is_multiple_of(500) {
                day.copies.push((day.now, Store { leader: None, ..day.store.clone() }));
            }
            day.disturb();
            for entry in 0..ENTRIES {
                day.observe_era(entry);
            }
            day.appoint_leader();
            day.act();
            day.deliver();
        }
        day
    }

    fn new_entry(&mut self) -> Entry {
        let times = if self.disabled == Some(Disabled::Clocks) { 2 } else { 1 };
        let error = times * CLOCK_ERROR_MS as i64;
        Entry { clock_error_ms: self.rng.random_range(-error..=error), ..Entry::default() }
    }

    fn unix_ms(&self, entry: usize) -> u64 {
        self.now.saturating_add_signed(self.entries[entry].clock_error_ms)
    }

    /// Kills entries, ends tenures and restores the store.
    fn disturb(&mut self) {
        if self.rng.random_bool(0.005) {
            let killed = if self.rng.random_bool(0.2) {
                0..ENTRIES
            } else {
                let entry = self.rng.random_range(0..ENTRIES);
                entry..entry + 1
            };
            for entry in killed {
                self.entries[entry] = self.new_entry();
                if self.store.leader.is_some_and(|(leader, _)| leader == entry) {
                    self.vacate(2_000);
                }
            }
        }
        if self.rng.random_bool(0.003) {
            self.vacate(700);
        }
        if self.rng.random_bool(0.004) {
            self.restore_store();
        }
    }

    fn restore_store(&mut self) {
        let age_ms = self.rng.random_range(0..8_000);
        let copy = self.copies.iter().rev().find(|(at, _)| at + age_ms <= self.now);
        let Some((_, copy)) = copy.cloned() else { return };
        self.store = Store { era: self.store.era + 1, ..copy };
        self.restored_at.push(self.now);
        self.vacate(700);
    }

    fn vacate(&mut self, for_ms: u64) {
        self.store.leader = None;
        self.vacant_until = self.now + for_ms;
    }

    fn appoint_leader(&mut self) {
        if self.store.leader.is_none() && self.now >= self.vacant_until {
            self.last_number += 1;
            let entry = self.rng.random_range(0..ENTRIES);
            self.store.leader = Some((entry, self.last_number));
            self.entries[entry].reported.clear();
        }
    }

    /// Lets the leader take a step for each window that is due, unless something happens in between.
    fn act(&mut self) {
        if !self.now.is_multiple_of(500) {
            return;
        }
        let Some(leader @ (entry, _)) = self.store.leader else { return };
        let listed = self.store.clone();
        let unix_ms = self.unix_ms(entry);
        let last = (unix_ms - DECISION_DELAY_MS) / WINDOW_MS - 1;
        let heeds_restores = self.disabled != Some(Disabled::Restores);
        let restore = self.entries[entry].restore.filter(|_| heeds_restores);
        for (window, counts) in &listed.final_counts {
            self.entries[entry].remembered.entry(*window).or_insert_with(|| counts.clone());
        }
        for window in last - 3..=last {
            if self.entries[entry].reported.contains(&window) {
                continue;
            }
            let due = DueWindow {
                decidable_at_unix_ms: (window + 1) * WINDOW_MS + DECISION_DELAY_MS,
                stored: listed.final_counts.get(&window),
                remembered: self.entries[entry].remembered.get(&window),
            };
            let step = next_report_step(due, restore);
            if self.rng.random_bool(0.02) {
                self.restore_store();
            }
            let counts = match step {
                ReportStep::Report(counts) => counts,
                // Every decision has other counts, so that the receiver notices a second one.
                ReportStep::Decide => counts(self.rng.random_range(0..u64::MAX)),
                ReportStep::StoreAgain(counts) => counts,
                ReportStep::Skip => continue,
            };
            if listed.final_counts.get(&window) != Some(&counts) {
                if self.store.leader != Some(leader)
                    || self.store.final_counts.contains_key(&window)
                {
                    return;
                }
                self.store.final_counts.insert(window, counts.clone());
                if self.rng.random_bool(0.1) {
                    // The answer is lost, so that the leader does not know what it decided.
                    return;
                }
                self.entries[entry].remembered.insert(window, counts.clone());
            }
            if self.rng.random_bool(0.9) {
                let at = self.now + self.rng.random_range(0..1_000);
                self.in_transit.push((at, window, counts));
            }
            if self.rng.random_bool(0.7) {
                self.entries[entry].reported.insert(window);
            }
            if self.store.leader != Some(leader) {
                return;
            }
        }
    }

    fn observe_era(&mut self, entry: usize) {
        let era = self.store.era;
        let known = self.entries[entry].restore.map_or(0, |restore| restore.number);
        if era != known {
            let heard_at_unix_ms = self.unix_ms(entry);
            self.entries[entry].restore = Some(Restore { number: era, heard_at_unix_ms });
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (_, window, counts) in self.in_transit.extract_if(.., |(at, ..)| *at <= now) {
            self.received.entry(window).or_default().insert(counts["org"]);
        }
    }

    fn has_two_reports(&self) -> bool {
        self.received.values().any(|counts| counts.len() > 1)
    }

    /// Returns the windows that no restore can have undone but that nobody reported.
    fn missing(&self) -> Vec<Window> {
        let is_calm = |window: &Window| {
            let end = (window + 1) * WINDOW_MS;
            self.restored_at.iter().all(|at| at + 3 * WINDOW_MS < end || end + 15_000 < *at)
        };
        let first = START_MS / WINDOW_MS + 1;
        let last = (START_MS + DAY_MS) / WINDOW_MS - 4;
        (first..last).filter(is_calm).filter(|window| !self.received.contains_key(window)).collect()
    }
}

#[test]
fn no_window_is_reported_with_two_counts_although_the_store_is_restored() {
    let mut missing = 0;
    for seed in 0..400 {
        let day = Day::play(seed, None);
        assert!(!day.has_two_reports(), "seed {seed}: {:?}", day.received);
        missing += day.missing().len();
    }
    // A report that is lost while its leader takes it for sent is missing.
    assert!(missing < 400, "{missing} windows far from any restore were not reported");
}

#[test]
fn the_model_sees_two_reports_without_each_mechanism() {
    for disabled in [Disabled::Restores, Disabled::Clocks] {
        let seen = (0..400).any(|seed| Day::play(seed, Some(disabled)).has_two_reports());
        assert!(seen, "the model does not notice that {disabled:?} is disabled");
    }
}
