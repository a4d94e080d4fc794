//! An HTTP server with bounds on connections, requests and time.

use crate::reply::{Reply, problem};
use crate::stall::StallGuard;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use kernel::{Code, Failure, Stop};
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tower::ServiceBuilder;

/// A request whose body is still to be read.
pub type Request = hyper::Request<Incoming>;

/// Bounds of a server.
#[derive(Clone, Copy, Debug)]
pub struct ServerSettings {
    /// Open connections; further ones wait in the listen queue.
    pub connections: usize,
    /// Bytes of the head of a request.
    pub head_bytes: usize,
    /// Header fields of a request.
    pub headers: usize,
    /// Time for the head of a request to arrive.
    pub head_time: Duration,
    /// Time a reader may take nothing before its connection ends.
    pub stall: Duration,
    /// Time for open connections to finish after the stop.
    pub drain: Duration,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            connections: 20_000,
            head_bytes: 32 << 10,
            headers: 64,
            head_time: Duration::from_secs(10),
            stall: Duration::from_secs(30),
            drain: Duration::from_secs(60),
        }
    }
}

/// Listens on an address.
///
/// # Errors
/// [`Code::PortInUse`] when the address cannot be listened on.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Failure> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|e| Failure::new(Code::PortInUse, format!("{address}: {e}")))
}

/// Serves connections until the stop, then lets open requests finish.
pub async fn serve<F, R>(
    listener: TcpListener,
    settings: ServerSettings,
    mut stop: Stop,
    handler: F,
) where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let slots = Arc::new(Semaphore::new(settings.connections));
    let mut open = JoinSet::new();
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { break };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        // A failed accept concerns one connection, or too many open files: wait and go on.
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let connection = connection(stream, settings, stop.clone(), handler.clone());
        open.spawn(async move {
            connection.await;
            drop(slot);
        });
        while open.try_join_next().is_some() {}
    }
    let rest = async { while open.join_next().await.is_some() {} };
    let _ = tokio::time::timeout(settings.drain, rest).await;
}

async fn connection<F, R>(stream: TcpStream, settings: ServerSettings, mut stop: Stop, handler: F)
where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = ServiceBuilder::new().service_fn(move |req: Request| {
        let handled = handler(req);
        async move {
            // A handler that panics must not take the connection's answer with it.
            let reply = tokio::spawn(handled).await;
            let reply = reply.unwrap_or_else(|e| Err(Failure::new(Code::Internal, e.to_string())));
            Ok::<_, Infallible>(reply.unwrap_or_else(|failure| problem(&failure)))
        }
    });
    let io = TokioIo::new(StallGuard::new(stream, settings.stall));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(settings.head_time)
        .max_buf_size(settings.head_bytes)
        .max_headers(settings.headers)
        .serve_connection(io, TowerToHyperService::new(service));
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = stop.wait() => None,
    };
    if ended.is_none() {
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
