//! An answer of the store breaks off and its connection stays silent, while new connections work.

use crate::plain::Plain;
use crate::world::*;

/// Time after which a configuration binds all machines: `configApplyMs` and `maxSkewMs`.
const BOUND_MS: u64 = 2_000 + 5_000;
const WATCHED_MS: u64 = 30_000;

fn config(version: u32, service: &str) -> String {
    format!(
        r#"{{"version":{version},
"routes":[{{"name":"r-start","hostname":"app.example","prefix":"/start/","kind":"idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"{service}","maxAttempts":2,"public":true}},
{{"name":"r-key","hostname":"app.example","prefix":"/key/","kind":"idempotent","timeoutMs":600,"targetLatencyMs":100,"priority":2,"service":"{service}","maxAttempts":2,"public":false}}],
"services":[{{"name":"alpha","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}},{{"name":"beta","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000}},
"tenants":[{{"name":"t-one","apiKeys":["key-one"]}}]}}"#
    )
}

pub fn run() -> i32 {
    let (store, store_address) = Store::start();
    let cloud = start_cloud();
    store.write("op/config", &config(7, "alpha"));
    let alpha = Plain::start(1, "alpha", &store, b"alpha".to_vec());
    let beta = Plain::start(2, "beta", &store, b"beta".to_vec());
    let entries: Vec<Entry> =
        (1..=2).map(|number| Entry::start(number, store_address, cloud, &[])).collect();
    entries.iter().for_each(Entry::wait_ready);
    sleep_ms(3_000);
    if has_trouble() {
        store.silence_next_read("op/config");
        while store.is_silence_pending() {
            sleep_ms(20);
        }
    }
    sleep_ms(1_000);
    store.write("op/config", &config(9, "beta"));
    let confirmed = now_ms();
    record("operator: version 9 is confirmed; it moves both routes from alpha to beta");
    let mut number = 0;
    let mut stale = 0;
    let mut unserved = [0; 2];
    let mut asked = [0; 2];
    while now_ms() < confirmed + WATCHED_MS {
        for (at, entry) in entries.iter().enumerate() {
            for path in ["start", "key"] {
                number += 1;
                let id = format!("{:016x}", 0xc0000 + number);
                let request = format!(
                    "GET /{path}/x HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
                     X-Fennelfold-Deadline-Ms: 600\r\nX-Fennelfold-Key: key-one\r\nConnection: close\r\n\r\n"
                );
                let sent = now_ms();
                let answer = send(entry.front, &request, b"", |_| {});
                let is_bound = sent > confirmed + BOUND_MS;
                let ran_old = alpha.runs.lock().unwrap().iter().any(|(run, _)| *run == id);
                let ran_new = beta.runs.lock().unwrap().iter().any(|(run, _)| *run == id);
                let status = answer.map_or(0, |answer| answer.status);
                record(&format!(
                    "consumer: {id} on /{path}/ at {}, {} ms after the confirmation: {status}, run by {}{}",
                    entry.name,
                    sent - confirmed,
                    if ran_old {
                        "alpha"
                    } else if ran_new {
                        "beta"
                    } else {
                        "none"
                    },
                    if ran_old && is_bound { "  <-- CONFIG broken" } else { "" }
                ));
                stale += usize::from(ran_old && is_bound);
                if is_bound {
                    asked[at] += 1;
                    unserved[at] += usize::from(status != 200);
                }
            }
        }
        sleep_ms(500);
    }
    for (at, entry) in entries.iter().enumerate() {
        record(&format!(
            "{}: {} of {} requests after the bound were not served; ready: {}",
            entry.name,
            unserved[at],
            asked[at],
            entry.is_ready()
        ));
    }
    record(&format!("requests sent after the bound that the old service ran: {stale}"));
    i32::from(stale > 0)
}
