//! Which entries share a limit.

use coord::{Entry, Roster};

fn entry(name: &str) -> Entry {
    Entry {
        name: name.into(),
        incarnation: 1,
        front: "127.0.0.1:1".into(),
        peer: "127.0.0.1:2".into(),
        data_centre: "dc".into(),
    }
}

#[test]
fn an_entry_that_has_gone_counts_until_it_must_have_noticed() {
    let mut roster = Roster::new(5_000);
    roster.replace(vec![entry("a"), entry("b")], 0);
    assert_eq!(roster.share_count(0), 2);
    roster.remove("b", 1_000);
    assert_eq!(roster.share_count(5_999), 2);
    assert_eq!(roster.share_count(6_000), 1);
}

#[test]
fn an_entry_that_comes_back_counts_once() {
    let mut roster = Roster::new(5_000);
    roster.replace(vec![entry("a"), entry("b")], 0);
    roster.remove("b", 1_000);
    roster.add(entry("b"));
    assert_eq!(roster.share_count(2_000), 2);
}

#[test]
fn a_listing_removes_what_it_lacks() {
    let mut roster = Roster::new(5_000);
    roster.replace(vec![entry("a"), entry("b")], 0);
    roster.replace(vec![entry("a")], 1_000);
    assert_eq!(roster.present().count(), 1);
    assert_eq!(roster.share_count(1_000), 2);
}

#[test]
fn a_lone_entry_is_one_sharer_even_before_it_is_listed() {
    assert_eq!(Roster::new(5_000).share_count(0), 1);
}
