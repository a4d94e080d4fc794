//! Servers that fall over when they refuse too much.

use coord::{BrittleNews, BrittleServers, BrittleSettings, ServerRoom};
use kernel::Name;

fn servers(entries: usize, refusals_per_s: f64) -> (BrittleServers, Name) {
    let mut servers = BrittleServers::new(BrittleSettings::default());
    servers.set_entries(entries);
    let server = Name::from("i-0");
    let news = BrittleNews { refusals_per_s: Some(refusals_per_s), at: 100, refused_at: None };
    assert!(servers.record(&server, news));
    (servers, server)
}

fn room(own: u32, open: u32) -> ServerRoom {
    ServerRoom { own, open, slots: 20 }
}

#[test]
fn no_more_is_sent_to_a_brittle_server_than_it_can_run() {
    let (servers, server) = servers(4, 5.0);
    assert!(!servers.is_full(&server, room(0, 16), 200));
    assert!(servers.is_full(&server, room(0, 17), 200));
    assert!(!servers.is_full("another", room(0, 17), 200));
}

#[test]
fn one_entry_takes_no_more_than_its_part_of_a_brittle_server() {
    let (servers, server) = servers(4, 5.0);
    assert!(!servers.is_full(&server, room(3, 3), 200));
    assert!(servers.is_full(&server, room(4, 4), 200));
}

#[test]
fn a_brittle_server_that_refused_a_request_rests() {
    let (mut servers, server) = servers(4, 8.0);
    servers.record_refusal(&server, 1_000);
    assert!(servers.is_full(&server, room(0, 0), 1_999));
    assert!(!servers.is_full(&server, room(0, 0), 2_000));
    // Another entry tells of a refusal.
    let news = BrittleNews { refusals_per_s: Some(8.0), at: 50, refused_at: Some(2_100) };
    assert!(!servers.record(&server, news));
    assert!(servers.is_full(&server, room(0, 0), 2_200));
}

#[test]
fn a_server_is_used_as_before_once_it_states_nothing() {
    let (mut servers, server) = servers(4, 5.0);
    let lifted = |at| BrittleNews { refusals_per_s: None, at, refused_at: None };
    assert!(!servers.record(&server, lifted(99)), "an older response tells nothing new");
    assert!(servers.is_full(&server, room(0, 20), 200));
    assert!(servers.record(&server, lifted(150)));
    assert!(!servers.is_full(&server, room(0, 20), 200));
}
