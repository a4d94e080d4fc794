//! Finds out whether a response that ended with its connection is whole.
//!
//! When a process is killed, the kernel of its VM closes its connections in order. A response without a length or
//! chunks ends in the same way when it is complete and when its server was killed. Only a server that answers
//! afterwards can have ended the response itself.

use crate::context::Context;
use crate::dispatch::ServerResponse;
use crate::pool::SendError;
use crate::request::AdmittedRequest;
use bytes::Bytes;
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use kernel::boot_ms;
use kernel::prelude::*;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// Maximum time of a query.
const QUERY_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum time for which the response to a request that may be repeated waits for a query.
const MAX_WAIT: Duration = Duration::from_millis(600);
/// The same for any other request, which fails otherwise. It may wait for a query that was sent too early, and then for its
/// own.
const MAX_WAIT_ONCE: Duration = Duration::from_millis(2_000);
/// Number of times that a server is asked while it closes the connections: it may have too many of them.
const MAX_QUERIES: u32 = 3;
/// Pause between two queries.
const QUERY_PAUSE: Duration = Duration::from_millis(20);
/// Time for which a server that wants no requests has to keep a connection open. A process that was killed has stopped
/// before its first connection ends, and its listener is closed with the others.
const HOLD_TIME: Duration = Duration::from_millis(100);

/// What is known of a server after a response of it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ServerLife {
    /// The process that sent the response still runs.
    Runs,
    /// Another process listens at the address.
    Replaced,
    /// The server accepts no connections.
    Unreachable,
    /// The server closes connections without an answer.
    Closing,
    /// The server did not answer in time.
    Silent,
}

impl ServerLife {
    fn label(self) -> &'static str {
        match self {
            Self::Runs => "runs",
            Self::Replaced => "replaced",
            Self::Unreachable => "unreachable",
            Self::Closing => "closing",
            Self::Silent => "silent",
        }
    }
}

/// A query that is under way.
#[derive(Clone)]
struct Query {
    began_at: Instant,
    life: watch::Receiver<Option<ServerLife>>,
}

/// Queries that are under way, by server. One answers for all responses that had ended before it was sent.
#[derive(Default)]
pub(crate) struct LifeQueries {
    open: RefCell<BTreeMap<Name, Query>>,
}

/// Returns why a response whose body has ended may not be whole; `None` if it is.
pub(crate) async fn doubt(
    cx: &Rc<Context>,
    request: &AdmittedRequest,
    response: &ServerResponse,
) -> Option<&'static str> {
    if !response.ends_with_connection {
        return None;
    }
    // Entries always state where a body ends.
    if response.is_forwarded {
        return Some("response of another entry ended with its connection");
    }
    // A server that lives may have given the request up; what it would have answered to all of it is not known.
    if response.connection.is_sending() {
        return Some("response ended before its request was written");
    }
    let ended_at = Instant::now();
    let (server, address) = (&response.guard.server, response.connection.address());
    let life = life_after(cx, server, address, ended_at);
    let is_repeatable = request.route.retry_policy.is_retryable();
    let until =
        request.deadline.min(ended_at + if is_repeatable { MAX_WAIT } else { MAX_WAIT_ONCE });
    let life = tokio::time::timeout_at(until, life).await;
    match life.unwrap_or(ServerLife::Silent) {
        ServerLife::Runs => None,
        ServerLife::Replaced => Some("response ended with its server, which was replaced"),
        ServerLife::Unreachable => Some("response ended, and its server accepts no connections"),
        ServerLife::Closing => Some("response ended, and its server closes connections"),
        ServerLife::Silent => Some("response ended, and its server does not answer"),
    }
}

/// Returns what a query tells that began at `ended_at` or later.
async fn life_after(
    cx: &Rc<Context>,
    server: &Name,
    address: SocketAddr,
    ended_at: Instant,
) -> ServerLife {
    loop {
        let mut query = join_query(cx, server, address);
        let life = query.life.wait_for(Option::is_some).await.ok().and_then(|life| *life);
        if query.began_at >= ended_at {
            return life.unwrap_or(ServerLife::Silent);
        }
    }
}

/// Returns the query to a server that is under way, or begins one. It goes on when the response that began it is
/// given up, as others may wait for it.
fn join_query(cx: &Rc<Context>, server: &Name, address: SocketAddr) -> Query {
    if let Some(query) = cx.life_queries.open.borrow().get(server) {
        return query.clone();
    }
    let began_at = Instant::now();
    let (tx, life) = watch::channel(None);
    let query = Query { began_at, life };
    cx.life_queries.open.borrow_mut().insert(server.clone(), query.clone());
    let (cx, server) = (cx.clone(), server.clone());
    tokio::task::spawn_local(async move {
        // A server that asked for rest must not get a request.
        let is_paused = cx.picker.borrow().is_paused(&server, boot_ms());
        let asked = async {
            if is_paused { hold(address).await } else { ask(&cx, &server, address).await }
        };
        let asked = tokio::time::timeout(QUERY_TIMEOUT, asked).await;
        let life = asked.unwrap_or(ServerLife::Silent);
        cx.count_life_query(life.label());
        info!(cx.log, "server asked"; "server" => %server, "result" => life.label(),
            "runs" => life == ServerLife::Runs, "paused" => is_paused,
            "took_ms" => began_at.elapsed().as_millis() as u64);
        cx.life_queries.open.borrow_mut().remove(&server);
        tx.send_replace(Some(life));
    });
    query
}

/// Asks a server whether it still runs.
async fn ask(cx: &Context, server: &Name, address: SocketAddr) -> ServerLife {
    for _ in 1..MAX_QUERIES {
        let life = ask_once(cx, server, address).await;
        if life != ServerLife::Closing {
            return life;
        }
        tokio::time::sleep(QUERY_PAUSE).await;
    }
    ask_once(cx, server, address).await
}

/// Sends a query on a new connection: the kernel accepts it also for a process that is being killed, but only the
/// process itself responds. An older connection may hold bytes that were sent before.
async fn ask_once(cx: &Context, server: &Name, address: SocketAddr) -> ServerLife {
    let Ok(mut connection) = cx.pool.connect(address).await else {
        return ServerLife::Unreachable;
    };
    let mut req = Request::new(Bytes::new());
    *req.uri_mut() = Uri::from(cx.protocol.life_query());
    let expected = HeaderValue::from_str(server);
    if let (Ok(host), Ok(expected)) = (HeaderValue::from_str(&address.to_string()), expected) {
        req.headers_mut().insert(HOST, host);
        req.headers_mut().insert(&cx.protocol.names().expected, expected);
    }
    // The response names no request, so that a late copy of it could not be told from the response to the next one.
    // The connection is closed.
    match connection.send(req).await {
        Ok(response) if response.status() == StatusCode::MISDIRECTED_REQUEST => {
            ServerLife::Replaced
        }
        Ok(_) => ServerLife::Runs,
        Err(SendError::Unwritten(_) | SendError::Broke(_)) => ServerLife::Closing,
    }
}

/// Finds out whether a server keeps a connection open on which nothing is sent.
async fn hold(address: SocketAddr) -> ServerLife {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return ServerLife::Unreachable;
    };
    match tokio::time::timeout(HOLD_TIME, stream.read_u8()).await {
        Err(_) => ServerLife::Runs,
        Ok(_) => ServerLife::Closing,
    }
}
