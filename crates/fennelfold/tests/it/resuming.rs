//! A caller that lost its connection goes on at any entry.

use crate::support::{Deployment, ORGANISATION, Settings, chat, err, headers, out};
use hyper::Method;
use standin::engine::{Engine, Faults, expected_answer};
use std::time::Duration;
use web::Reader;

/// Tokens of an answer that is still being streamed when something happens.
const LONG: u64 = 200;

fn slow() -> Settings {
    Settings { step: Duration::from_millis(20), ..Settings::default() }
}

/// Reads events until `count` of them had an id, or the stream is done.
async fn read_some(reader: &mut Reader, count: usize) -> Vec<(String, String)> {
    let mut events = Vec::new();
    while events.len() < count {
        let event = reader.next().await.unwrap().expect("the stream goes on");
        assert_ne!(event.event, "error", "{}", event.data);
        if event.data == "[DONE]" {
            break;
        }
        let value: serde_json::Value = serde_json::from_str(&event.data).unwrap();
        if let Some(content) = value["choices"][0]["delta"]["content"].as_str() {
            events.push((event.id, content.to_owned()));
        }
    }
    events
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_entry_after_the_last_event_seen() {
    let deployment = Deployment::start(slow()).await;
    let key = format!("{}resumed", deployment.key_prefix(0).await);
    let path = "/v1/chat/completions";
    let answer = deployment
        .send(0, Method::POST, path, &headers(&key), chat("A long story", LONG, true))
        .await;
    let mut reader = Reader::events(answer.into_body());
    let first = read_some(&mut reader, 10).await;
    drop(reader);
    for n in [1, 2, 0] {
        let headers = [("x-organisation", ORGANISATION), ("last-event-id", first[9].0.as_str())];
        let path = format!("/v1/requests/{key}");
        let answer = deployment.send(n, Method::GET, &path, &headers, "").await;
        let rest = read_some(&mut Reader::events(answer.into_body()), usize::MAX).await;
        let text: String = first.iter().chain(&rest).map(|(_, text)| text.as_str()).collect();
        assert_eq!(text, expected_answer("A long story", LONG), "at entry {n}");
        assert!(rest[0].0.starts_with("11-"), "at entry {n}: {}", rest[0].0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_without_the_last_event_comes_in_one_piece() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}whole", deployment.key_prefix(1).await);
    let path = "/v1/chat/completions";
    let (status, _) =
        deployment.ask(1, Method::POST, path, &headers(&key), chat("Hello", 5, false)).await;
    assert_eq!(status, 200);
    let path = format!("/v1/requests/{key}");
    let headers = [("x-organisation", ORGANISATION)];
    let (status, answer) = deployment.ask(2, Method::GET, &path, &headers, "").await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["choices"][0]["message"]["content"], expected_answer("Hello", 5));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_after_its_entry_is_killed_mid_stream() {
    let mut deployment = Deployment::start(slow()).await;
    let key = format!("{}killed", deployment.key_prefix(1).await);
    let tokens = LONG.to_string();
    let args = ["--model", "recall", "--tokens", &tokens, "--key", &key, "Go on"];
    let entries = deployment.addresses();
    let args: Vec<&str> = ["call", "--organisation", ORGANISATION]
        .into_iter()
        .chain(args)
        .chain(["--entry", &entries])
        .collect();
    let calling = crate::support::fennelfold(&args);
    let killing = async {
        crate::support::eventually("tokens are generated", async || {
            let generated: u64 = deployment.engines.iter().map(|e| e.stats().tokens).sum();
            generated > 20
        })
        .await;
        deployment.entries[1].kill();
    };
    let (answer, ()) = tokio::join!(calling, killing);
    assert!(answer.status.success(), "{}", err(&answer));
    assert_eq!(out(&answer), format!("{}\n", expected_answer("Go on", LONG)));
}

/// Kills the owner of a request whose answer is read at its witness or at a third entry.
async fn kill_the_owner(at_witness: bool) {
    let mut deployment = Deployment::start(slow()).await;
    let prefix = deployment.key_prefix(1).await;
    let key = format!("{prefix}witnessed");
    let witness = prefix.split('.').nth(3).unwrap();
    let reads_here = |n: &usize| *n != 1 && (deployment.entries[*n].name == witness) == at_witness;
    let reader_at = (0..3).find(reads_here).unwrap();
    let path = "/v1/chat/completions";
    let answer = deployment
        .send(reader_at, Method::POST, path, &headers(&key), chat("Witnessed", LONG, true))
        .await;
    let mut reader = Reader::events(answer.into_body());
    let mut events = read_some(&mut reader, 10).await;
    deployment.entries[1].kill();
    events.extend(read_some(&mut reader, usize::MAX).await);
    let text: String = events.iter().map(|(_, text)| text.as_str()).collect();
    assert_eq!(text, expected_answer("Witnessed", LONG));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_read_at_a_third_entry_goes_on_there_after_the_owner_is_killed() {
    kill_the_owner(false).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_read_at_the_witness_goes_on_there_after_the_owner_is_killed() {
    kill_the_owner(true).await;
}

/// Makes the next stream of these engines stop after five tokens.
fn stop_one_stream(engines: &[std::sync::Arc<Engine>]) {
    for engine in engines {
        let faults = Faults { stop_after: Some(5), stops: 1, ..Faults::default() };
        engine.set_faults(faults);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_although_an_engine_stops_mid_stream() {
    let deployment = Deployment::start(Settings::default()).await;
    stop_one_stream(&deployment.engines[..1]);
    for n in 0..4 {
        let prompt = format!("Broken off {n}");
        let answer = deployment.call(&["--model", "recall", "--tokens", "12", &prompt]).await;
        assert_eq!(out(&answer), format!("{}\n", expected_answer(&prompt, 12)), "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_whole_although_every_engine_stops_once() {
    let deployment = Deployment::start(Settings::default()).await;
    stop_one_stream(&deployment.engines);
    let (path, key) = ("/v1/chat/completions", headers("all-stop"));
    let body = chat("Broken off", 12, false);
    let (status, answer) = deployment.ask(0, Method::POST, path, &key, body).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["choices"][0]["message"]["content"], expected_answer("Broken off", 12));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_has_begun_is_never_told_to_be_not_run() {
    let deployment = Deployment::start(Settings { engines: 1, ..Settings::default() }).await;
    stop_one_stream(&deployment.engines);
    let (path, key) = ("/v1/chat/completions", headers("begun"));
    let body = chat("Broken off", 12, false);
    let (_, answer) = deployment.ask(0, Method::POST, path, &key, body).await;
    assert_ne!(answer["outcome"], "NotRun", "{answer}");
}
