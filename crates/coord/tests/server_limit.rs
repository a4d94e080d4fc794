//! Limits that servers state, kept by all entries together.

use coord::{ServerLimitNews, ServerLimitSettings, ServerLimits};
use kernel::Name;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn names(count: usize) -> Vec<Name> {
    (0..count).map(|number| Name::from(format!("e{number}"))).collect()
}

fn limits(entries: usize) -> Vec<ServerLimits> {
    let names = names(entries);
    let start = |name: &Name| start(name, &names, 0);
    names.iter().map(start).collect()
}

fn start(name: &Name, entries: &[Name], now: u64) -> ServerLimits {
    let mut limits = ServerLimits::new(ServerLimitSettings::default(), name.clone());
    limits.set_entries(entries.to_vec(), now);
    limits
}

fn stated(per_s: f64, at: u64) -> ServerLimitNews {
    ServerLimitNews { per_s: Some(per_s), at }
}

/// Sends a request if the entry may, and returns whether it did.
fn send(limits: &mut ServerLimits, server: &Name, now: u64) -> bool {
    let allowed = !limits.exhausted(now).contains(server);
    if allowed {
        limits.record_sent(server, now);
    }
    allowed
}

/// Every entry tells another one its news of a server; half of the messages are lost.
fn tell_one_other(all: &mut [ServerLimits], server: &Name, rng: &mut StdRng, now: u64) {
    for from in 0..all.len() {
        let news = all[from].news().next().map(|(_, news)| news);
        let to = rng.random_range(0..all.len());
        if let Some(news) = news.filter(|_| rng.random_bool(0.5)) {
            // Only entries that know of the limit are held to it.
            if all[to].news().next().is_some() {
                all[to].record(server, news, now);
            }
        }
    }
}

/// Returns the largest number of requests in any window.
fn most(sent: &[u64]) -> usize {
    let window_ms = ServerLimitSettings::default().window_ms;
    let in_window =
        |start: &u64| sent.iter().filter(|at| (*start..=start + window_ms).contains(at)).count();
    sent.iter().map(in_window).max().unwrap_or(0)
}

/// Number of requests that a window allows.
fn allowed(per_s: f64) -> f64 {
    let settings = ServerLimitSettings::default();
    per_s * settings.window_ms as f64 / 1000.0 * (1.0 + settings.overshoot) + settings.slack
}

#[test]
fn all_entries_together_keep_a_limit_and_use_it() {
    let server = Name::from("s");
    for (entries, per_s) in
        [(1, 1.0), (7, 0.2), (7, 1.0), (9, 1.5), (9, 20.0), (85, 1.0), (400, 8.0)]
    {
        let mut all = limits(entries);
        let mut sent = Vec::new();
        for now in (0..20_000).step_by(20) {
            for limits in &mut all {
                if now == 0 {
                    limits.record(&server, stated(per_s, 1), 0);
                }
                if send(limits, &server, now) {
                    sent.push(now);
                }
            }
        }
        let most = most(&sent) as f64;
        assert!(most <= allowed(per_s), "{entries} entries, {per_s}: {most} in a window");
        let used = sent.len() as f64 / 20.0;
        assert!(used > 0.7 * per_s, "{entries} entries, {per_s}: {used} a second");
    }
}

#[test]
fn no_window_exceeds_a_limit_when_entries_restart_and_hear_of_it_at_different_times() {
    const ENTRIES: usize = 7;
    const LIMIT_PER_S: f64 = 1.5;
    let server = Name::from("s");
    let names = names(ENTRIES);
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut all = limits(ENTRIES);
        let mut sent = Vec::new();
        for now in (0_u64..30_000).step_by(50) {
            for (name, limits) in names.iter().zip(&mut all) {
                if rng.random_bool(0.005) {
                    *limits = start(name, &names, now);
                }
                let knows = limits.news().next().is_some();
                // An entry that has not been told is not held to the limit.
                if !knows {
                    if rng.random_bool(0.2) {
                        limits.record(&server, stated(LIMIT_PER_S, now + 1), now);
                    }
                } else if rng.random_bool(0.5) && send(limits, &server, now) {
                    sent.push(now);
                    limits.record(&server, stated(LIMIT_PER_S, now + 1), now);
                }
            }
            tell_one_other(&mut all, &server, &mut rng, now);
        }
        let most = most(&sent) as f64;
        assert!(most <= allowed(LIMIT_PER_S), "seed {seed}: {most} in a window");
    }
}

/// Guards against a model that cannot fail: entries that each keep the whole limit exceed it.
#[test]
fn entries_that_know_of_no_others_exceed_a_limit() {
    let server = Name::from("s");
    let mut sent = Vec::new();
    for name in names(7) {
        let mut limits = start(&name, std::slice::from_ref(&name), 0);
        limits.record(&server, stated(1.0, 1), 0);
        sent.extend((0..20_000).step_by(20).filter(|now| send(&mut limits, &server, *now)));
    }
    assert!(most(&sent) as f64 > allowed(1.0));
}

#[test]
fn the_end_of_a_limit_is_found_even_if_only_one_entry_has_requests() {
    let server = Name::from("s");
    for mut limits in limits(9) {
        limits.record(&server, stated(1.0, 1), 0);
        let sent = (0..120_000).step_by(20).filter(|now| send(&mut limits, &server, *now)).count();
        assert!(sent > 0);
    }
}

#[test]
fn silent_holders_are_not_replaced_by_more_requests_than_a_window_allows() {
    let server = Name::from("s");
    let mut all = limits(85);
    for limits in &mut all {
        limits.record(&server, stated(1.0, 1), 0);
    }
    // The responses are lost, so that no entry hears any news.
    let mut sent = Vec::new();
    for now in (0..600_000).step_by(100) {
        sent.extend(all.iter_mut().filter_map(|limits| send(limits, &server, now).then_some(now)));
    }
    assert!(most(&sent) as f64 <= allowed(1.0), "{}", most(&sent));
}

#[test]
fn an_entry_that_is_not_registered_sends_nothing_to_a_limited_server() {
    let server = Name::from("s");
    let mut limits = start(&Name::from("e0"), &[], 0);
    assert!(send(&mut limits, &server, 0));
    limits.record(&server, stated(100.0, 1), 0);
    assert!(!send(&mut limits, &server, 60_000));
}

#[test]
fn a_server_that_states_no_limit_any_more_is_free_again() {
    let server = Name::from("s");
    let mut limits = limits(1).remove(0);
    assert!(limits.record(&server, stated(0.0, 100), 100));
    assert!(!send(&mut limits, &server, 200));
    let lifted = |at| ServerLimitNews { per_s: None, at };
    assert!(!limits.record(&server, lifted(90), 200), "an earlier response lifted the limit");
    assert!(!send(&mut limits, &server, 200));
    assert!(limits.record(&server, lifted(200), 250));
    assert!(send(&mut limits, &server, 250));
    assert!(!limits.record(&server, stated(0.0, 150), 300), "old news set the limit again");
    assert!(limits.record(&server, stated(1.0, 60_000), 60_000));
    assert!(!send(&mut limits, &server, 60_000), "requests were saved up without a limit");
}

#[test]
fn a_server_that_states_a_limit_of_0_still_gets_a_request_now_and_then() {
    let server = Name::from("s");
    let mut all = limits(9);
    let mut sent = 0;
    for limits in &mut all {
        limits.record(&server, stated(0.0, 1), 0);
    }
    for now in (0..60_000).step_by(20) {
        let senders = all.iter_mut().filter_map(|limits| send(limits, &server, now).then_some(()));
        let count = senders.count();
        if count > 0 {
            sent += count;
            for limits in &mut all {
                limits.record(&server, stated(0.0, now), now);
            }
        }
    }
    assert!((5..=20).contains(&sent), "{sent}");
}

#[test]
fn a_server_that_was_removed_has_no_limit() {
    let server = Name::from("s");
    let mut limits = limits(1).remove(0);
    limits.record(&server, stated(0.0, 1), 1);
    limits.remove(&server);
    assert!(send(&mut limits, &server, 2));
    assert_eq!(limits.news().count(), 0);
}
