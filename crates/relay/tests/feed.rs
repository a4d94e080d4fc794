//! Entries that hear of changes from others take in each of them once, and miss none.

use infra::{Change, Stored};
use proptest::prelude::*;
use relay::Feed;
use std::collections::BTreeMap;

fn change(key: u8, revision: i64, is_there: bool) -> Change {
    let stored = is_there.then(|| Stored { value: revision.to_string().into(), revision });
    Change { key: key.to_string(), stored, revision }
}

fn started() -> Feed {
    let mut feed = Feed::default();
    feed.restart(10);
    feed
}

#[test]
fn nothing_is_told_before_the_first_listing() {
    let mut feed = Feed::default();
    assert_eq!(feed.through(), None);
    assert!(feed.hear(vec![change(1, 5, true)], 5).is_empty());
    assert_eq!(feed.after(0, 10), None);
}

#[test]
fn a_change_that_is_heard_twice_is_taken_once() {
    let mut feed = started();
    assert_eq!(feed.hear(vec![change(1, 11, true)], 12).len(), 1);
    let again = vec![change(1, 11, true), change(2, 13, true)];
    assert_eq!(feed.hear(again, 13), [change(2, 13, true)]);
    assert_eq!(feed.through(), Some(13));
}

#[test]
fn an_answer_that_was_overtaken_does_not_go_back() {
    let mut feed = started();
    feed.hear(Vec::new(), 20);
    assert!(feed.hear(vec![change(1, 11, true)], 15).is_empty());
    assert_eq!(feed.through(), Some(20));
}

#[test]
fn changes_before_the_listing_are_not_known() {
    let feed = started();
    assert_eq!(feed.after(9, 10), None);
    assert_eq!(feed.after(10, 10), Some((Vec::new(), 10)));
}

#[test]
fn changes_that_are_no_longer_kept_are_not_known() {
    let mut feed = started();
    for revision in 11..2_000 {
        feed.hear(vec![change(1, revision, true)], revision);
    }
    assert_eq!(feed.after(10, 10), None);
    assert!(feed.after(1_990, 10).is_some());
}

#[test]
fn changes_of_one_revision_stay_together() {
    let mut feed = started();
    let together = vec![change(1, 11, true), change(2, 11, true), change(3, 12, true)];
    feed.hear(together, 12);
    let (told, through) = feed.after(10, 1).expect("all are kept");
    assert_eq!((told.len(), through), (2, 11));
}

/// What a listener knows after a change.
fn apply(picture: &mut BTreeMap<String, i64>, changes: Vec<Change>) {
    for change in changes {
        match change.stored {
            Some(stored) => drop(picture.insert(change.key, stored.revision)),
            None => drop(picture.remove(&change.key)),
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Two tellers lag behind the store by turns, answers are lost, doubled and overtaken; the
    /// listener's picture is that of the store at the revision that it has reached.
    #[test]
    fn a_listener_has_the_picture_of_its_revision(
        writes in proptest::collection::vec((0_u8..6, any::<bool>()), 1..60),
        steps in proptest::collection::vec((0_usize..2, any::<bool>(), any::<bool>(), 1_usize..4), 1..80),
    ) {
        let mut history = Vec::new();
        let mut pictures = vec![BTreeMap::new()];
        for (index, (key, is_there)) in writes.iter().enumerate() {
            let change = change(*key, index as i64 + 1, *is_there);
            let mut picture = pictures.last().cloned().unwrap_or_default();
            apply(&mut picture, vec![change.clone()]);
            history.push(change);
            pictures.push(picture);
        }
        let mut tellers = [Feed::default(), Feed::default()];
        tellers.iter_mut().for_each(|teller| teller.restart(0));
        let mut listener = Feed::default();
        listener.restart(0);
        let mut picture = BTreeMap::new();
        let mut kept_back = Vec::new();
        for (teller, hears, is_kept_back, most) in steps {
            let feed = &mut tellers[teller];
            if hears {
                let from = feed.through().unwrap_or(0) as usize;
                let to = (from + most).min(history.len());
                feed.hear(history[from..to].to_vec(), to as i64);
            }
            let asked = listener.through().unwrap_or(0);
            let Some((told, through)) = feed.after(asked, most) else { continue };
            if is_kept_back {
                kept_back.push((told.clone(), through));
            }
            apply(&mut picture, listener.hear(told, through));
            if let Some((told, through)) = kept_back.pop().filter(|_| !is_kept_back) {
                apply(&mut picture, listener.hear(told, through));
            }
            let reached = listener.through().unwrap_or(0) as usize;
            prop_assert_eq!(&picture, &pictures[reached.min(history.len())]);
        }
    }
}
