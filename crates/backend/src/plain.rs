//! Plain services: one call, one answer.

use crate::{PlainServices, Tag};
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use kernel::{Code, Failure};
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings, read_limited};

/// Header that carries the tag of an attempt there and back.
const TAG_HEADER: &str = "x-request-id";

/// A client of all plain services.
#[derive(Clone, Debug)]
pub struct Plain {
    client: Client,
    limit: usize,
}

/// The answer of a plain service.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Whole body.
    pub body: Bytes,
}

impl Plain {
    /// Creates the client; `limit` bounds the answer in bytes.
    pub fn new(limit: usize) -> Self {
        // The deadline of each call is given with it.
        let settings =
            ClientSettings { answer: Duration::from_secs(3600), ..ClientSettings::default() };
        Self { client: Client::new(settings), limit }
    }

    async fn call_unbounded(
        &self,
        address: SocketAddr,
        path: &str,
        tag: &Tag,
        body: Bytes,
    ) -> Result<PlainAnswer, Failure> {
        let url = format!("http://{address}{path}");
        let name = tag.to_string();
        let headers = [(TAG_HEADER, name.as_str()), ("idempotency-key", tag.key.id.as_str())];
        let answer = self.client.send(Method::POST, &url, &headers, body).await?;
        let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
        if header(TAG_HEADER).is_some_and(|value| value != name) {
            return Err(Failure::new(Code::Incomplete, "the server sent another request's answer"));
        }
        let status = answer.status().as_u16();
        let content_type = header("content-type").unwrap_or("application/octet-stream").to_owned();
        let body = read_limited(answer.into_body(), self.limit).await;
        let body = body.map_err(|failure| Failure::new(Code::Incomplete, failure.context))?;
        Ok(PlainAnswer { status, content_type, body })
    }
}

#[async_trait]
impl PlainServices for Plain {
    async fn call(
        &self,
        address: SocketAddr,
        path: &str,
        tag: &Tag,
        body: Bytes,
        left: Duration,
    ) -> Result<PlainAnswer, Failure> {
        let late = |_| Failure::new(Code::BackendBroke, format!("{address}: the deadline passed"));
        let call = self.call_unbounded(address, path, tag, body);
        tokio::time::timeout(left, call).await.map_err(late)?
    }
}
