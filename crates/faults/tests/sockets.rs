//! Faults between an entry and its backend servers, on real sockets.

use backend::{Engine, Engines, Pieces, Plain, PlainServices, Tag};
use bytes::Bytes;
use kernel::{Code, Failure, Key, NodeId};
use standin::{engine, plain};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LONG: Duration = Duration::from_secs(30);
const LIMIT: usize = 1 << 20;
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn tag(number: u32) -> Tag {
    let key = Key::new("organisation", format!("key-{number}"));
    Tag { key, owner: NodeId::new("entry", 1), attempt: 1 }
}

async fn start_engine(faults: engine::Faults) -> standin::Running {
    let engine = engine::Engine::new(engine::Settings::default());
    engine.set_faults(faults);
    standin::start(ANY, move |req| engine.clone().handle(req)).await.expect("a port")
}

async fn generate(address: SocketAddr, number: u32) -> Box<dyn Pieces> {
    let body = format!(
        r#"{{"model":"m","max_tokens":8,"messages":[{{"role":"user","content":"{number}"}}]}}"#
    );
    let engine = Engine::new(LONG);
    let started = engine.generate(address, &tag(number), &Bytes::from(body), &[], LONG, LONG).await;
    started.expect("the engine takes it")
}

/// Reads to the end and returns the text, or the failure that came first.
async fn read(mut generation: Box<dyn Pieces>) -> Result<String, Failure> {
    let mut text = String::new();
    while let Some(piece) = generation.next().await? {
        text.push_str(&piece.text);
    }
    Ok(text)
}

#[tokio::test]
async fn an_answer_crossed_on_an_engine_reaches_nobody() {
    let running = start_engine(engine::Faults { crossed: 1, ..engine::Faults::default() }).await;
    let crossed = generate(running.address, 1).await;
    let own = generate(running.address, 2).await;
    let (crossed, own) = tokio::join!(read(crossed), read(own));
    assert_eq!(crossed.map_err(|failure| failure.code), Err(Code::Incomplete));
    assert_eq!(own, Ok(engine::expected_answer("2", 8)));
}

#[tokio::test]
async fn a_stream_that_stops_without_its_final_event_is_incomplete() {
    let faults = engine::Faults { stop_after: Some(3), stops: 1, ..engine::Faults::default() };
    let running = start_engine(faults).await;
    let read = read(generate(running.address, 1).await).await;
    assert_eq!(read.map_err(|failure| failure.code), Err(Code::Incomplete));
}

#[tokio::test]
async fn an_answer_crossed_on_a_plain_service_reaches_nobody() {
    let service = plain::Plain::new(Duration::ZERO);
    service.set_faults(plain::Faults { cross_answers: 1, ..plain::Faults::default() });
    let server = service.clone();
    let running = standin::start(ANY, move |req| server.clone().handle(req)).await;
    let address = running.as_ref().expect("a port").address;
    let answer = Plain::new(LIMIT).call(address, "/tag", &tag(1), Bytes::new(), LONG).await;
    assert_eq!(answer.map_err(|failure| failure.code).err(), Some(Code::Incomplete));
    assert_eq!(service.runs().get("key-1"), Some(&1));
}

#[tokio::test]
async fn a_call_whose_kept_connection_closes_is_sent_once_and_called_unknown() {
    let listener = TcpListener::bind(ANY).await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let received = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let first = receive(&mut stream).await;
        let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
        stream.write_all(answer).await.expect("the first answer");
        let second = receive(&mut stream).await;
        drop(stream);
        // A repeat would come on a new connection before the caller hears of the failure.
        let again = tokio::time::timeout(Duration::from_millis(300), listener.accept()).await;
        (first, second, again.is_ok())
    });
    let plain = Plain::new(LIMIT);
    let first = plain.call(address, "/tag", &tag(1), Bytes::new(), LONG).await;
    assert_eq!(first.expect("an answer").body, "ok");
    let second = plain.call(address, "/tag", &tag(2), Bytes::new(), LONG).await;
    let code = second.map_err(|failure| failure.code).err();
    assert_eq!(code, Some(Code::BackendBroke));
    let (first, second, again) = received.await.expect("the server ends");
    assert!(first.contains("key-1") && second.contains("key-2") && !again);
}

#[tokio::test]
async fn a_server_that_refuses_the_connection_has_run_nothing() {
    let listener = TcpListener::bind(ANY).await.expect("a port");
    let address = listener.local_addr().expect("its address");
    drop(listener);
    let answer = Plain::new(LIMIT).call(address, "/tag", &tag(1), Bytes::new(), LONG).await;
    assert_eq!(answer.map_err(|failure| failure.code).err(), Some(Code::NotDispatched));
}

/// Reads the head of one request.
async fn receive(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let byte = stream.read_u8().await.expect("a byte of the request");
        head.push(byte);
    }
    String::from_utf8_lossy(&head).into_owned()
}
