//! A client of entries: goes on to the next one when one does not answer.

use bytes::Bytes;
use hyper::Method;
use hyper::body::Incoming;
use kernel::{Code, Failure};
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings, read_limited};

/// Largest answer read whole, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Talks to entries in their order.
pub(crate) struct Caller {
    client: Client,
    entries: Vec<SocketAddr>,
}

impl Caller {
    /// Creates a caller of these entries.
    pub(crate) fn new(entries: Vec<SocketAddr>, answer: Duration) -> Self {
        let settings = ClientSettings { answer, ..ClientSettings::default() };
        Self { client: Client::new(settings), entries }
    }

    /// Gets JSON from the first entry that answers.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Failure> {
        self.ask(Method::GET, path, Bytes::new()).await
    }

    /// Posts JSON to the first entry that answers.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        self.ask(Method::POST, path, body).await
    }

    async fn ask<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<T, Failure> {
        let mut last = Failure::new(Code::PeerUnreachable, "no entry was named");
        for entry in &self.entries {
            let url = format!("http://{entry}{path}");
            match self.client.send(method.clone(), &url, &[], body.clone()).await {
                Ok(answer) => {
                    let bytes = accept(answer).await?;
                    let malformed =
                        |e: serde_json::Error| Failure::new(Code::MalformedBody, e.to_string());
                    return serde_json::from_slice(&bytes).map_err(malformed);
                }
                Err(failure) => last = Failure::new(Code::PeerUnreachable, failure.context),
            }
        }
        Err(last)
    }

    /// Sends to one entry.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<hyper::Response<Incoming>, Failure> {
        let url = format!("http://{entry}{path}");
        self.client.send(method, &url, headers, body).await
    }
}

/// Reads a whole answer; a problem becomes the failure that it tells.
pub(crate) async fn accept(answer: hyper::Response<Incoming>) -> Result<Bytes, Failure> {
    let status = answer.status();
    let is_problem =
        answer.headers().get("content-type").is_some_and(|kind| kind == "application/problem+json");
    let bytes = read_limited(answer.into_body(), ANSWER_LIMIT).await?;
    if is_problem {
        return Err(problem(&bytes));
    }
    if !status.is_success() {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        return Err(Failure::new(Code::PeerUnreachable, format!("{status}: {text}")));
    }
    Ok(bytes)
}

/// Reads the failure out of a problem document or an error event.
pub(crate) fn problem(bytes: &[u8]) -> Failure {
    let unreadable = || Failure::new(Code::Internal, String::from_utf8_lossy(bytes));
    web::read_problem(bytes).unwrap_or_else(unreadable)
}
