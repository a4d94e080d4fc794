//! An HTTP client that never repeats a request on its own.

use crate::body::{Body, empty, full, read_limited};
use crate::reply::read_problem;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::{Method, Response, Uri};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use kernel::{Code, Failure};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::time::Duration;

/// Silence after which a connection is probed, and the time between two probes.
const PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection has ended.
const PROBES: u32 = 2;

/// Bounds of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientSettings {
    /// Time for a connection to be made.
    pub connect: Duration,
    /// Time from the request until the head of the answer.
    pub answer: Duration,
    /// Largest whole answer, in bytes.
    pub body_limit: usize,
    /// Idle connections kept for each server.
    pub idle_per_server: usize,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(5),
            body_limit: 4 << 20,
            idle_per_server: 64,
        }
    }
}

/// A pool of HTTP connections with bounds on time and size.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool<HttpConnector, Body>,
    settings: ClientSettings,
}

impl Client {
    /// Creates a client.
    pub fn new(settings: ClientSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(settings.connect));
        connector.set_nodelay(true);
        // A connection that goes silent for good is told by probes only.
        connector.set_keepalive(Some(PROBE));
        connector.set_keepalive_interval(Some(PROBE));
        connector.set_keepalive_retries(Some(PROBES));
        let pool = Pool::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_max_idle_per_host(settings.idle_per_server)
            // A repeat by the pool would run a request twice that may run at most once.
            .retry_canceled_requests(false)
            .build(connector);
        Self { pool, settings }
    }

    /// Sends a request and returns the head of the answer with its body still to be read.
    ///
    /// # Errors
    /// [`Code::NotDispatched`] when no connection could be made, so that the server has seen
    /// nothing; [`Code::BackendBroke`] when anything went wrong after that.
    pub async fn send(
        &self,
        method: Method,
        url: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, Failure> {
        let req = build(method, url, headers, body)?;
        let answer = tokio::time::timeout(self.settings.answer, self.pool.request(req)).await;
        match answer {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(e)) if e.is_connect() => {
                Err(Failure::new(Code::NotDispatched, describe(url, &e)))
            }
            Ok(Err(e)) => Err(Failure::new(Code::BackendBroke, describe(url, &e))),
            Err(_) => Err(Failure::new(Code::BackendBroke, format!("{url}: no answer in time"))),
        }
    }

    /// Sends JSON and reads a whole JSON answer.
    ///
    /// # Errors
    /// As [`Client::send`]; the failure that the server tells; and [`Code::MalformedBody`] for an
    /// answer of another shape or status.
    pub async fn json<T: DeserializeOwned>(
        &self,
        method: Method,
        url: &str,
        body: &impl Serialize,
    ) -> Result<T, Failure> {
        let malformed =
            |e: serde_json::Error| Failure::new(Code::MalformedBody, format!("{url}: {e}"));
        let body = if method == Method::GET {
            Bytes::new()
        } else {
            Bytes::from(serde_json::to_vec(body).map_err(malformed)?)
        };
        let headers = [("content-type", "application/json")];
        let answer = self.send(method, url, &headers, body).await?;
        let status = answer.status();
        let read = read_limited(answer.into_body(), self.settings.body_limit);
        let read = tokio::time::timeout(self.settings.answer, read).await;
        let bytes =
            read.map_err(|_| Failure::new(Code::BackendBroke, format!("{url}: body stalled")))??;
        if let Some(failure) = problem_in(status, &bytes) {
            return Err(failure);
        }
        if !status.is_success() {
            let text = String::from_utf8_lossy(&bytes);
            return Err(Failure::new(Code::MalformedBody, format!("{url}: {status}: {text}")));
        }
        serde_json::from_slice(&bytes).map_err(malformed)
    }

    /// Gets a whole JSON answer.
    ///
    /// # Errors
    /// As [`Client::json`].
    pub async fn get<T: DeserializeOwned>(&self, url: &str) -> Result<T, Failure> {
        self.json(Method::GET, url, &()).await
    }
}

fn build(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<hyper::Request<Body>, Failure> {
    let bad = |e: String| Failure::new(Code::NotDispatched, format!("{url}: {e}"));
    let uri: Uri = url.parse().map_err(|e: hyper::http::uri::InvalidUri| bad(e.to_string()))?;
    let mut req = hyper::Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    let body = if body.is_empty() { empty() } else { full(body) };
    req.body(body).map_err(|e| bad(e.to_string()))
}

/// Returns the failure that an answer tells, if it tells one with a number.
fn problem_in(status: hyper::StatusCode, bytes: &[u8]) -> Option<Failure> {
    if status.is_success() { None } else { read_problem(bytes) }
}

fn describe(url: &str, e: &hyper_util::client::legacy::Error) -> String {
    use std::error::Error;
    match e.source() {
        Some(source) => format!("{url}: {e}: {source}"),
        None => format!("{url}: {e}"),
    }
}
