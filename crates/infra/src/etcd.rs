//! The key-value service by the JSON gateway of etcd v3.

use crate::kv::{Kv, Lease, Stored, Swap};
use async_trait::async_trait;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use futures::StreamExt;
use http_body_util::BodyStream;
use hyper::Method;
use kernel::{Code, Failure};
use serde::Deserialize;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings};

/// Time that one watch waits before it is made again.
const WATCH_TIME: Duration = Duration::from_secs(60);

/// A client of the key-value service.
#[derive(Clone, Debug)]
pub struct Etcd {
    base: String,
    client: Client,
}

#[derive(Deserialize)]
struct KeyValue {
    #[serde(default)]
    key: String,
    #[serde(default)]
    value: String,
    #[serde(default)]
    mod_revision: String,
}

#[derive(Default, Deserialize)]
struct RangeAnswer {
    #[serde(default)]
    kvs: Vec<KeyValue>,
}

#[derive(Deserialize)]
struct Header {
    #[serde(default)]
    revision: String,
}

#[derive(Deserialize)]
struct TxnAnswer {
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<TxnResponse>,
}

#[derive(Deserialize)]
struct TxnResponse {
    response_range: Option<RangeAnswer>,
}

#[derive(Deserialize)]
struct GrantAnswer {
    #[serde(rename = "ID")]
    id: String,
}

#[derive(Deserialize)]
struct RenewAnswer {
    result: RenewResult,
}

#[derive(Deserialize)]
struct RenewResult {
    #[serde(rename = "TTL", default)]
    ttl: String,
}

#[derive(Deserialize)]
struct WatchAnswer {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    kv: KeyValue,
}

impl Etcd {
    /// Creates a client; a call that takes longer than `timeout` counts as failed.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let settings =
            ClientSettings { answer: timeout, connect: timeout, ..ClientSettings::default() };
        Self { base: format!("http://{address}"), client: Client::new(settings) }
    }

    async fn post<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: Value,
    ) -> Result<T, Failure> {
        let url = format!("{}{path}", self.base);
        self.client.json(Method::POST, &url, &body).await.map_err(unreachable)
    }
}

#[async_trait]
impl Kv for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Stored>, Failure> {
        let answer: RangeAnswer = self.post("/v3/kv/range", json!({"key": encode(key)})).await?;
        answer.kvs.first().map(stored).transpose()
    }

    async fn range(&self, prefix: &str) -> Result<Vec<(String, Stored)>, Failure> {
        let body = json!({"key": encode(prefix), "range_end": encode(&prefix_end(prefix))});
        let answer: RangeAnswer = self.post("/v3/kv/range", body).await?;
        let pair = |kv: &KeyValue| {
            Ok((String::from_utf8_lossy(&decode(&kv.key)?).into_owned(), stored(kv)?))
        };
        answer.kvs.iter().map(pair).collect()
    }

    async fn swap(
        &self,
        key: &str,
        expected: i64,
        value: Bytes,
        lease: Option<Lease>,
    ) -> Result<Swap, Failure> {
        let key = encode(key);
        let mut put = json!({"key": key, "value": STANDARD.encode(&value)});
        if let Some(Lease(id)) = lease {
            put["lease"] = json!(id.to_string());
        }
        let compare = json!({"key": key, "target": "MOD", "result": "EQUAL", "mod_revision": expected.to_string()});
        let body = json!({
            "compare": [compare],
            "success": [{"request_put": put}],
            "failure": [{"request_range": {"key": key}}],
        });
        let answer: TxnAnswer = self.post("/v3/kv/txn", body).await?;
        if answer.succeeded {
            return Ok(Swap::Done(number(&answer.header.revision)?));
        }
        let range =
            answer.responses.into_iter().next().and_then(|response| response.response_range);
        let range = range.unwrap_or_default();
        Ok(Swap::Other(range.kvs.first().map(stored).transpose()?))
    }

    async fn grant(&self, seconds: i64) -> Result<Lease, Failure> {
        let answer: GrantAnswer =
            self.post("/v3/lease/grant", json!({"TTL": seconds.to_string()})).await?;
        Ok(Lease(number(&answer.id)?))
    }

    async fn renew(&self, lease: Lease) -> Result<bool, Failure> {
        let body = json!({"ID": lease.0.to_string()});
        let answer: RenewAnswer = self.post("/v3/lease/keepalive", body).await?;
        Ok(!answer.result.ttl.is_empty() && answer.result.ttl != "0")
    }

    async fn changed(&self, key: &str, revision: i64) -> Result<Stored, Failure> {
        let create = json!({"create_request": {"key": encode(key), "start_revision": (revision + 1).to_string()}});
        let body = Bytes::from(create.to_string());
        let url = format!("{}/v3/watch", self.base);
        let answer = self.client.send(Method::POST, &url, &[], body).await.map_err(unreachable)?;
        let mut lines = Lines::new(answer.into_body());
        let waiting = async {
            while let Some(line) = lines.next().await? {
                let answer: WatchAnswer = serde_json::from_slice(&line).map_err(malformed)?;
                if let Some(event) = answer.result.events.last() {
                    return stored(&event.kv);
                }
            }
            Err(Failure::new(Code::PlatformUnreachable, "the watch ended"))
        };
        let late = |_| Failure::new(Code::PlatformUnreachable, "nothing changed during the watch");
        tokio::time::timeout(WATCH_TIME, waiting).await.map_err(late)?
    }
}

/// Lines of a body that goes on.
struct Lines {
    body: BodyStream<hyper::body::Incoming>,
    buf: Vec<u8>,
}

impl Lines {
    fn new(body: hyper::body::Incoming) -> Self {
        Self { body: BodyStream::new(body), buf: Vec::new() }
    }

    async fn next(&mut self) -> Result<Option<Vec<u8>>, Failure> {
        loop {
            if let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
                return Ok(Some(self.buf.drain(..=end).collect()));
            }
            let Some(frame) = self.body.next().await else { return Ok(None) };
            let frame =
                frame.map_err(|e| Failure::new(Code::PlatformUnreachable, e.to_string()))?;
            self.buf.extend_from_slice(&frame.into_data().unwrap_or_default());
        }
    }
}

fn stored(kv: &KeyValue) -> Result<Stored, Failure> {
    Ok(Stored { value: decode(&kv.value)?.into(), revision: number(&kv.mod_revision)? })
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

fn decode(text: &str) -> Result<Vec<u8>, Failure> {
    STANDARD.decode(text).map_err(malformed)
}

fn number(text: &str) -> Result<i64, Failure> {
    text.parse().map_err(malformed)
}

/// Returns the first key after all keys that start with `prefix`.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    if let Some(last) = end.pop() {
        end.push(char::from_u32(last as u32 + 1).unwrap_or(char::MAX));
    }
    end
}

fn malformed(e: impl std::fmt::Display) -> Failure {
    Failure::new(Code::PlatformUnreachable, format!("malformed answer: {e}"))
}

fn unreachable(failure: Failure) -> Failure {
    Failure::new(Code::PlatformUnreachable, failure.context)
}
