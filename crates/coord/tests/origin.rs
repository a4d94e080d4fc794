//! Software versions of the servers that began streams.

use coord::StreamOrigins;
use kernel::Name;

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
