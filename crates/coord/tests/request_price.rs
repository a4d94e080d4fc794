//! What the quarantine of whole requests costs. Prints figures for `docs/CAPACITY.md` and asserts none.

use coord::{Quarantine, QuarantineSettings, SendId, ServerRun, request_mark};
use kernel::{Millis, Name};
use std::hint::black_box;
use std::time::Instant;

const PAGE_BYTES: f64 = 4_096.0;
/// Requests of one entry, in milliseconds from one to the next (22 a second).
const PAUSE_MS: Millis = 45;
const SERVERS: u64 = 86;
/// Number of entries of which the memory is measured together.
const QUARANTINES: usize = 400;

fn mark(number: u64) -> u64 {
    let organisation = Name::from("organisation");
    request_mark("POST", "/v1/answers", Some(&organisation), &number.to_le_bytes())
}

fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("no /proc");
    let pages: f64 = statm.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("no pages");
    pages * PAGE_BYTES
}

fn servers() -> Vec<Name> {
    (0..SERVERS).map(|number| Name::from(format!("i-{number:010x}"))).collect()
}

fn quarantines() -> Vec<Quarantine> {
    let new = |_| Quarantine::new(QuarantineSettings::default(), Name::from("entry-0"));
    (0..QUARANTINES).map(new).collect()
}

#[test]
#[ignore = "measures"]
fn time_of_a_mark() {
    let organisation = Name::from("organisation");
    for (bytes, rounds) in [(0, 200_000), (800, 200_000), (12_000, 50_000), (4_000_000, 200)] {
        let body = vec![b'x'; bytes];
        let started = Instant::now();
        for _ in 0..rounds {
            let body = black_box(body.as_slice());
            black_box(request_mark("POST", "/v1/answers", Some(&organisation), body));
        }
        let took_us = started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        println!("request_mark, body of {bytes} B: {took_us:.3} us");
    }
}

#[test]
#[ignore = "measures"]
fn memory_of_open_requests_and_survivals() {
    let servers = servers();
    // Freed memory would be used again, unseen.
    let mut kept_alive = Vec::new();
    for open in [22, 110, 220, 1_000] {
        let mut quarantines = quarantines();
        let before = resident_bytes();
        let mut sent: Vec<Vec<SendId>> = Vec::new();
        for quarantine in &mut quarantines {
            let server = |number: u64| &servers[(number % SERVERS) as usize];
            let send = |number| quarantine.record_sent(server(number), vec![mark(number)], 1_000);
            sent.push((0..open).map(send).collect());
        }
        let ids = (open as usize * size_of::<SendId>()) as f64;
        let each = (resident_bytes() - before) / QUARANTINES as f64 - ids;
        println!("{open} open requests: {:.0} B an entry, {:.0} B each", each, each / open as f64);
        kept_alive.push((quarantines, sent));
    }
    let mut quarantines = quarantines();
    let before = resident_bytes();
    for quarantine in &mut quarantines {
        for number in 0..40_000 / PAUSE_MS {
            let now = number * PAUSE_MS;
            let id = quarantine.record_sent(&servers[0], vec![mark(number)], now);
            quarantine.record_completion(id, now);
            quarantine.update(now);
        }
    }
    let each = (resident_bytes() - before) / QUARANTINES as f64;
    let kept = 30_000 / PAUSE_MS;
    println!("{kept} survivals of 30 s: {each:.0} B an entry, {:.0} B each", each / kept as f64);
}

#[test]
#[ignore = "measures"]
fn bytes_of_news_of_a_crash() {
    for requests in [0, 1, 24] {
        let mut quarantine = Quarantine::new(QuarantineSettings::default(), Name::from("entry-0"));
        let server = &servers()[0];
        let run = ServerRun { server: server.clone(), started_unix_ms: 1_796_000_000_000 };
        for number in 0..requests {
            quarantine.record_sent(server, vec![mark(number)], 10_000 + 10 * number);
        }
        quarantine.record_crash(run, 10_300);
        let crash = encoded_bytes(&quarantine);
        for number in 0..requests {
            let id = quarantine.record_sent(server, vec![mark(number)], 10_000);
            quarantine.record_completion(id, 10_200);
        }
        let survived = encoded_bytes(&quarantine);
        println!("crash with {requests} requests: {crash} B; all survived elsewhere: {survived} B");
    }
}

fn encoded_bytes(quarantine: &Quarantine) -> usize {
    serde_json::to_vec(&quarantine.news(11_300)).expect("not encoded").len()
}
