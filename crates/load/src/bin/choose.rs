//! Measures the time of one choice of a server, by the number of servers.

use route::{LoadReport, Policy, Pool, Requirements, Server};
use std::net::SocketAddr;
use std::time::Instant;

/// Choices at each size.
const CHOICES: u64 = 20_000;

fn main() {
    for servers in [18, 86, 600] {
        let mut pool = Pool::new(Policy::default());
        pool.set_entries(8);
        pool.update((0..servers).map(server).collect());
        for number in 0..servers {
            let report = LoadReport { running: 8, ..LoadReport::default() };
            pool.record_report(&format!("server-{number}"), report, 0);
        }
        let started = Instant::now();
        for number in 0..CHOICES {
            if let Some(choice) = pool.choose(&wanted(number), number) {
                pool.record_sent(&choice.server, number, 100);
                pool.record_ended(&choice.server, false, number);
            }
        }
        let us = started.elapsed().as_secs_f64() * 1e6 / CHOICES as f64;
        println!("servers={servers} choice_us={us:.2}");
    }
}

fn server(number: usize) -> Server {
    Server {
        name: format!("server-{number}").into(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "north".into(),
        price_per_hour: 1.0 + (number % 4) as f64 / 10.0,
        reclaimable: !number.is_multiple_of(5),
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

fn wanted(number: u64) -> Requirements<'static> {
    Requirements {
        serves: "m",
        prefix: number | 1,
        prefix_tokens: 1_000,
        prompt_tokens: 1_100,
        answer_tokens: 100,
        first_token_ms: 350.0,
        between_tokens_ms: 40.0,
        left_ms: 30_000.0,
        priority: conf::Priority::Normal,
        avoid: &[],
        random: number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    }
}
