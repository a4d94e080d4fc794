//! Bad input gets a numbered, plain error, and nothing else changes.

use crate::support::{Deployment, ORGANISATION, Settings, chat, headers};
use hyper::Method;
use serde_json::{Value, json};
use standin::engine::expected_answer;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const CHAT: &str = "/v1/chat/completions";

/// Posts a body and returns status and code.
async fn post(
    deployment: &Deployment,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> (u16, u64) {
    let (status, answer) = deployment.ask(0, Method::POST, path, headers, body.to_owned()).await;
    assert!(answer["title"].is_string() && answer["outcome"] == "Rejected", "{body}: {answer}");
    (status, answer["code"].as_u64().unwrap())
}

/// Sends bytes as they are and returns the answer as text.
async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The server may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// Checks that the deployment serves as before and that nothing ran in between.
async fn serves_as_before(deployment: &Deployment) {
    let requests: u64 = deployment.engines.iter().map(|engine| engine.stats().requests).sum();
    assert_eq!(requests, 0, "nothing reached an engine");
    assert!(deployment.plain.runs().is_empty(), "nothing reached the plain service");
    let (status, answer) =
        deployment.ask(0, Method::POST, CHAT, &headers("good"), chat("Hello", 3, false)).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["choices"][0]["message"]["content"], expected_answer("Hello", 3));
    assert!(!deployment.entries[0].log().contains("panicked"));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_body_is_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let message = json!([{"role": "user", "content": "Hello"}]);
    let bodies = [
        "".to_owned(),
        "{".to_owned(),
        "null".to_owned(),
        "17".to_owned(),
        "{}".to_owned(),
        json!(["recall", message, false, 3]).to_string(),
        json!({"model": "recall", "messages": []}).to_string(),
        json!({"model": "recall", "messages": "Hello"}).to_string(),
        json!({"model": "recall", "messages": [["user", "Hello"]]}).to_string(),
        json!({"model": 7, "messages": message}).to_string(),
        json!({"model": "recall", "messages": message, "max_tokens": -1}).to_string(),
        json!({"model": "recall", "messages": message, "max_tokens": 1_000_000}).to_string(),
        json!({"model": "recall", "messages": message, "stream": "yes"}).to_string(),
        format!("{}{}", "[".repeat(100_000), "]".repeat(100_000)),
    ];
    for (n, body) in bodies.iter().enumerate() {
        let key = format!("malformed-{n}");
        assert_eq!(post(&deployment, CHAT, &headers(&key), body).await, (400, 1001), "{body:.80}");
    }
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_services_models_and_paths_are_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let unknown = chat("Hello", 3, false).replace("recall", "huge");
    assert_eq!(post(&deployment, CHAT, &headers("k"), &unknown).await, (404, 1004));
    for service in ["nothing", "recall", "", "..", "%00"] {
        let path = format!("/v1/services/{service}");
        let (status, code) = post(&deployment, &path, &headers("k"), "{}").await;
        assert!([(404, 1003), (404, 1009)].contains(&(status, code)), "{service}: {code}");
    }
    for path in ["/", "/v2/entries", "/v1/requests", "/v1/operator"] {
        assert_eq!(post(&deployment, path, &headers("k"), "{}").await, (404, 1009), "{path}");
    }
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_above_the_limit_is_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let body = chat(&"x".repeat(300 << 10), 3, false);
    assert_eq!(post(&deployment, CHAT, &headers("large"), &body).await, (413, 1002));
    assert_eq!(
        post(&deployment, "/v1/services/reminder", &headers("large"), &body).await,
        (413, 1002)
    );
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_missing_or_foreign_organisation_is_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let body = chat("Hello", 3, false);
    assert_eq!(post(&deployment, CHAT, &[], &body).await, (401, 1005));
    let foreign = [("x-organisation", "strangers")];
    assert_eq!(post(&deployment, CHAT, &foreign, &body).await, (403, 1006));
    for (headers, expected) in [(&[][..], (401, 1005)), (&foreign[..], (403, 1006))] {
        let (status, answer) =
            deployment.ask(0, Method::GET, "/v1/requests/some-key", headers, "").await;
        assert_eq!((status, answer["code"].as_u64().unwrap()), expected);
    }
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_cannot_read_the_answer_of_another() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}mine", deployment.key_prefix(0).await);
    let (status, _) =
        deployment.ask(0, Method::POST, CHAT, &headers(&key), chat("Mine", 3, false)).await;
    assert_eq!(status, 200);
    for n in 0..3 {
        let headers = [("x-organisation", "others")];
        let path = format!("/v1/requests/{key}");
        let (status, answer) = deployment.ask(n, Method::GET, &path, &headers, "").await;
        assert_eq!((status, answer["code"].as_u64()), (404, Some(1010)), "{answer}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_with_another_body_is_a_conflict_and_the_first_answer_stays() {
    let deployment = Deployment::start(Settings::default()).await;
    let key = format!("{}once", deployment.key_prefix(0).await);
    let path = "/v1/services/reminder";
    for n in 0..3 {
        let (status, _) = deployment.ask(n, Method::POST, path, &headers(&key), "first").await;
        assert_eq!(status, 200);
        let (status, answer) =
            deployment.ask(n, Method::POST, path, &headers(&key), "second").await;
        assert_eq!((status, answer["code"].as_u64()), (409, Some(1007)), "{answer}");
    }
    assert_eq!(deployment.plain.runs().values().sum::<u64>(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_keys_and_headers_are_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let body = chat("Hello", 3, false);
    let long = "k".repeat(201);
    for key in ["", "a key", "a/key", "clé", &long] {
        let headers = [("x-organisation", ORGANISATION), ("idempotency-key", key)];
        let expected = if key.is_ascii() { (400, 1008) } else { (400, 1011) };
        assert_eq!(post(&deployment, CHAT, &headers, &body).await, expected, "{key}");
    }
    let headers = [("x-organisation", ORGANISATION), ("x-deadline-ms", "soon")];
    assert_eq!(post(&deployment, CHAT, &headers, &body).await, (400, 1011));
    for seen in ["-1", "last", "99999999999999999999", "1.5", " "] {
        let headers = [("x-organisation", ORGANISATION), ("last-event-id", seen)];
        let key = format!("{}k", deployment.key_prefix(0).await);
        let path = format!("/v1/requests/{key}");
        let (status, answer) = deployment.ask(1, Method::GET, &path, &headers, "").await;
        assert_eq!((status, answer["code"].as_u64()), (400, Some(1011)), "{seen}: {answer}");
    }
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unknown_key_is_refused_at_every_entry() {
    let deployment = Deployment::start(Settings::default()).await;
    let known = format!("{}never-sent", deployment.key_prefix(0).await);
    let gone = "ff1.entry-0.7.entry-1.7.never-sent";
    for n in 0..3 {
        for (key, codes) in [("made-up", &[1010][..]), (&known, &[1010]), (gone, &[1010, 3002])] {
            let headers = [("x-organisation", ORGANISATION)];
            let path = format!("/v1/requests/{key}");
            let (_, answer) = deployment.ask(n, Method::GET, &path, &headers, "").await;
            let code = answer["code"].as_u64().unwrap();
            assert!(codes.contains(&code), "{key} at {n}: {answer}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_with_too_many_or_too_large_fields_is_refused() {
    let deployment = Deployment::start(Settings::default()).await;
    let address = deployment.entries[0].http;
    let many: String = (0..65).map(|n| format!("x-field-{n}: 1\r\n")).collect();
    let large = format!("x-field: {}\r\n", "v".repeat(33 << 10));
    let path = "x".repeat(33 << 10);
    let heads = [
        format!("GET /v1/entries HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{many}\r\n"),
        format!("GET /v1/entries HTTP/1.1\r\nhost: a\r\nconnection: close\r\n{large}\r\n"),
        format!("GET /{path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"),
    ];
    for head in heads {
        let answer = raw(address, head.as_bytes()).await;
        assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
        assert!(answer.contains("\"code\":1013"), "{answer}");
    }
    let huge = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "v".repeat(1 << 20));
    let answer = raw(address, huge.as_bytes()).await;
    assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431 "), "{answer}");
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_that_are_not_http_end_their_connection_only() {
    let deployment = Deployment::start(Settings::default()).await;
    let address = deployment.entries[0].http;
    let inputs: [&[u8]; 5] = [
        b"\x00\x01\x02\x03\r\n\r\n",
        b"GET\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\ncontent-length: -1\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\nZZ\r\n",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
    ];
    for bytes in inputs {
        let answer = raw(address, bytes).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
    }
    serves_as_before(&deployment).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_operators_malformed_request_is_refused_and_changes_nothing() {
    let deployment = Deployment::start(Settings::default()).await;
    let config = "/v1/operator/config";
    let offer =
        |text: &str| json!({"text": text, "based_on": 1, "nonce": "n", "author": "a"}).to_string();
    let cases: [(&str, String, u64); 5] = [
        (config, "{".to_owned(), 1001),
        (config, offer("[service"), 4001),
        (config, offer(""), 4001),
        (config, "x".repeat(2 << 20), 1002),
        ("/v1/operator/drain", "{}".to_owned(), 1001),
    ];
    for (path, body, code) in cases {
        let (_, answer) = deployment.ask(0, Method::POST, path, &[], body).await;
        assert_eq!(answer["code"], Value::from(code), "{answer}");
    }
    assert_eq!(deployment.status(0).await.unwrap()["generation"], 1);
    serves_as_before(&deployment).await;
}
