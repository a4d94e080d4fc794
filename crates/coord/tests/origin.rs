//! Software versions of the servers that began streams.

use coord::StreamOrigins;
use kernel::Name;
use std::collections::BTreeSet;

fn entries(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("e{number}"))).collect()
}

fn origins(own_name: &str, count: usize) -> StreamOrigins {
    let mut origins = StreamOrigins::new(Name::from(own_name));
    origins.set_entries(entries(count));
    origins
}

#[test]
fn the_first_version_recorded_for_a_stream_counts() {
    let mut origins = origins("e0", 3);
    let request = Name::from("r1");
    assert_eq!(origins.get("r1"), None);
    origins.record(&request, &Name::from("v1"), 1_000);
    origins.record(&request, &Name::from("v2"), 2_000);
    assert_eq!(origins.get("r1"), Some(&Name::from("v1")));
}

#[test]
fn versions_are_forgotten_after_a_minute() {
    let mut origins = origins("e0", 3);
    origins.record(&Name::from("r1"), &Name::from("v1"), 1_000);
    origins.record(&Name::from("r2"), &Name::from("v1"), 61_000);
    assert_eq!(origins.get("r1"), None);
    assert!(origins.get("r2").is_some());
}

#[test]
fn an_entry_that_did_not_begin_a_stream_asks_the_entries_that_keep_its_version() {
    for number in 0..50 {
        let request = format!("r{number}");
        let holders = origins("e0", 9).holders(&request);
        assert_eq!(holders.len(), 2);
        assert!(!holders.contains(&Name::from("e0")));
        for other in entries(9).iter().filter(|name| !holders.contains(name)) {
            let queried = origins(other, 9).queried(&request);
            assert!(holders.iter().all(|holder| queried.contains(holder)), "{request} at {other}");
        }
    }
}

#[test]
fn a_version_is_found_although_two_entries_came_and_two_went() {
    let (mut asking, mut began) = (origins("e1", 20), origins("e0", 20));
    let mut later = entries(20);
    later.retain(|name| name != "e0" && name != "e19");
    later.extend([Name::from("e20"), Name::from("e21")]);
    asking.set_entries(later.clone());
    began.set_entries(entries(20));
    for number in 0..50 {
        let request = format!("r{number}");
        let holders = began.holders(&request);
        let is_asked = asking.queried(&request).into_iter().any(|name| holders.contains(&name));
        assert!(is_asked || holders.contains(&Name::from("e1")), "{request}");
    }
}

#[test]
fn only_streams_that_began_here_at_the_version_and_lately_are_told_again() {
    let mut origins = origins("e0", 3);
    let (v1, v2) = (Name::from("v1"), Name::from("v2"));
    origins.record_begun(&Name::from("old"), &v1, 1_000);
    origins.record(&Name::from("told"), &v1, 30_000);
    origins.record_begun(&Name::from("other"), &v2, 30_000);
    origins.record_begun(&Name::from("meant"), &v1, 30_000);
    assert_eq!(origins.begun_here(&v1, 20_000, 40_000), [Name::from("meant")]);
}

#[test]
fn all_entries_agree_on_two_recorders_and_one_of_them_keeps_the_history() {
    let recorder = |own: &Name, request: &str| origins(own, 195).recorder(request).cloned();
    let requests: Vec<String> = (0..100).map(|number| format!("r{number}")).collect();
    let chosen: BTreeSet<Name> =
        requests.iter().filter_map(|request| recorder(&Name::from("e0"), request)).collect();
    assert_eq!(chosen.len(), 2);
    for request in &requests {
        assert_eq!(recorder(&Name::from("e0"), request), recorder(&Name::from("e77"), request));
    }
    let keepers: Vec<Name> =
        entries(195).into_iter().filter(|name| origins(name, 195).keeps_history()).collect();
    assert_eq!(keepers.len(), 1);
    assert!(chosen.contains(&keepers[0]));
}

#[test]
fn an_entry_that_knows_of_no_other_has_no_recorder() {
    assert_eq!(StreamOrigins::new(Name::from("e0")).recorder("r1"), None);
}
