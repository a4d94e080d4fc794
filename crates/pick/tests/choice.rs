//! Which server takes a request; each test names the load that it replays.

use kernel::Name;
use pick::{
    ChoiceReason, LatencyModel, Load, Outcome, Picker, Prompt, PromptPart, Requirements, ServerInfo,
};
use std::collections::BTreeMap;

fn server_info(id: &str, data_centre: &str) -> ServerInfo {
    ServerInfo {
        id: id.into(),
        started_unix_ms: 1,
        service: "pool".into(),
        address: "127.0.0.1:9".parse().expect("an address"),
        data_centre: data_centre.into(),
        slots: 64,
        leaving: false,
        reclaimable: false,
        reclaimed_in_ms: None,
        warmup_ms: 0,
    }
}

fn picker(ids: &[&str]) -> Picker {
    let mut picker = Picker::new(LatencyModel::default());
    for id in ids {
        picker.upsert(server_info(id, "here"));
    }
    picker
}

fn prompt(shared: u64) -> Prompt {
    Prompt {
        parts: vec![
            PromptPart { id: 1, tokens: 500 },
            PromptPart { id: shared, tokens: 4_800 },
            PromptPart { id: 99, tokens: 900 },
        ],
        tokens: 6_200,
        answer_tokens: 300,
    }
}

fn choose(picker: &Picker, prompt: Option<&Prompt>, tried: &[Name], random: u64) -> pick::Choice {
    let (service, here) = (Name::from("pool"), Name::from("here"));
    let requirements =
        Requirements { service: &service, prompt, data_centre: &here, tried, random };
    picker.choose(&requirements, 0).expect("there are servers")
}

#[test]
fn prompts_about_one_subject_go_where_it_was_read_from_every_entry() {
    let (a, b) = (picker(&["s1", "s2", "s3", "s4"]), picker(&["s4", "s3", "s2", "s1"]));
    for subject in 10..40 {
        let prompt = prompt(subject);
        let (one, other) = (choose(&a, Some(&prompt), &[], 1), choose(&b, Some(&prompt), &[], 2));
        assert_eq!(one.reason, ChoiceReason::Cached);
        let keepers: Vec<Name> =
            (0..64).map(|random| choose(&a, Some(&prompt), &[], random).id).collect();
        assert!(keepers.contains(&other.id), "subject {subject}");
    }
}

#[test]
fn a_hot_subject_spills_over_to_other_servers() {
    let mut picker = picker(&["s1", "s2", "s3", "s4"]);
    let prompt = prompt(10);
    let mut used: BTreeMap<Name, u32> = BTreeMap::new();
    for random in 0..200 {
        let choice = choose(&picker, Some(&prompt), &[], random);
        picker.record_sent(&choice.id, choice.uncached_tokens, Some(&prompt));
        *used.entry(choice.id).or_default() += 1;
    }
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn what_other_entries_have_open_counts() {
    let mut picker = picker(&["s1", "s2"]);
    picker.set_remote_loads(
        &[(Name::from("s1"), Load { open: 40, pending_prompt_tokens: 90_000 })].into(),
    );
    for random in 0..20 {
        assert_eq!(choose(&picker, Some(&Prompt::default()), &[], random).id, "s2");
    }
}

#[test]
fn equal_servers_share_a_burst_of_plain_requests() {
    let mut picker = picker(&["s1", "s2", "s3"]);
    let mut used: BTreeMap<Name, u32> = BTreeMap::new();
    for random in 0..90 {
        let choice = choose(&picker, None, &[], random);
        picker.record_sent(&choice.id, 0, None);
        *used.entry(choice.id).or_default() += 1;
    }
    assert!(used.values().all(|count| *count == 30), "{used:?}");
}

#[test]
fn an_idle_server_nearby_goes_before_one_far_away() {
    let mut picker = picker(&["near"]);
    picker.upsert(server_info("far", "there"));
    assert!((0..20).all(|random| choose(&picker, None, &[], random).id == "near"));
}

#[test]
fn a_leaving_server_and_one_that_was_tried_take_nothing() {
    let mut picker = picker(&["s1", "s2"]);
    picker.upsert(ServerInfo { leaving: true, ..server_info("s1", "here") });
    let (service, here) = (Name::from("pool"), Name::from("here"));
    let tried = [Name::from("s2")];
    let requirements = Requirements {
        service: &service,
        prompt: None,
        data_centre: &here,
        tried: &tried,
        random: 0,
    };
    assert_eq!(picker.choose(&requirements, 0), None);
}

#[test]
fn a_server_that_fails_much_more_than_its_service_gets_nothing_until_that_is_long_ago() {
    let mut picker = picker(&["good", "grey"]);
    for _ in 0..6 {
        picker.record_outcome("grey", Outcome::Failed, 0);
        picker.record_outcome("good", Outcome::Answered, 0);
    }
    assert!((0..20).all(|random| choose(&picker, None, &[], random).id == "good"));
    let (service, here) = (Name::from("pool"), Name::from("here"));
    let later = |random| {
        let requirements = Requirements {
            service: &service,
            prompt: None,
            data_centre: &here,
            tried: &[],
            random,
        };
        picker.choose(&requirements, 30_000).expect("there are servers").id
    };
    assert!((0..20).any(|random| later(random) == "grey"), "it is tried again");
}

#[test]
fn servers_that_all_fail_alike_are_all_used() {
    let mut picker = picker(&["s1", "s2"]);
    for id in ["s1", "s2"] {
        for _ in 0..3 {
            picker.record_outcome(id, Outcome::Failed, 0);
            picker.record_outcome(id, Outcome::Answered, 0);
        }
    }
    let used: Vec<Name> = (0..40).map(|random| choose(&picker, None, &[], random).id).collect();
    assert!(used.contains(&"s1".into()) && used.contains(&"s2".into()));
}

#[test]
fn an_unreachable_server_rests_and_is_the_last_resort() {
    let mut picker = picker(&["s1", "s2"]);
    picker.record_outcome("s1", Outcome::Unreachable, 0);
    assert!((0..20).all(|random| choose(&picker, None, &[], random).id == "s2"));
    let last = choose(&picker, None, &[Name::from("s2")], 0);
    assert_eq!((last.id.as_str(), last.reason), ("s1", ChoiceReason::LastResort));
}

#[test]
fn a_server_that_started_again_under_its_name_holds_nothing() {
    let mut picker = picker(&["s1"]);
    picker.record_sent(&"s1".into(), 100, None);
    picker.upsert(ServerInfo { started_unix_ms: 2, ..server_info("s1", "here") });
    assert_eq!(picker.get("s1").expect("it is listed").load(), Load::default());
}
