//! Loads that many entries tell of many servers.

use kernel::Name;
use pick::{LatencyModel, Load, Picker, ServerInfo};
use std::collections::BTreeMap;

/// Silence after which the loads of an entry no longer count, in milliseconds.
const SILENCE_MS: u64 = 1_000;

fn picker(servers: usize) -> Picker {
    let mut picker = Picker::new(LatencyModel::default());
    for number in 0..servers {
        picker.upsert(server_info(number));
    }
    picker
}

fn server_info(number: usize) -> ServerInfo {
    ServerInfo {
        id: server(number),
        started_unix_ms: 1,
        service: "pool".into(),
        address: ([127, 0, 0, 1], 9_000).into(),
        data_centre: "local".into(),
        slots: 32,
        leaving: false,
        reclaimable: false,
        reclaimed_in_ms: None,
        warmup_ms: 0,
        software_version: "v1".into(),
    }
}

fn server(number: usize) -> Name {
    format!("s{number}").as_str().into()
}

fn entry(number: usize) -> Name {
    format!("e{number}").as_str().into()
}

fn load(open: u32) -> Load {
    Load { open, pending_prompt_tokens: u64::from(open) * 100 }
}

fn remote(picker: &Picker, number: usize) -> Load {
    picker.get(&server(number)).expect("the server is known").remote
}

#[test]
fn the_load_of_a_server_is_the_sum_of_what_all_entries_told_last() {
    let mut picker = picker(20);
    let mut told: BTreeMap<(usize, usize), u32> = BTreeMap::new();
    for round in 0..40_usize {
        let from = round * 7 % 11;
        told.retain(|(entry, _), _| *entry != from);
        let loads = (0..5).map(|step| ((from + round + step * 3) % 20, (round + step) as u32));
        told.extend(loads.map(|(server, open)| ((from, server), open)));
        let of_entry = told.iter().filter(|((entry, _), _)| *entry == from);
        let loads = of_entry.map(|((_, number), open)| (server(*number), load(*open)));
        picker.record_peer_loads(&entry(from), loads.collect(), 0);
        for number in 0..20 {
            let open = told.iter().filter(|((_, of), _)| *of == number).map(|(_, open)| open).sum();
            assert_eq!(remote(&picker, number), load(open), "round {round}, server {number}");
        }
    }
}

#[test]
fn loads_of_silent_entries_no_longer_count() {
    let mut picker = picker(2);
    picker.record_peer_loads(&entry(0), vec![(server(0), load(3))], 0);
    picker.record_peer_loads(&entry(1), vec![(server(0), load(4))], 500);
    picker.forget_silent_peers(SILENCE_MS, SILENCE_MS);
    assert_eq!(remote(&picker, 0), load(4));
}

#[test]
fn a_server_that_is_listed_after_its_load_was_told_has_that_load() {
    let mut picker = picker(1);
    picker.record_peer_loads(&entry(0), vec![(server(1), load(5))], 0);
    picker.upsert(server_info(1));
    assert_eq!(remote(&picker, 1), load(5));
}

#[test]
fn a_load_that_fits_no_sum_counts_until_its_entry_tells_another_one() {
    let mut picker = picker(1);
    let huge = Load { open: u32::MAX, pending_prompt_tokens: u64::MAX };
    picker.record_peer_loads(&entry(0), vec![(server(0), huge)], 0);
    picker.record_peer_loads(&entry(1), vec![(server(0), huge), (server(0), load(2))], 0);
    assert_eq!(remote(&picker, 0), huge);
    picker.record_peer_loads(&entry(0), Vec::new(), 0);
    picker.record_peer_loads(&entry(1), vec![(server(0), load(2))], 0);
    assert_eq!(remote(&picker, 0), load(2));
}

/// Replays the state messages of many entries. What one message costs must not grow with the entries.
#[test]
fn a_message_changes_as_many_sums_whatever_the_number_of_entries() {
    for entries in [4, 40, 400] {
        let mut picker = picker(600);
        for message in 0..2 * entries {
            let from = message % entries;
            let loads = (0..20).map(|step| (server((from * 13 + step) % 600), load(2)));
            let changed = picker.record_peer_loads(&entry(from), loads.collect(), 0);
            assert!(changed <= 40, "{changed} sums changed with {entries} entries");
        }
    }
}
