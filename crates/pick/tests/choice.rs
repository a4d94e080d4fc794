//! Choice of the server for a request, under several kinds of load and of server failures.

use kernel::Name;
use pick::{
    ChoiceReason, LatencyModel, Load, Outcome, Picker, Prompt, PromptPart, Requirements, ServerInfo,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

fn server_info(id: &str, data_centre: &str) -> ServerInfo {
    ServerInfo {
        id: id.into(),
        started_unix_ms: 1,
        service: "pool".into(),
        address: address(id),
        data_centre: data_centre.into(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        reclaimed_in_ms: None,
        warmup_ms: 0,
        software_version: "v1".into(),
    }
}

/// Returns an address that differs between the servers of a test.
fn address(id: &str) -> SocketAddr {
    ([127, 0, 0, 1], id.bytes().map(u16::from).sum()).into()
}

fn picker(ids: &[&str]) -> Picker {
    let mut picker = Picker::new(LatencyModel::default());
    for id in ids {
        picker.upsert(server_info(id, "local"));
    }
    picker
}

/// Records the only load that another entry told.
fn tell_load(picker: &mut Picker, server: &Name, load: Load) {
    picker.record_peer_loads(&"other".into(), vec![(server.clone(), load)], 0);
}

fn prompt(shared_id: u64) -> Prompt {
    Prompt {
        parts: vec![
            PromptPart { id: 1, tokens: 500 },
            PromptPart { id: shared_id, tokens: 4_800 },
            PromptPart { id: 99, tokens: 900 },
        ],
        tokens: 6_200,
        answer_tokens: 300,
    }
}

fn choose(picker: &Picker, prompt: Option<&Prompt>, tried: &[Name], random: u64) -> pick::Choice {
    let (service, data_centre) = (Name::from("pool"), Name::from("local"));
    let requirements = Requirements {
        service: &service,
        prompt,
        software_version: None,
        data_centre: &data_centre,
        tried,
        exhausted: &[],
        random,
    };
    picker.choose(&requirements, 0).expect("a server is available")
}

#[test]
fn all_entries_choose_the_same_servers_for_prompts_with_a_shared_part() {
    let (a, b) = (picker(&["s1", "s2", "s3", "s4"]), picker(&["s4", "s3", "s2", "s1"]));
    for shared_id in 10..40 {
        let prompt = prompt(shared_id);
        let (one, other) = (choose(&a, Some(&prompt), &[], 1), choose(&b, Some(&prompt), &[], 2));
        assert_eq!(one.reason, ChoiceReason::Cached);
        let affinity: Vec<Name> =
            (0..64).map(|random| choose(&a, Some(&prompt), &[], random).id).collect();
        assert!(affinity.contains(&other.id), "shared part {shared_id}");
    }
}

/// Replays prompts of one session whose primary server is busy: they go to another server, which copies
/// the shared parts instead of processing them again.
#[test]
fn a_server_that_takes_a_prompt_from_a_busy_primary_copies_the_shared_parts() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(10);
    let primary = choose(&picker, Some(&prompt), &[], 1);
    assert_eq!(primary.uncached_tokens, 900, "the primary has the shared parts");
    tell_load(&mut picker, &primary.id, Load { open: 20, pending_prompt_tokens: 60_000 });
    let other = choose(&picker, Some(&prompt), &[], 1);
    assert_ne!(other.id, primary.id);
    assert_eq!((other.copy_from, other.uncached_tokens), (Some(primary.address), 900));
}

/// Replays a reclaim: while the primary server of a prompt leaves, its successor copies from it.
#[test]
fn the_next_primary_copies_from_the_one_that_leaves() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(10);
    let primary = choose(&picker, Some(&prompt), &[], 1);
    picker.upsert(ServerInfo { leaving: true, ..server_info(&primary.id, "local") });
    let next = choose(&picker, Some(&prompt), &[], 1);
    assert_ne!(next.id, primary.id);
    assert_eq!((next.copy_from, next.uncached_tokens), (Some(primary.address), 900));
}

#[test]
fn nothing_is_copied_from_a_server_that_rests() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(10);
    let primary = choose(&picker, Some(&prompt), &[], 1);
    picker.record_pause(&primary.id, 2_000, 0);
    let next = choose(&picker, Some(&prompt), &[], 1);
    assert_ne!(next.copy_from, Some(primary.address));
}

// Guards against an attempt that is held to its deadline although another server wants requests again meanwhile.
#[test]
fn a_server_that_wants_no_requests_now_is_an_alternative_and_a_tried_one_is_not() {
    let mut picker = picker(&["s1", "s2"]);
    let prompt = prompt(10);
    let first = choose(&picker, Some(&prompt), &[], 1);
    assert!(first.has_alternative);
    let other = choose(&picker, Some(&prompt), std::slice::from_ref(&first.id), 1);
    assert!(!other.has_alternative);
    picker.record_pause(&first.id, 2_000, 0);
    assert!(choose(&picker, Some(&prompt), &[], 1).has_alternative);
}

#[test]
fn an_idle_primary_is_preferred_to_a_server_that_would_copy() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(10);
    let primary = choose(&picker, Some(&prompt), &[], 1).id;
    tell_load(&mut picker, &primary, Load { open: 3, pending_prompt_tokens: 2_000 });
    assert!((0..20).all(|random| choose(&picker, Some(&prompt), &[], random).id == primary));
}

/// Replays a burst at many entries that all know the same loads, from before the burst: they do not
/// all send to the server that was the least loaded then.
#[test]
fn entries_with_the_same_old_loads_spread_a_burst() {
    let ids: Vec<String> = (0..40).map(|i| format!("s{i}")).collect();
    let mut picker = picker(&ids.iter().map(String::as_str).collect::<Vec<_>>());
    let load = |i: u32| Load { open: 10 + i, pending_prompt_tokens: 0 };
    let loads = ids.iter().zip(0..).map(|(id, i)| (Name::from(id.as_str()), load(i)));
    picker.record_peer_loads(&"other".into(), loads.collect(), 0);
    let mut requests: BTreeMap<Name, u32> = BTreeMap::new();
    for random in 0..400 {
        let choice = choose(&picker, Some(&Prompt::default()), &[], random);
        *requests.entry(choice.id).or_default() += 1;
    }
    assert!(requests.values().all(|count| *count <= 60), "{requests:?}");
    let is_idle = |id: &str| picker.get(id).is_some_and(|server| server.load().open < 30);
    let to_idle: u32 = requests.iter().filter(|(id, _)| is_idle(id)).map(|(_, count)| count).sum();
    assert!(to_idle >= 300, "less loaded servers are preferred: {requests:?}");
}

#[test]
fn many_prompts_with_one_shared_part_spread_to_all_servers() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(10);
    let mut requests: BTreeMap<Name, u32> = BTreeMap::new();
    for random in 0..200 {
        let choice = choose(&picker, Some(&prompt), &[], random);
        picker.record_sent(&choice.id, choice.uncached_tokens, Some(&prompt));
        *requests.entry(choice.id).or_default() += 1;
    }
    assert_eq!(requests.len(), 4, "{requests:?}");
}

#[test]
fn load_from_other_entries_is_taken_into_account() {
    let mut picker = picker(&["s1", "s2"]);
    tell_load(&mut picker, &"s1".into(), Load { open: 40, pending_prompt_tokens: 90_000 });
    for random in 0..20 {
        assert_eq!(choose(&picker, Some(&Prompt::default()), &[], random).id, "s2");
    }
}

#[test]
fn plain_requests_are_spread_evenly_among_equal_servers() {
    let mut picker = picker(&["s1", "s2", "s3"]);
    let mut requests: BTreeMap<Name, u32> = BTreeMap::new();
    for random in 0..90 {
        let choice = choose(&picker, None, &[], random);
        picker.record_sent(&choice.id, 0, None);
        *requests.entry(choice.id).or_default() += 1;
    }
    assert!(requests.values().all(|count| *count == 30), "{requests:?}");
}

#[test]
fn an_idle_server_in_the_same_data_centre_is_preferred() {
    let mut picker = picker(&["near"]);
    picker.upsert(server_info("far", "other"));
    assert!((0..20).all(|random| choose(&picker, None, &[], random).id == "near"));
}

#[test]
fn leaving_and_already_tried_servers_are_not_chosen() {
    let mut picker = picker(&["s1", "s2"]);
    picker.upsert(ServerInfo { leaving: true, ..server_info("s1", "local") });
    let (service, data_centre) = (Name::from("pool"), Name::from("local"));
    let tried = [Name::from("s2")];
    let requirements = Requirements {
        service: &service,
        prompt: None,
        software_version: None,
        data_centre: &data_centre,
        tried: &tried,
        exhausted: &[],
        random: 0,
    };
    assert_eq!(picker.choose(&requirements, 0), None);
}

#[test]
fn a_server_whose_limit_is_used_up_is_not_chosen() {
    let picker = picker(&["s1", "s2"]);
    let (service, data_centre) = (Name::from("pool"), Name::from("local"));
    let exhausted = [Name::from("s1")];
    for random in 0..20 {
        let requirements = Requirements {
            service: &service,
            prompt: None,
            software_version: None,
            data_centre: &data_centre,
            tried: &[],
            exhausted: &exhausted,
            random,
        };
        assert_eq!(picker.choose(&requirements, 0).expect("no server").id, "s2");
    }
}

#[test]
fn a_server_with_a_high_failure_rate_is_avoided_until_the_failures_are_old() {
    let mut picker = picker(&["healthy", "faulty"]);
    for _ in 0..6 {
        picker.record_outcome("faulty", Outcome::Failed, 0);
        picker.record_outcome("healthy", Outcome::Answered, 0);
    }
    assert!((0..20).all(|random| choose(&picker, None, &[], random).id == "healthy"));
    let (service, data_centre) = (Name::from("pool"), Name::from("local"));
    let later = |random| {
        let requirements = Requirements {
            service: &service,
            prompt: None,
            software_version: None,
            data_centre: &data_centre,
            tried: &[],
            exhausted: &[],
            random,
        };
        picker.choose(&requirements, 30_000).expect("a server is available").id
    };
    assert!((0..20).any(|random| later(random) == "faulty"), "the server is chosen again");
}

#[test]
fn servers_with_the_same_failure_rate_are_all_used() {
    let mut picker = picker(&["s1", "s2"]);
    for id in ["s1", "s2"] {
        for _ in 0..3 {
            picker.record_outcome(id, Outcome::Failed, 0);
            picker.record_outcome(id, Outcome::Answered, 0);
        }
    }
    let chosen: Vec<Name> = (0..40).map(|random| choose(&picker, None, &[], random).id).collect();
    assert!(chosen.contains(&"s1".into()) && chosen.contains(&"s2".into()));
}

#[test]
fn an_unreachable_server_is_only_chosen_as_the_last_resort() {
    let mut picker = picker(&["s1", "s2"]);
    picker.record_outcome("s1", Outcome::Unreachable, 0);
    assert!((0..20).all(|random| choose(&picker, None, &[], random).id == "s2"));
    let last = choose(&picker, None, &[Name::from("s2")], 0);
    assert_eq!((last.id.as_str(), last.reason), ("s1", ChoiceReason::LastResort));
}

// Against servers that have ended, whose failures were forgotten with those of a cut path.
#[test]
fn a_request_is_not_sent_to_one_server_after_another_that_was_unreachable_before() {
    let mut picker = picker(&["s1", "s2", "s3", "busy"]);
    for id in ["s1", "s2", "s3"] {
        picker.record_unreachable(id, 0);
    }
    picker.forgive("pool");
    tell_load(&mut picker, &"busy".into(), Load { open: 200, pending_prompt_tokens: 0 });
    let first = choose(&picker, None, &[], 0);
    assert_ne!(first.id, "busy", "a server in doubt is tried again");
    picker.record_outcome(&first.id, Outcome::Unreachable, 0);
    for random in 0..20 {
        let second = choose(&picker, None, std::slice::from_ref(&first.id), random);
        assert_eq!((second.id.as_str(), second.reason), ("busy", ChoiceReason::Soonest));
    }
}

#[test]
fn a_server_is_no_longer_in_doubt_once_it_was_reached() {
    for outcome in [Outcome::Answered, Outcome::Full] {
        let mut picker = picker(&["s1", "s2", "busy"]);
        picker.record_unreachable("s1", 0);
        picker.forgive("pool");
        picker.record_outcome("s1", outcome, 0);
        picker.forgive("pool");
        picker.record_outcome("s2", Outcome::Unreachable, 0);
        tell_load(&mut picker, &"busy".into(), Load { open: 200, pending_prompt_tokens: 0 });
        assert_eq!(choose(&picker, None, &["s2".into()], 0).id, "s1", "{outcome:?}");
    }
}

#[test]
fn a_server_that_restarted_under_its_name_has_no_prompts_cached() {
    let mut picker = picker(&["s1"]);
    // Short shared parts have no affinity servers, only those that they were sent to.
    let short = Prompt {
        parts: vec![PromptPart { id: 7, tokens: 40 }, PromptPart { id: 8, tokens: 60 }],
        tokens: 100,
        answer_tokens: 10,
    };
    picker.record_sent(&"s1".into(), 100, Some(&short));
    assert_eq!(choose(&picker, Some(&short), &[], 0).uncached_tokens, 60);
    picker.upsert(ServerInfo { started_unix_ms: 2, ..server_info("s1", "local") });
    assert_eq!(choose(&picker, Some(&short), &[], 0).uncached_tokens, 100);
}

#[test]
fn a_server_that_restarted_under_its_name_has_no_load() {
    let mut picker = picker(&["s1"]);
    picker.record_sent(&"s1".into(), 100, None);
    picker.upsert(ServerInfo { started_unix_ms: 2, ..server_info("s1", "local") });
    assert_eq!(picker.get("s1").expect("the server is known").load(), Load::default());
}

#[test]
fn a_stream_goes_on_only_at_a_server_of_the_required_software_version() {
    let mut picker = picker(&["s1", "s2", "s3"]);
    picker.upsert(ServerInfo { software_version: "v2".into(), ..server_info("s3", "local") });
    let (service, data_centre) = (Name::from("pool"), Name::from("local"));
    let (present, gone) = (Name::from("v2"), Name::from("v3"));
    for random in 0..20 {
        let requirements = |version| Requirements {
            service: &service,
            prompt: None,
            software_version: Some(version),
            data_centre: &data_centre,
            tried: &[],
            exhausted: &[],
            random,
        };
        assert_eq!(picker.choose(&requirements(&present), 0).expect("no server").id, "s3");
        assert_eq!(picker.choose(&requirements(&gone), 0), None);
    }
}

#[test]
fn cached_parts_are_copied_only_from_servers_of_the_same_software_version() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    for id in ["s3", "s4"] {
        picker.upsert(ServerInfo { software_version: "v2".into(), ..server_info(id, "local") });
    }
    for shared_id in 10..40 {
        let prompt = prompt(shared_id);
        for random in 0..10 {
            let choice = choose(&picker, Some(&prompt), &[], random);
            let others = if choice.software_version == "v1" { ["s1", "s2"] } else { ["s3", "s4"] };
            let from = choice.copy_from.expect("no server to copy from");
            assert!(others.iter().any(|id| *id != choice.id && address(id) == from), "{choice:?}");
        }
    }
}

#[test]
fn a_server_that_is_alone_with_its_software_version_copies_nothing() {
    let mut picker = picker(&["s1", "s2"]);
    picker.upsert(ServerInfo { software_version: "v2".into(), ..server_info("s3", "local") });
    let tried = [Name::from("s1"), Name::from("s2")];
    let choice = choose(&picker, Some(&prompt(7)), &tried, 0);
    assert_eq!((choice.id.as_str(), choice.copy_from), ("s3", None));
}
