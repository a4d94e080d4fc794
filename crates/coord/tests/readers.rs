//! A few entries read the store for the others.

use coord::readers;
use kernel::Name;

fn entries(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("e{number}"))).collect()
}

#[test]
fn every_entry_of_a_small_deployment_reads_the_store() {
    assert_eq!(readers(&entries(12)), None);
}

#[test]
fn eight_entries_read_the_store_at_any_larger_size() {
    for count in [13, 60, 195, 400] {
        assert_eq!(readers(&entries(count)).map(|readers| readers.len()), Some(8));
    }
}

#[test]
fn one_entry_that_leaves_replaces_at_most_one_reader() {
    let all = entries(195);
    let before = readers(&all).expect("no readers");
    for left in 0..all.len() {
        let mut others = all.clone();
        others.remove(left);
        let after = readers(&others).expect("no readers");
        let kept = before.iter().filter(|reader| after.contains(reader)).count();
        assert!(kept >= before.len() - 1, "{kept} readers were kept when e{left} left");
    }
}
