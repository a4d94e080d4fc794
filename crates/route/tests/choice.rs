//! Tests of the choice of a backend server.

use conf::Priority;
use kernel::Name;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use route::{ChoiceReason, LoadReport, Policy, Pool, Requirements, Server};
use std::net::SocketAddr;

fn server(name: &str, price_per_hour: f64, reclaimable: bool) -> Server {
    Server {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "howrah".into(),
        price_per_hour,
        reclaimable,
        is_model: true,
        serves: vec!["m".into()],
        leaving: false,
        report: LoadReport::default(),
        reported_at: 0,
        local_requests: 0,
        sent_since_report: 0,
        prompt_tokens_since_report: 0,
        failures: 0,
        backoff_until: 0,
    }
}

fn requirements(prefix: u64, random: u64) -> Requirements<'static> {
    Requirements {
        serves: "m",
        prefix,
        prefix_tokens: 1_000,
        prompt_tokens: 1_100,
        answer_tokens: 100,
        first_token_ms: 350.0,
        between_tokens_ms: 40.0,
        left_ms: 30_000.0,
        priority: Priority::Normal,
        avoid: &[],
        random,
    }
}

fn pool(servers: Vec<Server>) -> Pool {
    let mut pool = Pool::new(Policy::default());
    pool.update(servers);
    pool
}

fn report(running: u32) -> LoadReport {
    LoadReport { running, ..LoadReport::default() }
}

fn chosen_servers(pool: &mut Pool, count: u64) -> Vec<Name> {
    let choose = |random| pool.choose(&requirements(random + 1, random << 32 | random), 0);
    (0..count).filter_map(choose).map(|choice| choice.server).collect()
}

#[test]
fn uses_only_the_cheapest_server_when_all_are_idle() {
    let servers = vec![server("a", 2.0, true), server("b", 1.0, true), server("c", 3.0, true)];
    assert!(chosen_servers(&mut pool(servers), 20).iter().all(|name| name == "b"));
}

#[test]
fn uses_a_second_server_when_demand_exceeds_the_fill_of_the_first() {
    let mut pool = pool(vec![server("a", 2.0, true), server("b", 1.0, true)]);
    pool.record_report("b", report(14), 10_000);
    let chosen: Vec<Name> = (0..50)
        .filter_map(|random| pool.choose(&requirements(random + 1, random), 20_000))
        .map(|choice| choice.server)
        .collect();
    assert!(chosen.iter().any(|name| name == "a"));
}

#[test]
fn prompts_with_one_prefix_go_to_one_server() {
    let mut pool = pool((0..8).map(|n| server(&format!("s{n}"), 1.0, true)).collect());
    for n in 0..8 {
        pool.record_report(&format!("s{n}"), report(8), 0);
    }
    let first = pool.choose(&requirements(77, 1), 5_000).expect("a server can be chosen");
    assert_eq!(first.reason, ChoiceReason::Cached);
    for random in 0..20 {
        let again = pool.choose(&requirements(77, random), 5_000).expect("a server can be chosen");
        assert_eq!(again.server, first.server);
    }
}

#[test]
fn prompts_of_an_overloaded_server_go_to_other_servers() {
    let mut pool = pool((0..4).map(|n| server(&format!("s{n}"), 1.0, true)).collect());
    for n in 0..4 {
        pool.record_report(&format!("s{n}"), report(9), 0);
    }
    let cached_at =
        pool.choose(&requirements(77, 1), 5_000).expect("a server can be chosen").server;
    pool.record_report(&cached_at, report(31), 5_000);
    let other = pool.choose(&requirements(77, 1), 5_001).expect("a server can be chosen").server;
    assert_ne!(other, cached_at);
}

#[test]
fn a_request_with_many_tokens_goes_to_a_server_that_cannot_be_reclaimed() {
    let mut pool = pool(vec![server("cheap", 1.0, true), server("on-demand", 3.0, false)]);
    let long = Requirements { prompt_tokens: 2_000, answer_tokens: 8_000, ..requirements(1, 1) };
    assert_eq!(pool.choose(&long, 0).expect("a server can be chosen").server, "on-demand");
    assert_eq!(
        pool.choose(&requirements(1, 1), 0).expect("a server can be chosen").server,
        "cheap"
    );
}

#[test]
fn entries_with_the_same_stale_reports_spread_over_servers() {
    let servers = || (0..4).map(|n| server(&format!("s{n}"), 1.0, true)).collect::<Vec<_>>();
    let mut pools: Vec<Pool> = (0..8).map(|_| pool(servers())).collect();
    let mut load = [0_u32; 4];
    for (entry, pool) in pools.iter_mut().enumerate() {
        pool.set_entries(8);
        for round in 0..12 {
            let random = (entry as u64 * 12 + round + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let choice = pool
                .choose(&requirements(random, random), 10_000 * round)
                .expect("a server can be chosen");
            pool.record_sent(&choice.server, random, 100);
            load[choice.server[1..].parse::<usize>().expect("server name ends in a number")] += 1;
        }
    }
    assert!(load.iter().all(|requests| *requests <= 48), "{load:?}");
}

fn proptest_config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(6);
    ProptestConfig { rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn never_chooses_a_leaving_avoided_or_failed_server(
        leaving in 0_usize..4, failed in 0_usize..4, avoided in 0_usize..4, random: u64,
    ) {
        let mut pool = pool((0..4).map(|n| server(&format!("s{n}"), 1.0, n % 2 == 0)).collect());
        pool.mark_leaving(&format!("s{leaving}"));
        pool.record_ended(&format!("s{failed}"), true, 100);
        let avoid = [Name::from(format!("s{avoided}"))];
        let requirements = Requirements { avoid: &avoid, ..requirements(random | 1, random) };
        if let Some(choice) = pool.choose(&requirements, 101) {
            for excluded in [leaving, failed, avoided] {
                prop_assert_ne!(choice.server.as_str(), format!("s{excluded}"));
            }
        }
    }
}
