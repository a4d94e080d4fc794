//! Quarantine of whole requests under which servers crash.

#[path = "crashing_requests/model.rs"]
mod model;

use coord::{
    Quarantine, QuarantineChange, QuarantineCheck, QuarantineSettings, SendId, ServerRun,
    part_mark, request_mark,
};
use kernel::{Millis, Name};
use model::{Day, DaySettings, Restarts};

fn quarantine(name: &str) -> Quarantine {
    let mut quarantine = Quarantine::new(QuarantineSettings::default(), Name::from(name));
    quarantine.set_entries(vec![Name::from(name)]);
    quarantine
}

fn run(number: u64) -> ServerRun {
    ServerRun { server: Name::from(format!("i-{number}")), started_unix_ms: 1 }
}

/// Returns the mark of requests with this body.
fn mark(body: &str) -> u64 {
    request_mark("POST", "/calls", Some(&Name::from("caller")), body.as_bytes())
}

fn send(quarantine: &mut Quarantine, server: u64, mark: u64, at: Millis) -> SendId {
    quarantine.record_sent(&run(server).server, vec![mark], at)
}

/// Sends requests with these marks to a server, which crashes after 20 ms.
fn crash_under(quarantine: &mut Quarantine, server: u64, marks: &[u64], at: Millis) {
    for mark in marks {
        send(quarantine, server, *mark, at);
    }
    quarantine.record_crash(run(server), at + 20);
    quarantine.update(at + 20);
}

/// Lets a server complete the answer to a request and live on; returns what changed.
fn survive(quarantine: &mut Quarantine, mark: u64, at: Millis) -> Vec<QuarantineChange> {
    let sent = send(quarantine, 99, mark, at);
    quarantine.record_head(sent, at);
    quarantine.record_completion(sent, at);
    quarantine.update(at + QuarantineSettings::default().settle_ms + 1)
}

/// Passes the news of one entry on to another.
fn tell(from: &Quarantine, to: &mut Quarantine, now: Millis) {
    to.record_news(from.news(now), now);
    to.update(now);
}

fn is_allowed(quarantine: &mut Quarantine, mark: u64, now: Millis) -> bool {
    quarantine.check([mark].into_iter(), now) == QuarantineCheck::Allowed
}

#[test]
fn a_request_is_held_after_three_crashes_before_its_answer_began() {
    let mut quarantine = quarantine("a");
    for number in 0..3 {
        let at = 10_000 + 100 * number;
        assert!(is_allowed(&mut quarantine, mark("bad"), at));
        crash_under(&mut quarantine, number, &[mark("bad")], at);
    }
    assert!(!is_allowed(&mut quarantine, mark("bad"), 11_000));
    assert!(is_allowed(&mut quarantine, mark("sound"), 11_000));
}

#[test]
fn a_request_is_held_instead_of_the_parts_of_its_prompt() {
    let mut quarantine = quarantine("a");
    let parts = [part_mark(1), part_mark(2)];
    for number in 0..3 {
        let at = 10_000 + 500 * number;
        let answered = quarantine.record_sent(&run(number).server, parts.to_vec(), at);
        quarantine.record_head(answered, at);
        crash_under(&mut quarantine, number, &[mark("bad")], at);
    }
    assert!(!is_allowed(&mut quarantine, mark("bad"), 12_000));
    assert!(parts.iter().all(|part| is_allowed(&mut quarantine, *part, 12_000)));
}

#[test]
fn a_completed_answer_clears_a_request_of_earlier_crashes() {
    let mut quarantine = quarantine("a");
    for number in 0..2 {
        crash_under(&mut quarantine, number, &[mark("sound")], 10_000 + 100 * number);
    }
    survive(&mut quarantine, mark("sound"), 11_000);
    for number in 2..4 {
        crash_under(&mut quarantine, number, &[mark("sound")], 12_000 + 100 * number);
    }
    assert!(is_allowed(&mut quarantine, mark("sound"), 13_000));
}

#[test]
fn a_completed_answer_does_not_protect_a_request_from_later_crashes() {
    let mut quarantine = quarantine("a");
    survive(&mut quarantine, mark("bad"), 9_000);
    for number in 0..20 {
        crash_under(&mut quarantine, number, &[mark("bad")], 10_000 + 500 * number);
    }
    assert!(!is_allowed(&mut quarantine, mark("bad"), 20_500));
}

/// Lets servers that have a request crash at this interval; returns whether it is held.
fn is_held_after_crashes(quarantine: &mut Quarantine, count: u64, apart_ms: Millis) -> bool {
    for number in 0..count {
        send(quarantine, number, mark("bad"), 10_000);
    }
    for number in 0..count {
        quarantine.record_crash(run(number), 10_050 + apart_ms * number);
    }
    quarantine.update(11_000);
    !is_allowed(quarantine, mark("bad"), 11_000)
}

#[test]
fn crashes_of_servers_that_had_copies_of_a_request_count_one_by_one() {
    for apart_ms in [0, 10, 30] {
        assert!(is_held_after_crashes(&mut quarantine("a"), 3, apart_ms), "{apart_ms} ms");
        assert!(!is_held_after_crashes(&mut quarantine("a"), 2, apart_ms), "{apart_ms} ms");
    }
}

#[test]
fn six_crashes_30_ms_apart_hold_a_request_that_a_server_survived_lately() {
    for (count, apart_ms, is_held) in [(6, 29, false), (6, 30, true), (5, 30, false)] {
        let mut quarantine = quarantine("a");
        survive(&mut quarantine, mark("bad"), 9_900);
        let held = is_held_after_crashes(&mut quarantine, count, apart_ms);
        assert_eq!(held, is_held, "{count} crashes, {apart_ms} ms");
    }
}

#[test]
fn a_request_that_a_server_has_not_run_is_not_suspect() {
    let mut quarantine = quarantine("a");
    for number in 0..6 {
        let at = 10_000 + 100 * number;
        let sent = send(&mut quarantine, number, mark("sound"), at);
        quarantine.forget_sent(sent);
        assert!(quarantine.record_crash(run(number), at + 20).is_empty());
        quarantine.update(at + 20);
    }
    assert!(is_allowed(&mut quarantine, mark("sound"), 11_000));
}

#[test]
fn an_entry_does_not_repeat_the_requests_of_which_others_told_it() {
    let (mut seen, mut heard) = (quarantine("a"), quarantine("b"));
    send(&mut heard, 0, mark("own"), 10_000);
    crash_under(&mut seen, 0, &[mark("told")], 10_000);
    tell(&seen, &mut heard, 10_100);
    let crashes = heard.news(10_200).crashes;
    let told: Vec<u64> = crashes.iter().flat_map(|crash| crash.suspects.keys().copied()).collect();
    assert_eq!(told, [mark("own")]);
}

#[test]
fn an_entry_tells_the_24_requests_that_it_sent_last() {
    let mut quarantine = quarantine("a");
    let marks: Vec<u64> = (0..40).map(|number| mark(&format!("{number}"))).collect();
    for (at, mark) in (10_000..).zip(&marks) {
        send(&mut quarantine, 0, *mark, at);
    }
    quarantine.record_crash(run(0), 10_100);
    let news = quarantine.news(10_100);
    let told: Vec<u64> = news.crashes[0].suspects.keys().copied().collect();
    let mut last = marks[16..].to_vec();
    last.sort_unstable();
    assert_eq!(told, last);
}

#[test]
fn an_entry_that_starts_later_learns_of_a_request_in_quarantine() {
    let mut known = quarantine("a");
    for number in 0..3 {
        crash_under(&mut known, number, &[mark("bad")], 10_000 + 100 * number);
    }
    // The crashes themselves are no longer told.
    let mut new = quarantine("b");
    tell(&known, &mut new, 20_000);
    assert!(known.news(20_000).crashes.is_empty());
    assert!(!is_allowed(&mut new, mark("bad"), 20_000));
    let mut newer = quarantine("c");
    tell(&new, &mut newer, 30_000);
    assert!(!is_allowed(&mut newer, mark("bad"), 30_000));
}

#[test]
fn a_quarantine_of_a_request_ends_after_a_later_survival() {
    let mut quarantine = quarantine("a");
    for number in 0..3 {
        crash_under(&mut quarantine, number, &[mark("sound")], 10_000 + 100 * number);
    }
    assert!(!is_allowed(&mut quarantine, mark("sound"), 10_500));
    let changes = survive(&mut quarantine, mark("sound"), 11_000);
    assert_eq!(changes, [QuarantineChange::Released(mark("sound"))]);
    assert!(is_allowed(&mut quarantine, mark("sound"), 11_000));
}

#[test]
fn a_quarantine_ends_when_another_entry_tells_of_an_earlier_survival() {
    let (mut quarantine, mut other) = (quarantine("a"), quarantine("b"));
    survive(&mut other, mark("sound"), 9_900);
    for number in 0..3 {
        crash_under(&mut quarantine, number, &[mark("sound")], 10_000 + 100 * number);
    }
    assert!(!is_allowed(&mut quarantine, mark("sound"), 10_400));
    tell(&quarantine, &mut other, 10_400);
    tell(&other, &mut quarantine, 10_500);
    assert!(is_allowed(&mut quarantine, mark("sound"), 10_500));
    assert!(is_allowed(&mut other, mark("sound"), 10_500));
}

#[test]
fn a_sound_request_that_was_at_all_servers_that_crashed_under_another_is_served() {
    let mut quarantine = quarantine("a");
    survive(&mut quarantine, mark("sound"), 9_900);
    for number in 0..3 {
        let at = 10_000 + 50 * number;
        crash_under(&mut quarantine, number, &[mark("bad"), mark("sound")], at);
    }
    assert!(!is_allowed(&mut quarantine, mark("bad"), 11_000));
    assert!(is_allowed(&mut quarantine, mark("sound"), 11_000));
}

#[test]
fn a_sound_request_that_was_in_the_same_crashes_as_another_is_tried_after_a_second() {
    let mut quarantine = quarantine("a");
    for number in 0..3 {
        let at = 10_000 + 50 * number;
        crash_under(&mut quarantine, number, &[mark("bad"), mark("sound")], at);
    }
    assert!(!is_allowed(&mut quarantine, mark("sound"), 11_000));
    assert!(is_allowed(&mut quarantine, mark("sound"), 11_200));
    survive(&mut quarantine, mark("sound"), 11_200);
    quarantine.update(11_300);
    assert!(is_allowed(&mut quarantine, mark("sound"), 11_300));
    // The other one gets one trial as well, and no further one soon.
    let tried = (11_300..20_000).step_by(100);
    let allowed = tried.filter(|at| is_allowed(&mut quarantine, mark("bad"), *at)).count();
    assert!(allowed <= 1, "{allowed} trials");
}

#[test]
fn a_request_is_held_although_a_sound_one_was_at_its_servers_and_at_one_that_crashed_before() {
    let mut quarantine = quarantine("a");
    survive(&mut quarantine, mark("sound"), 9_800);
    crash_under(&mut quarantine, 0, &[mark("sound")], 9_900);
    for number in 1..4 {
        let at = 10_000 + 50 * number;
        crash_under(&mut quarantine, number, &[mark("bad"), mark("sound")], at);
    }
    assert!(!is_allowed(&mut quarantine, mark("bad"), 11_000));
}

#[test]
fn a_quarantine_goes_on_although_a_sound_request_was_at_its_servers_and_at_more() {
    let (mut quarantine, mut other) = (quarantine("a"), quarantine("b"));
    survive(&mut other, mark("sound"), 9_900);
    for number in 0..3 {
        let at = 10_000 + 50 * number;
        crash_under(&mut quarantine, number, &[mark("bad")], at);
        crash_under(&mut other, number, &[mark("sound")], at);
    }
    assert!(!is_allowed(&mut quarantine, mark("bad"), 10_200));
    crash_under(&mut other, 3, &[mark("sound")], 10_300);
    tell(&other, &mut quarantine, 10_400);
    assert!(!is_allowed(&mut quarantine, mark("bad"), 10_400));
}

/// Returns the number of seeds for each kind of day. With one, only some kinds are played.
fn seeds() -> u64 {
    std::env::var("QUARANTINE_SEEDS").map_or(1, |seeds| seeds.parse().expect("not a number"))
}

const SMALL_SERVICE: DaySettings =
    DaySettings { servers: 4, domains: 2, sound_per_s: 30.0, ..DaySettings::DEFAULT };
const LARGE_SERVICE: DaySettings = DaySettings::DEFAULT;

/// Returns the kinds of days with a service and these restarts.
fn days(service: DaySettings, restarts: &[Restarts]) -> Vec<DaySettings> {
    let is_short = seeds() == 1;
    let mut days = Vec::new();
    for crashing_per_s in [0.3, 2.0, 8.0] {
        for (copies, has_parts) in [(1, false), (3, true), (1, true), (3, false)] {
            for other_ends in [true, false] {
                for restarts in restarts.iter().copied() {
                    days.push(DaySettings {
                        crashing_per_s,
                        copies,
                        has_parts,
                        other_ends,
                        restarts,
                        cuts: restarts == Restarts::OneByOne,
                        ..service
                    });
                }
            }
        }
    }
    days.into_iter().step_by(if is_short { 5 } else { 1 }).collect()
}

/// Plays days and panics with all of them that break the rule.
fn assert_rule_holds(days: &[DaySettings]) {
    let mut broken = Vec::new();
    for day in days {
        for seed in 0..seeds() {
            let outcome = Day::play(seed, *day);
            let faults = outcome.faults();
            if !faults.is_empty() {
                broken.push(format!("seed {seed}: {faults:?}, {outcome:?}, {day:?}"));
            }
        }
    }
    let count = days.len() as u64 * seeds();
    assert!(broken.is_empty(), "{} of {count} days:\n{}", broken.len(), broken.join("\n"));
}

#[test]
fn a_large_service_survives_a_crashing_request_and_serves_sound_ones() {
    assert_rule_holds(&days(LARGE_SERVICE, &[Restarts::None]));
}

#[test]
fn a_large_service_survives_a_crashing_request_although_entries_restart() {
    let restarts = [Restarts::OneByOne, Restarts::WitnessOfThirdCrash];
    assert_rule_holds(&days(LARGE_SERVICE, &restarts));
}

#[test]
fn a_large_service_survives_a_crashing_request_after_all_entries_restart() {
    assert_rule_holds(&days(LARGE_SERVICE, &[Restarts::AllAtOnce]));
}

#[test]
fn a_small_service_survives_a_crashing_request_and_serves_sound_ones() {
    assert_rule_holds(&days(SMALL_SERVICE, &[Restarts::None]));
}

#[test]
fn a_small_service_survives_a_crashing_request_although_entries_restart() {
    let restarts = [Restarts::OneByOne, Restarts::WitnessOfThirdCrash];
    assert_rule_holds(&days(SMALL_SERVICE, &restarts));
}

#[test]
fn a_small_service_survives_a_crashing_request_after_all_entries_restart() {
    assert_rule_holds(&days(SMALL_SERVICE, &[Restarts::AllAtOnce]));
}

/// Returns the number of days, of the first `seeds`, on which the crashing request reaches servers late.
fn late_days(settings: DaySettings, seeds: u64) -> usize {
    (0..seeds).filter(|seed| Day::play(*seed, settings).late > 3).count()
}

#[test]
fn the_model_sees_servers_crash_if_entries_share_no_news() {
    // At a low rate each entry alone sees too few crashes.
    let rare = DaySettings { crashing_per_s: 0.3, ..LARGE_SERVICE };
    assert_eq!(late_days(rare, 10), 0);
    assert!(late_days(DaySettings { shares_news: false, ..rare }, 10) > 5);
}

#[test]
fn the_model_sees_servers_crash_if_three_crashes_are_not_enough() {
    let quarantine = QuarantineSettings { crashes: 30, ..QuarantineSettings::default() };
    assert_eq!(late_days(DaySettings { quarantine: Some(quarantine), ..LARGE_SERVICE }, 4), 4);
}
