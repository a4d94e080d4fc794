//! Number of entries that share a limit.

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
fn a_removed_entry_is_counted_during_the_retention_time() {
    let mut roster = Roster::new(5_000);
    roster.replace(vec![entry("a"), entry("b")], 0);
    assert_eq!(roster.share_count(0), 2);
    roster.remove("b", 1_000);
    assert_eq!(roster.share_count(5_999), 2);
    assert_eq!(roster.share_count(6_000), 1);
}

#[test]
fn an_entry_that_registers_again_is_counted_once() {
    let mut roster = Roster::new(5_000);
    roster.replace(vec![entry("a"), entry("b")], 0);
    roster.remove("b", 1_000);
    roster.add(entry("b"));
    assert_eq!(roster.share_count(2_000), 2);
}

#[test]
fn replacing_the_list_removes_entries_it_lacks() {
    let mut roster = Roster::new(5_000);
    roster.replace(vec![entry("a"), entry("b")], 0);
    roster.replace(vec![entry("a")], 1_000);
    assert_eq!(roster.present().count(), 1);
    assert_eq!(roster.share_count(1_000), 2);
}

#[test]
fn the_share_count_of_an_empty_roster_is_one() {
    assert_eq!(Roster::new(5_000).share_count(0), 1);
}
