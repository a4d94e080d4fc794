//! Connections, readers and bodies are bounded in number, memory and time.

#![allow(clippy::unwrap_used, reason = "a step that fails ends its test")]

use bytes::Bytes;
use kernel::{Failure, Kernel};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use web::{Reply, Request, ServerSettings};

/// A time that passes soon in a test.
const SOON: Duration = Duration::from_secs(1);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

async fn start<F, R>(settings: ServerSettings, handler: F) -> (SocketAddr, Arc<Kernel>)
where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let listener = web::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    let kernel = Kernel::new();
    tokio::spawn(web::serve(listener, settings, kernel.stop_signal(), handler));
    (address, kernel)
}

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Reads until the server ends the connection.
async fn read_all(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

async fn hello(_req: Request) -> Result<Reply, Failure> {
    Ok(web::text(200, "hello\n"))
}

#[tokio::test]
async fn a_connection_above_the_bound_is_told_to_come_back_at_once() {
    let settings = ServerSettings { connections: 1, ..ServerSettings::default() };
    let (address, _kernel) = start(settings, hello).await;
    let mut first = connect(address, REQUEST).await;
    let mut head = [0; 12];
    first.read_exact(&mut head).await.unwrap();
    assert_eq!(&head, b"HTTP/1.1 200");
    let refused = read_all(connect(address, REQUEST).await).await;
    assert!(refused.starts_with("HTTP/1.1 503 "), "{refused}");
    assert!(refused.contains("retry-after: 1\r\n"), "{refused}");
    assert!(refused.contains("\"code\":2008") && refused.contains("\"Rejected\""), "{refused}");
    drop(first);
    // The place is free again once the server has seen the end of the first connection.
    loop {
        let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        if read_all(connect(address, request).await).await.starts_with("HTTP/1.1 200 ") {
            break;
        }
    }
}

/// Tells when a stream of chunks is given up.
struct Stream {
    produced: Arc<AtomicUsize>,
    ended: mpsc::UnboundedSender<()>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        let _ = self.ended.send(());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_reader_that_stops_reading_ends_its_stream_with_bounded_memory() {
    const CHUNK_BYTES: usize = 64 << 10;
    // What the sockets of both sides may buffer, with room to spare.
    const BUFFERED_BYTES: usize = 64 << 20;
    let produced = Arc::new(AtomicUsize::new(0));
    let (tx, mut rx) = mpsc::unbounded_channel();
    let counted = produced.clone();
    let handler = move |_req| {
        let stream = Stream { produced: counted.clone(), ended: tx.clone() };
        let chunks = futures::stream::unfold(stream, |stream| async move {
            stream.produced.fetch_add(CHUNK_BYTES, Ordering::SeqCst);
            Some((Bytes::from(vec![b'x'; CHUNK_BYTES]), stream))
        });
        async move { Ok(Reply::new(web::stream(chunks))) }
    };
    let settings = ServerSettings { stall: SOON, ..ServerSettings::default() };
    let (address, _kernel) = start(settings, handler).await;
    let reader = connect(address, REQUEST).await;
    rx.recv().await.unwrap();
    assert!(produced.load(Ordering::SeqCst) < BUFFERED_BYTES);
    drop(reader);
}

#[tokio::test]
async fn a_connection_that_sends_no_request_ends() {
    let settings = ServerSettings { head_time: SOON, ..ServerSettings::default() };
    let (address, _kernel) = start(settings, hello).await;
    assert_eq!(read_all(connect(address, b"").await).await, "");
    let started = read_all(connect(address, b"GET / HT").await).await;
    assert!(started.is_empty() || started.starts_with("HTTP/1.1 408 "), "{started}");
    let idle = read_all(connect(address, REQUEST).await).await;
    assert!(idle.starts_with("HTTP/1.1 200 ") && idle.ends_with("hello\n"), "{idle}");
}

#[tokio::test]
async fn a_body_that_does_not_arrive_is_refused() {
    let handler = |req: Request| async move {
        web::receive(req.into_body(), 100, SOON).await?;
        Ok(web::text(200, "received\n"))
    };
    let (address, _kernel) = start(ServerSettings::default(), handler).await;
    let head =
        b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 10\r\n\r\n12345";
    let refused = read_all(connect(address, head).await).await;
    assert!(refused.starts_with("HTTP/1.1 408 ") && refused.contains("\"code\":1012"), "{refused}");
    let whole = read_all(connect(address, &[&head[..], b"67890"].concat()).await).await;
    assert!(whole.starts_with("HTTP/1.1 200 "), "{whole}");
}

#[tokio::test]
async fn a_handler_that_panics_answers_its_caller_and_harms_no_other() {
    let handler = |req: Request| async move {
        assert_ne!(req.uri().path(), "/panic", "this handler panics");
        hello(req).await
    };
    let (address, _kernel) = start(ServerSettings::default(), handler).await;
    let request = b"GET /panic HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let answer = read_all(connect(address, request).await).await;
    assert!(answer.starts_with("HTTP/1.1 500 ") && answer.contains("\"code\":5006"), "{answer}");
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(read_all(connect(address, request).await).await.ends_with("hello\n"));
}

#[tokio::test]
async fn a_stop_lets_an_open_request_finish() {
    let (tx, mut rx) = mpsc::unbounded_channel();
    let (finish, finished) = tokio::sync::watch::channel(false);
    let handler = move |_req| {
        let (tx, mut finished) = (tx.clone(), finished.clone());
        async move {
            let _ = tx.send(());
            let _ = finished.wait_for(|finished| *finished).await;
            Ok(web::text(200, "finished\n"))
        }
    };
    let (address, kernel) = start(ServerSettings::default(), handler).await;
    let open = connect(address, REQUEST).await;
    rx.recv().await.unwrap();
    kernel.stop();
    finish.send_replace(true);
    assert!(read_all(open).await.ends_with("finished\n"));
}
