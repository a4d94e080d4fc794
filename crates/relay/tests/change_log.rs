//! A change log that receives changes from peers applies each of them exactly once.

use infra::{Change, Stored};
use proptest::prelude::*;
use relay::{BatchLimit, ChangeLog, ListingStep, ReaderConfirmation};
use std::collections::{BTreeMap, BTreeSet};

fn change(key: u8, revision: i64, exists: bool) -> Change {
    let stored = exists.then(|| Stored { value: revision.to_string().into(), revision });
    Change { key: key.to_string(), stored, revision }
}

/// Returns a limit that only the number of changes can reach.
fn changes_of(changes: usize) -> BatchLimit {
    BatchLimit { changes, bytes: usize::MAX }
}

fn listed_log() -> ChangeLog {
    let mut log = ChangeLog::default();
    log.reset(10, 8, 100);
    log
}

#[test]
fn returns_no_changes_before_the_first_listing() {
    let mut log = ChangeLog::default();
    assert_eq!(log.through(), None);
    assert!(log.apply(vec![change(1, 5, true)], 5, 200).is_empty());
    assert_eq!(log.changes_after(0, changes_of(10)), None);
}

#[test]
fn applies_a_repeated_change_once() {
    let mut log = listed_log();
    assert_eq!(log.apply(vec![change(1, 11, true)], 12, 200).len(), 1);
    let repeated = vec![change(1, 11, true), change(2, 13, true)];
    assert_eq!(log.apply(repeated, 13, 200), [change(2, 13, true)]);
    assert_eq!(log.through(), Some(13));
}

#[test]
fn a_late_reply_does_not_lower_the_revision() {
    let mut log = listed_log();
    log.apply(Vec::new(), 20, 200);
    assert!(log.apply(vec![change(1, 11, true)], 15, 200).is_empty());
    assert_eq!(log.through(), Some(20));
}

#[test]
fn returns_none_for_changes_before_the_listing() {
    let log = listed_log();
    assert_eq!(log.changes_after(9, changes_of(10)), None);
    assert_eq!(log.changes_after(10, changes_of(10)), Some((Vec::new(), 10)));
}

#[test]
fn returns_none_for_changes_that_are_no_longer_kept() {
    let mut log = listed_log();
    for revision in 11..2_000 {
        log.apply(vec![change(1, revision, true)], revision, 200);
    }
    assert_eq!(log.changes_after(10, changes_of(10)), None);
    assert!(log.changes_after(1_990, changes_of(10)).is_some());
}

#[test]
fn returns_all_changes_of_one_revision_together() {
    let mut log = listed_log();
    let together = vec![change(1, 11, true), change(2, 11, true), change(3, 12, true)];
    log.apply(together, 12, 200);
    let (changes, through) = log.changes_after(10, changes_of(1)).expect("all changes are kept");
    assert_eq!((changes.len(), through), (2, 11));
}

// Guards against batches that fit into no datagram, so that their receiver follows no further change.
#[test]
fn returns_no_more_changes_than_fit_into_a_message() {
    let mut log = listed_log();
    let large = |revision: i64| {
        let stored = Stored { value: vec![b'"'; 1_000].into(), revision };
        Change { key: "large".into(), stored: Some(stored), revision }
    };
    log.apply((11..=20).map(large).collect(), 20, 200);
    // Encoded, each value takes about 2,000 bytes.
    let limit = BatchLimit { changes: 10, bytes: 5_000 };
    let (changes, through) = log.changes_after(10, limit).expect("all changes are kept");
    assert_eq!((changes.len(), through), (3, 13));
}

/// Applies changes to a copy of the store: the revision of each key.
fn apply_to(copy: &mut BTreeMap<String, i64>, changes: Vec<Change>) {
    for change in changes {
        match change.stored {
            Some(stored) => drop(copy.insert(change.key, stored.revision)),
            None => drop(copy.remove(&change.key)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Two senders lag behind the store in turn, and their replies are lost, repeated or reordered.
    /// The receiver's copy always equals the store at the revision that the receiver has reached.
    #[test]
    fn the_copy_of_a_receiver_matches_the_store_at_its_revision(
        writes in proptest::collection::vec((0_u8..6, any::<bool>()), 1..60),
        steps in proptest::collection::vec((0_usize..2, any::<bool>(), any::<bool>(), 1_usize..4), 1..80),
    ) {
        let mut history = Vec::new();
        let mut snapshots = vec![BTreeMap::new()];
        for (index, (key, exists)) in writes.iter().enumerate() {
            let change = change(*key, index as i64 + 1, *exists);
            let mut copy = snapshots.last().cloned().unwrap_or_default();
            apply_to(&mut copy, vec![change.clone()]);
            history.push(change);
            snapshots.push(copy);
        }
        let mut senders = [ChangeLog::default(), ChangeLog::default()];
        senders.iter_mut().for_each(|sender| sender.reset(0, 0, 0));
        let mut receiver = ChangeLog::default();
        receiver.reset(0, 0, 0);
        let mut copy = BTreeMap::new();
        let mut delayed = Vec::new();
        for (sender, advances, is_delayed, limit) in steps {
            let log = &mut senders[sender];
            if advances {
                let from = log.through().unwrap_or(0) as usize;
                let to = (from + limit).min(history.len());
                log.apply(history[from..to].to_vec(), to as i64, 200);
            }
            let revision = receiver.through().unwrap_or(0);
            let Some((changes, through)) = log.changes_after(revision, changes_of(limit)) else { continue };
            if is_delayed {
                delayed.push((changes.clone(), through));
            }
            apply_to(&mut copy, receiver.apply(changes, through, 200));
            if let Some((changes, through)) = delayed.pop().filter(|_| !is_delayed) {
                apply_to(&mut copy, receiver.apply(changes, through, 200));
            }
            let reached = receiver.through().unwrap_or(0) as usize;
            prop_assert_eq!(&copy, &snapshots[reached.min(history.len())]);
        }
    }
}

#[test]
fn a_reader_that_lacks_a_known_change_confirms_nothing() {
    let mut log = listed_log();
    log.apply(vec![change(1, 14, true)], 20, 200);
    assert!(!log.record_confirmation(ReaderConfirmation { through: 13, at: 500 }));
    assert!(log.record_confirmation(ReaderConfirmation { through: 14, at: 500 }));
    // The change had not come yet when the reader had all.
    assert!(log.record_confirmation(ReaderConfirmation { through: 13, at: 199 }));
}

#[test]
fn a_reader_that_has_only_not_seen_changes_of_other_prefixes_confirms_the_copy() {
    // The listing is of revision 10, its newest item of revision 8.
    let mut log = listed_log();
    assert!(log.record_confirmation(ReaderConfirmation { through: 9, at: 500 }));
    assert!(!log.record_confirmation(ReaderConfirmation { through: 7, at: 500 }));
}

#[test]
fn nobody_confirms_a_copy_that_does_not_exist() {
    let mut log = ChangeLog::default();
    assert!(!log.record_confirmation(ReaderConfirmation { through: 14, at: 500 }));
}

fn item(key: u8, revision: i64) -> (String, Stored) {
    (key.to_string(), Stored { value: revision.to_string().into(), revision })
}

fn keys(keys: &[u8]) -> BTreeSet<String> {
    keys.iter().map(u8::to_string).collect()
}

#[test]
fn the_first_listing_replaces_all_that_is_known() {
    let mut log = ChangeLog::default();
    let step = log.apply_listing(&[item(1, 5)], 10, &keys(&[]), 100);
    assert_eq!(step, ListingStep::Replace);
    assert_eq!(log.through(), Some(10));
}

#[test]
fn a_later_listing_tells_peers_what_changed_since_the_last_one() {
    let mut log = listed_log();
    let items = [item(1, 5), item(2, 12), item(3, 11), item(4, 21)];
    let step = log.apply_listing(&items, 20, &keys(&[1, 9]), 200);
    // The item of revision 21 comes with the watch after revision 20.
    let changes = vec![change(3, 11, true), change(2, 12, true), change(9, 20, false)];
    assert_eq!(step, ListingStep::Apply(changes.clone()));
    assert_eq!(log.changes_after(10, changes_of(24)), Some((changes, 20)));
    assert_eq!(log.through(), Some(20));
}

#[test]
fn a_listing_of_an_older_copy_replaces_all_that_is_known() {
    let mut log = listed_log();
    log.apply(vec![change(1, 14, true)], 20, 200);
    assert_eq!(log.apply_listing(&[item(1, 5)], 12, &keys(&[1]), 300), ListingStep::Replace);
    assert_eq!(log.changes_after(10, changes_of(24)), None);
}

#[test]
fn a_listing_without_a_later_change_removes_what_it_lacks() {
    let mut log = listed_log();
    let step = log.apply_listing(&[item(1, 5)], 10, &keys(&[1, 2]), 300);
    assert_eq!(step, ListingStep::Apply(vec![change(2, 10, false)]));
}
