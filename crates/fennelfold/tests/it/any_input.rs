//! No input makes a process panic: drawn bytes, heads, bodies, settings and peer messages.

use crate::support::{BASE, Deployment, Settings, chat, eventually, headers};
use conf::{Config, Merged, Node, Source};
use futures::StreamExt;
use hyper::Method;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config as Cases, RngSeed, TestRunner};
use standin::engine::expected_answer;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const SEED: u64 = 20_261_203;
/// Connections that send drawn input at one time.
const AT_ONCE: usize = 8;
/// Bytes of the peer protocol that are recorded: the start of a connection and a few messages.
const RECORDED_BYTES: usize = 1200;
/// Time that the answer to drawn input is waited for; nothing depends on its coming.
const ANSWER_WAIT: Duration = Duration::from_secs(3);

fn runner(cases: u32) -> TestRunner {
    let seed = RngSeed::Fixed(SEED);
    TestRunner::new(Cases { cases, rng_seed: seed, failure_persistence: None, ..Cases::default() })
}

/// Draws values without checking them.
fn draw<T: std::fmt::Debug>(count: usize, strategy: impl Strategy<Value = T>) -> Vec<T> {
    let mut runner = runner(1);
    (0..count).map(|_| strategy.new_tree(&mut runner).unwrap().current()).collect()
}

/// Sends each input on a connection of its own and returns the answers.
async fn send_all(address: SocketAddr, inputs: Vec<Vec<u8>>) -> Vec<String> {
    let send = |input: Vec<u8>| async move {
        let mut stream = TcpStream::connect(address).await.unwrap();
        // The server may end the connection before it has read everything.
        let _ = stream.write_all(&input).await;
        let _ = stream.shutdown().await;
        let mut answer = Vec::new();
        let _ = tokio::time::timeout(ANSWER_WAIT, stream.read_to_end(&mut answer)).await;
        String::from_utf8_lossy(&answer).into_owned()
    };
    futures::stream::iter(inputs).map(send).buffer_unordered(AT_ONCE).collect().await
}

/// Heads and bodies that are nearly those of a caller.
fn nearly_http() -> impl Strategy<Value = Vec<u8>> {
    let method = select(vec!["GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "CONNECT", "x"]);
    let known = select(vec![
        "/v1/chat/completions",
        "/v1/services/reminder",
        "/v1/services/thumbnail/a/b",
        "/v1/requests/ff1.entry-0.1.entry-1.2.k",
        "/v1/entries",
        "/v1/operator/explain/friends/k",
        "/v1/operator/config",
        "/v1/operator/drain",
        "/v1/operator/status",
        "*",
        "http://[::1/",
    ]);
    let path = prop_oneof![known.prop_map(str::to_owned), "/[ -~]{0,40}"];
    let name = select(vec![
        "x-organisation",
        "idempotency-key",
        "last-event-id",
        "x-deadline-ms",
        "content-length",
        "transfer-encoding",
        "expect",
        "connection",
    ]);
    let value = prop_oneof![
        Just("friends".to_owned()),
        Just("ff1.entry-0.1.entry-1.2.k".to_owned()),
        Just("chunked".to_owned()),
        "[0-9]{1,20}",
        "[ -~]{0,30}",
    ];
    let fields = vec((name, value), 0..8);
    (method, path, fields, body()).prop_map(|(method, path, fields, body)| {
        let fields: String = fields.iter().map(|(n, v)| format!("{n}: {v}\r\n")).collect();
        let length = body.len();
        let head = format!(
            "{method} {path} HTTP/1.1\r\nhost: a\r\n{fields}content-length: {length}\r\n\r\n"
        );
        [head.as_bytes(), &body].concat()
    })
}

/// Bodies that are nearly JSON of the right shape.
fn body() -> impl Strategy<Value = Vec<u8>> {
    let leaf = prop_oneof![
        Just("null".to_owned()),
        Just("true".to_owned()),
        Just("-1".to_owned()),
        Just("1e999".to_owned()),
        Just("\"recall\"".to_owned()),
        Just("\"\\ud800\"".to_owned()),
        "[a-z]{0,5}",
    ];
    let value = leaf.prop_recursive(4, 32, 4, |inner| {
        let name = select(vec!["model", "messages", "role", "content", "stream", "text", "server"]);
        let object = vec((name, inner.clone()), 0..4).prop_map(|pairs| {
            let pairs: Vec<String> = pairs.iter().map(|(n, v)| format!("\"{n}\":{v}")).collect();
            format!("{{{}}}", pairs.join(","))
        });
        let array = vec(inner, 0..4).prop_map(|items| format!("[{}]", items.join(",")));
        prop_oneof![object, array]
    });
    prop_oneof![value.prop_map(String::into_bytes), vec(any::<u8>(), 0..200)]
}

#[tokio::test(flavor = "multi_thread")]
async fn no_bytes_on_the_port_for_callers_make_an_entry_panic() {
    let deployment = Deployment::start(Settings::default()).await;
    let address = deployment.entries[0].http;
    let inputs = [draw(300, nearly_http()), draw(100, vec(any::<u8>(), 0..600))].concat();
    for answer in send_all(address, inputs).await {
        assert!(!answer.contains("\"code\":5006"), "an internal failure: {answer}");
    }
    let body = chat("Still here", 3, false);
    let path = "/v1/chat/completions";
    let (status, answer) = deployment.ask(0, Method::POST, path, &headers("after"), body).await;
    assert_eq!(status, 200, "{answer}");
    assert_eq!(answer["choices"][0]["message"]["content"], expected_answer("Still here", 3));
    for entry in &deployment.entries {
        assert!(!entry.log().contains("panicked"), "{}", entry.log());
    }
}

/// Records what an entry sends to a seed.
async fn record_peer_message(deployment: &mut Deployment) -> Vec<u8> {
    let recorder = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    deployment.seeds.push(recorder.local_addr().unwrap());
    // An entry that is told of a later run of its own name ends, as it should. The sender is another
    // entry, with a name of another length, so that no damage turns it into the receiver.
    let _sender = deployment.start_entry(10);
    let (mut stream, _) = recorder.accept().await.unwrap();
    let mut recorded = Vec::new();
    // The entry keeps the connection and sends again what nobody answers.
    while recorded.len() < RECORDED_BYTES {
        assert!(stream.read_buf(&mut recorded).await.unwrap() > 0);
    }
    recorded
}

#[tokio::test(flavor = "multi_thread")]
async fn no_bytes_on_the_port_for_entries_make_an_entry_panic() {
    let settings = Settings { entries: 0, engines: 0, ..Settings::default() };
    let mut deployment = Deployment::platform_only(&settings).await;
    let recorded = record_peer_message(&mut deployment).await;
    let entry = deployment.start_entry(0);
    deployment.entries.push(entry);
    let address = deployment.entries[0].peer();
    let change = (any::<prop::sample::Index>(), any::<u8>());
    let damaged = vec(change, 1..6).prop_map({
        let recorded = recorded.clone();
        move |changes| {
            let mut bytes = recorded.clone();
            for (at, byte) in changes {
                let at = at.index(bytes.len());
                bytes[at] = byte;
            }
            bytes
        }
    });
    let cut = any::<prop::sample::Index>().prop_map({
        let recorded = recorded.clone();
        move |at| recorded[..at.index(recorded.len())].to_vec()
    });
    let inputs = [draw(300, damaged), draw(50, cut), draw(100, vec(any::<u8>(), 0..300))].concat();
    eventually("the entry listens", async || TcpStream::connect(address).await.is_ok()).await;
    send_all(address, inputs).await;
    eventually("a whole message is answered", async || {
        !send_all(address, vec![recorded.clone()]).await[0].is_empty()
    })
    .await;
    let log = deployment.entries[0].log();
    assert!(!log.contains("panicked"), "{log}");
}

/// Pairs with each key once.
fn distinct(
    pair: impl Strategy<Value = (&'static str, String)>,
) -> impl Strategy<Value = BTreeMap<&'static str, String>> {
    vec(pair, 0..6).prop_map(|pairs| pairs.into_iter().collect())
}

/// Text that is nearly a settings file.
fn nearly_ini() -> impl Strategy<Value = String> {
    let name = select(vec![
        "deployment",
        "data_centre north",
        "organisation friends",
        "model small",
        "service recall",
        "service  recall",
        "service\trecall",
        " service recall",
        "service",
        "service ]",
        "limits",
        "policy",
        "node",
        "platform",
        "membership",
        "",
    ]);
    let key = select(vec![
        "name",
        "region",
        "version",
        "kind",
        "model",
        "body",
        "keep",
        "first_token",
        "deadline",
        "http",
        "seeds",
        "burst",
        "weight",
        "open",
        "probe_every",
    ]);
    let value = prop_oneof![
        4 => select(vec![
            "model", "small", "plain", "1", "-1", "0", "NaN", "inf", "1e400", "350ms", "1000000y",
            "99999999999999999999s", "256KiB", "99999999999999999999GiB", "KiB", "yes",
            "127.0.0.1:1", "127.0.0.1:1, ,", "\"", "\\", ";", "é",
        ])
        .prop_map(str::to_owned),
        1 => "[ -~]{0,20}",
    ];
    let kind = (Just("kind"), select(vec!["model", "plain"]).prop_map(str::to_owned));
    let pairs = distinct(prop_oneof![1 => kind, 4 => (key, value)]);
    let section = (name, pairs).prop_map(|(name, pairs)| {
        let pairs: String = pairs.iter().map(|(key, value)| format!("{key} = {value}\n")).collect();
        format!("[{name}]\n{pairs}")
    });
    let line = prop_oneof![30 => section, 1 => "\\PC{0,30}\n"];
    vec(line, 0..8).prop_map(|lines| lines.concat())
}

#[test]
fn no_settings_make_the_reader_panic_and_accepted_ones_read_back_the_same() {
    let strategy = prop_oneof![4 => nearly_ini(), 1 => "\\PC{0,200}"];
    let checked = runner(2000).run(&strategy, |text| {
        let drawn = Source::new("drawn.ini", text);
        let _ = Node::read(std::slice::from_ref(&drawn));
        let alone = Merged::read(std::slice::from_ref(&drawn));
        let _ = alone.map(|merged| Config::read(&merged));
        let merged = Merged::read(&[Source::new("base.ini", BASE), drawn]);
        let Ok(merged) = merged else { return Ok(()) };
        if let Ok(config) = Config::read(&merged) {
            let again = Merged::read(&[Source::new("again.ini", merged.render())]);
            prop_assert_eq!(Config::read(&again.unwrap()).unwrap(), config);
        }
        Ok(())
    });
    assert!(checked.is_ok(), "{}", checked.unwrap_err());
}
