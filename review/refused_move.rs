//! A server that leaves has no room elsewhere for a run that it was told to move.

use crate::engine::{Engine, EngineSettings, Engines};
use crate::world::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};

const EVENTS: u32 = 60;
const STREAMS: usize = 6;

const CONFIG: &str = r#"{"version":7,
"routes":[{"name":"r-recall","hostname":"app.example","prefix":"/recall/","kind":"streaming","timeoutMs":30000,"targetLatencyMs":1200,"priority":1,"service":"pool","maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapAimMs":800}],
"services":[{"name":"pool","healthPath":"/healthz","maxConns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":3200,"moves":true}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"tenants":[{"name":"t-one","apiKeys":["key-one"]}]}"#;

pub fn run() -> i32 {
    let (store, store_address) = Store::start();
    let cloud = start_cloud();
    store.write("op/config", CONFIG);
    let engines: Engines = Arc::default();
    // Each has room for two of the six requests.
    let settings = EngineSettings { kv_capacity: 3_200, events: EVENTS, event_ms: 100 };
    let servers: Vec<Arc<Engine>> =
        (1..=3).map(|number| Engine::start(number, settings, &engines)).collect();
    for server in &servers {
        server.register(&store, "pool", "ready", 1);
    }
    let entries: Vec<Entry> =
        (1..=2).map(|number| Entry::start(number, store_address, cloud, &[])).collect();
    entries.iter().for_each(Entry::wait_ready);
    sleep_ms(1_500);
    let fronts = resolve(entries[0].directory);
    record(&format!("directory: {fronts:?}"));
    if fronts.is_empty() {
        return 2;
    }
    let answers: Arc<Mutex<Vec<(String, Option<Answer>)>>> = Arc::default();
    let consumers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let (answers, front) = (answers.clone(), fronts[number % fronts.len()]);
            std::thread::spawn(move || {
                let id = format!("{:016x}", 0xa100 + number);
                let request = format!(
                    "POST /recall/{number} HTTP/1.1\r\nHost: app.example\r\nX-Fennelfold-Attempt-Id: {id}\r\n\
                     X-Fennelfold-Model: m\r\nX-Fennelfold-Token-Usage: 1460,80\r\n\
                     X-Fennelfold-Prompt-Prefix: {number:x}c1e07a2:1460\r\nX-Fennelfold-Deadline-Ms: 25000\r\n\
                     X-Fennelfold-Key: key-one\r\nContent-Length: 2\r\n\r\n"
                );
                record(&format!("consumer: sends {id}"));
                let answer = send(front, &request, b"{}", |_| {});
                answers.lock().unwrap().push((id, answer));
            })
        })
        .collect();
    sleep_ms(1_500);
    let leaving = &servers[0];
    for server in &servers {
        record(&format!("{} has {} runs", server.id, server.run_count()));
    }
    if has_trouble() {
        record(&format!("{} reports that it drains", leaving.id));
        leaving.register(&store, "pool", "draining", 2);
    }
    consumers.into_iter().for_each(|consumer| drop(consumer.join()));
    let mut broken = 0;
    for (id, answer) in answers.lock().unwrap().iter() {
        let Some(answer) = answer else {
            record(&format!("consumer: {id} got no answer"));
            continue;
        };
        let text = String::from_utf8_lossy(&answer.body);
        let last = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: "))
            .next_back()
            .unwrap_or("0")
            .to_owned();
        let ends_early = answer.status == 200 && answer.is_complete && last != EVENTS.to_string();
        broken += usize::from(ends_early);
        record(&format!(
            "consumer: {id} got {}, last event {last} of {EVENTS}, {}{}",
            answer.status,
            if answer.is_complete { "ended as complete" } else { "cut" },
            if ends_early { "  <-- ORDER broken" } else { "" }
        ));
    }
    if has_trouble() && leaving.moves.load(Ordering::SeqCst) == 0 {
        record("no run was moved: the case did not run");
        return 2;
    }
    record(&format!("streams that ended as complete before their last piece: {broken}"));
    i32::from(broken > 0)
}
