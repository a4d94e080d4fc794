//! Clients that keep to no limit go for those that do.

#![allow(clippy::unwrap_used, reason = "a step that fails ends its test")]

use kernel::{Failure, Kernel, Metrics};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use web::{ClientMeters, ClientRegistry, Reply, Request, ServerSettings};

/// Largest body that the server takes, in bytes.
const BODY_LIMIT: usize = 1 << 20;

async fn receive(req: Request) -> Result<Reply, Failure> {
    let client = web::client_of(&req)?;
    let body = client.receive(req.into_body(), BODY_LIMIT, Duration::from_secs(30)).await?;
    Ok(web::text(200, format!("{} bytes\n", body.len())))
}

async fn start(settings: ServerSettings) -> (SocketAddr, Arc<ClientRegistry>, Arc<Kernel>) {
    let listener = web::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (kernel, clients) = (Kernel::new(), settings.clients());
    let stop = kernel.stop_signal();
    tokio::spawn(web::serve_clients(listener, settings, clients.clone(), stop, receive));
    (address, clients, kernel)
}

/// Sends a request with a body of which the last `missing` bytes stay away.
async fn send(address: SocketAddr, bytes: usize, missing: usize) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'a'; bytes - missing]).await.unwrap();
    stream
}

async fn answer(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

#[tokio::test]
async fn a_client_sees_the_refusal_of_a_body_that_it_goes_on_sending() {
    let (address, _clients, _kernel) = start(ServerSettings::default()).await;
    let refused = answer(send(address, 4 * BODY_LIMIT, 0).await).await;
    assert!(refused.starts_with("HTTP/1.1 413 "), "{refused}");
    assert!(refused.contains("connection: close\r\n"), "{refused}");
}

#[tokio::test]
async fn a_body_without_room_is_refused_and_a_small_one_is_served() {
    // 3.2 MB for clients, of which two bodies take all that large ones may.
    let settings = ServerSettings { memory: 8_000_000, ..ServerSettings::default() };
    let (address, clients, _kernel) = start(settings).await;
    let held = [send(address, 900_000, 1).await, send(address, 900_000, 1).await];
    while clients.usage().memory < 1_800_000 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let refused = answer(send(address, 900_000, 0).await).await;
    assert!(refused.starts_with("HTTP/1.1 503 ") && refused.contains("\"code\":2008"), "{refused}");
    assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
    assert!(answer(send(address, 2, 0).await).await.ends_with("2 bytes\n"));
    assert_eq!(clients.counts().refused_requests, 1);
    // The clients that hold the room make no progress.
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert!(answer(send(address, 900_000, 0).await).await.ends_with("900000 bytes\n"));
    assert_eq!(clients.counts().dismissed, 1);
    // One of them is told so, the other one waits on.
    let [first, second] = held.map(|held| Box::pin(answer(held)));
    let told = futures::future::select(first, second).await.factor_first().0;
    assert!(told.starts_with("HTTP/1.1 408 ") && told.contains("\"code\":1012"), "{told}");
}

#[tokio::test]
async fn memory_of_a_request_is_given_back_when_it_has_ended() {
    let (address, clients, _kernel) = start(ServerSettings::default()).await;
    assert!(answer(send(address, BODY_LIMIT, 0).await).await.ends_with("bytes\n"));
    while clients.usage() != coord::ClientUse::default() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn a_silent_connection_is_closed_for_a_new_one_and_counted() {
    let settings = ServerSettings { descriptors: 64, ..ServerSettings::default() };
    let (address, clients, _kernel) = start(settings).await;
    let mut silent = Vec::new();
    for _ in 0..100 {
        silent.push(TcpStream::connect(address).await.unwrap());
    }
    assert!(answer(send(address, 2, 0).await).await.ends_with("2 bytes\n"));
    assert!(answer(silent.remove(0)).await.is_empty());
    assert!(clients.usage().connections < 64);
    let metrics = Metrics::new().unwrap();
    let meters = ClientMeters::new(&metrics);
    meters.record(&clients);
    meters.record(&clients);
    let rendered = metrics.render();
    let line = rendered.lines().find(|line| line.contains("reason=\"dismissed\""));
    let dismissed = clients.counts().dismissed;
    assert!(line.unwrap().ends_with(&format!(" {dismissed}")), "{rendered}");
}
