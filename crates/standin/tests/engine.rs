//! The model engine: batch, priorities, cache, resume, cancel, orders and faults.

#![allow(clippy::unwrap_used, reason = "a step that fails ends its test")]

use backend::{Caches, Engine as Client, Engines, HttpEngines, Order, Orders, Tag, is_gapless};
use bytes::Bytes;
use kernel::{Code, Key, NodeId};
use serde_json::json;
use standin::Running;
use standin::engine::{Engine, Faults, Settings, blocks, expected_answer};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

const LONG: Duration = Duration::from_secs(30);

async fn start(settings: Settings) -> (Arc<Engine>, Running) {
    let engine = Engine::new(settings);
    let handling = engine.clone();
    let handler = move |req| handling.clone().handle(req);
    let running = standin::start(SocketAddr::from(([127, 0, 0, 1], 0)), handler).await.unwrap();
    (engine, running)
}

fn engines() -> HttpEngines {
    HttpEngines::new(LONG, 1 << 20)
}

fn tag(name: &str) -> Tag {
    Tag { key: Key::new("friends", name), owner: NodeId::new("entry", 1), attempt: 1 }
}

fn messages(prompt: &str) -> serde_json::Value {
    json!([{"role": "user", "content": prompt}])
}

fn body(prompt: &str, tokens: u64, priority: u8) -> Bytes {
    let messages = messages(prompt);
    let body = json!({"messages": messages, "max_tokens": tokens, "priority": priority});
    body.to_string().into()
}

/// Generates an answer, going on after the pieces that are there already.
async fn generate(at: SocketAddr, name: &str, body: &Bytes, so_far: &[String]) -> String {
    let client = Client::new(LONG);
    let generation = client.generate(at, &tag(name), body, so_far, LONG, LONG).await;
    let mut generation = generation.unwrap();
    let mut text = so_far.concat();
    while let Some(piece) = generation.next().await.unwrap() {
        text.push_str(&piece.text);
    }
    text
}

#[tokio::test]
async fn a_resumed_stream_goes_on_where_it_stopped() {
    let (engine, running) = start(Settings::default()).await;
    let so_far: Vec<String> = (0..4).map(|n| standin::engine::token("Hello", n)).collect();
    let text = generate(running.address, "k", &body("Hello", 10, 0), &so_far).await;
    assert_eq!(text, expected_answer("Hello", 10));
    assert_eq!((engine.stats().tokens, engine.stats().resumed_tokens), (6, 4));
}

#[tokio::test]
async fn a_full_batch_takes_the_highest_priority_first() {
    let (engine, running) = start(Settings { batch: 1, ..Settings::default() }).await;
    let at = running.address;
    let client = Client::new(LONG);
    let first = body("first", 1000, 1);
    let mut first = client.generate(at, &tag("first"), &first, &[], LONG, LONG).await.unwrap();
    first.next().await.unwrap();
    let (tx, mut order) = tokio::sync::mpsc::unbounded_channel();
    for (name, priority) in [("low", 0), ("high", 2), ("normal", 1)] {
        let tx = tx.clone();
        tokio::spawn(async move {
            generate(at, name, &body(name, 1, priority), &[]).await;
            let _ = tx.send(name);
        });
    }
    while client.load(at).await.unwrap().waiting < 3 {
        tokio::task::yield_now().await;
    }
    drop(first);
    let mut ended = Vec::new();
    for _ in 0..3 {
        ended.push(order.recv().await.unwrap());
    }
    assert_eq!(ended, ["high", "normal", "low"]);
    assert_eq!(engine.stats().requests, 4);
}

#[tokio::test]
async fn a_cancelled_stream_stops_without_its_final_event() {
    let (_engine, running) = start(Settings::default()).await;
    let client = Client::new(LONG);
    let body = body("Hello", 100_000, 0);
    let at = running.address;
    let mut generation = client.generate(at, &tag("k"), &body, &[], LONG, LONG).await.unwrap();
    generation.next().await.unwrap();
    client.cancel(running.address, &tag("k")).await;
    let failure = loop {
        if let Err(failure) = generation.next().await {
            break failure;
        }
    };
    assert_eq!(failure.code, Code::Incomplete);
}

#[tokio::test]
async fn faults_stop_and_cross_streams() {
    let (engine, running) = start(Settings::default()).await;
    let client = Client::new(LONG);
    let body = body("Hello", 10, 0);
    for faults in [
        Faults { stop_after: Some(2), stops: 1, ..Faults::default() },
        Faults { crossed: 1, ..Faults::default() },
    ] {
        engine.set_faults(faults);
        let at = running.address;
        let mut generation = client.generate(at, &tag("k"), &body, &[], LONG, LONG).await.unwrap();
        let mut result = generation.next().await;
        while matches!(result, Ok(Some(_))) {
            result = generation.next().await;
        }
        assert_eq!(result.unwrap_err().code, Code::Incomplete);
    }
    assert_eq!(generate(running.address, "k", &body, &[]).await, expected_answer("Hello", 10));
}

#[tokio::test]
async fn a_known_prefix_is_not_read_again_until_memory_runs_out() {
    let (engine, running) = start(Settings { cache_blocks: 8, ..Settings::default() }).await;
    let prompt = |c: &str| body(&c.repeat(400), 1, 0);
    generate(running.address, "a", &prompt("a"), &[]).await;
    assert_eq!(engine.stats().cached_tokens, 0);
    generate(running.address, "b", &prompt("a"), &[]).await;
    let cached = engine.stats().cached_tokens;
    assert!(cached >= 100, "{cached}");
    generate(running.address, "c", &prompt("c"), &[]).await;
    generate(running.address, "d", &prompt("a"), &[]).await;
    assert!(engine.stats().cached_tokens < 2 * cached);
}

#[tokio::test]
async fn cache_events_come_late_and_a_lost_one_leaves_a_gap() {
    let (engine, running) = start(Settings::default()).await;
    let at = running.address;
    engine.set_faults(Faults { event_delay_ms: 60_000, ..Faults::default() });
    generate(at, "a", &body(&"a".repeat(200), 1, 0), &[]).await;
    assert_eq!(engines().events(at, 0).await.unwrap(), []);
    engine.set_faults(Faults::default());
    let events = engines().events(at, 0).await.unwrap();
    assert!(!events.is_empty() && is_gapless(0, &events), "{events:?}");

    let seen = events.len() as u64;
    generate(at, "b", &body(&"b".repeat(200), 1, 0), &[]).await;
    engine.set_faults(Faults { lose_events: 2, ..Faults::default() });
    generate(at, "c", &body(&"c".repeat(200), 1, 0), &[]).await;
    let events = engines().events(at, seen).await.unwrap();
    assert!(!is_gapless(seen, &events), "{events:?}");
    let snapshot = engines().snapshot(at).await.unwrap();
    assert_eq!(snapshot.number, events.last().unwrap().number);
    let held = events.iter().filter(|event| event.stored).map(|event| event.block);
    assert!(held.into_iter().all(|block| snapshot.blocks.contains(&block)));
}

#[tokio::test]
async fn an_exported_cache_saves_another_engine_the_prompt() {
    let (_first, from) = start(Settings::default()).await;
    let (second, to) = start(Settings::default()).await;
    let prompt = "x".repeat(400);
    generate(from.address, "a", &body(&prompt, 1, 0), &[]).await;
    let numbers = blocks(&serde_json::to_vec(&messages(&prompt)).unwrap());
    let exported = engines().export(from.address, &numbers).await.unwrap();
    assert_eq!(engines().import(to.address, exported).await.unwrap(), numbers.len());
    generate(to.address, "b", &body(&prompt, 1, 0), &[]).await;
    assert!(second.stats().cached_tokens >= 100, "{:?}", second.stats());
}

#[tokio::test]
async fn a_load_report_lags() {
    let (engine, running) = start(Settings::default()).await;
    let client = Client::new(LONG);
    engine.set_faults(Faults { load_lag_ms: 60_000, ..Faults::default() });
    assert_eq!(client.load(running.address).await.unwrap().running, 0);
    let body = body("Hello", 100_000, 0);
    let at = running.address;
    let mut generation = client.generate(at, &tag("k"), &body, &[], LONG, LONG).await.unwrap();
    generation.next().await.unwrap();
    assert_eq!(client.load(running.address).await.unwrap().running, 0);
    engine.set_faults(Faults::default());
    assert_eq!(client.load(running.address).await.unwrap().running, 1);
}

#[tokio::test]
async fn orders_load_models_adapters_and_versions_and_change_the_role() {
    let (_engine, running) = start(Settings::default()).await;
    let at = running.address;
    let load = Order::Load { model: "small".into(), version: "2".into() };
    engines().give(at, 1, &load).await.unwrap();
    let adapter = Order::LoadAdapter { model: "small".into(), adapter: "bangla".into() };
    engines().give(at, 2, &adapter).await.unwrap();
    let state = engines().give(at, 3, &Order::Role { role: "decode".into() }).await.unwrap();
    assert_eq!((state.fence, state.role.as_str()), (3, "decode"));
    assert_eq!(state.models["small"].version, "2");
    assert_eq!(state.models["small"].adapters, ["bangla"]);
    let unknown = Order::LoadAdapter { model: "large".into(), adapter: "bangla".into() };
    assert_eq!(engines().give(at, 4, &unknown).await.unwrap_err().code, Code::UnknownModel);
    let state = engines().give(at, 5, &Order::Unload { model: "small".into() }).await.unwrap();
    assert!(state.models.is_empty());
}

#[tokio::test]
async fn an_old_fencing_number_is_refused_only_by_an_engine_that_checks_it() {
    let load = |version: &str| Order::Load { model: "small".into(), version: version.into() };
    for checks_fencing in [true, false] {
        let (engine, running) = start(Settings { checks_fencing, ..Settings::default() }).await;
        let at = running.address;
        engines().give(at, 7, &load("new")).await.unwrap();
        let old = engines().give(at, 6, &load("old")).await;
        if checks_fencing {
            assert_eq!(old.unwrap_err().code, Code::OrderFenced);
            assert_eq!(engine.orders().models["small"].version, "new");
            assert_eq!(engine.stats().fenced, 1);
        } else {
            assert_eq!(old.unwrap().models["small"].version, "old");
        }
    }
}
