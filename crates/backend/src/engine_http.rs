//! Orders to model engines and their caches, by HTTP.

use crate::cache::{CacheEvent, CacheSnapshot, Caches};
use crate::orders::{EngineState, Order, Orders};
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Method;
use kernel::{Code, Failure};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings, read_limited, read_problem};

/// A client for the orders and caches of all model engines.
#[derive(Clone, Debug)]
pub struct HttpEngines {
    client: Client,
    settings: ClientSettings,
}

#[derive(Serialize)]
struct Sent<'a> {
    fence: u64,
    #[serde(flatten)]
    order: &'a Order,
}

#[derive(Serialize)]
struct Blocks<'a> {
    blocks: &'a [u64],
}

#[derive(Deserialize)]
struct Imported {
    imported: usize,
}

impl HttpEngines {
    /// Creates the client; `answer` bounds an order, loading included, and `export` an export in
    /// bytes.
    pub fn new(answer: Duration, export: usize) -> Self {
        let settings = ClientSettings { answer, body_limit: export, ..ClientSettings::default() };
        Self { client: Client::new(settings), settings }
    }

    async fn post_bytes(
        &self,
        engine: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes, Failure> {
        let url = format!("http://{engine}{path}");
        let headers = [("content-type", "application/json")];
        let answer = self.client.send(Method::POST, &url, &headers, body).await?;
        let status = answer.status();
        let bytes = read_limited(answer.into_body(), self.settings.body_limit).await?;
        if status.is_success() {
            return Ok(bytes);
        }
        let unnamed = || Failure::new(Code::BackendBroke, format!("{url}: {status}"));
        Err(read_problem(&bytes).unwrap_or_else(unnamed))
    }
}

#[async_trait]
impl Orders for HttpEngines {
    async fn give(
        &self,
        engine: SocketAddr,
        fence: u64,
        order: &Order,
    ) -> Result<EngineState, Failure> {
        let url = format!("http://{engine}/v1/orders");
        self.client.json(Method::POST, &url, &Sent { fence, order }).await
    }

    async fn state(&self, engine: SocketAddr) -> Result<EngineState, Failure> {
        self.client.get(&format!("http://{engine}/v1/orders")).await
    }
}

#[async_trait]
impl Caches for HttpEngines {
    async fn events(&self, engine: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Failure> {
        self.client.get(&format!("http://{engine}/v1/cache/events?after={after}")).await
    }

    async fn snapshot(&self, engine: SocketAddr) -> Result<CacheSnapshot, Failure> {
        self.client.get(&format!("http://{engine}/v1/cache/blocks")).await
    }

    async fn export(&self, engine: SocketAddr, blocks: &[u64]) -> Result<Bytes, Failure> {
        let malformed = |e: serde_json::Error| Failure::new(Code::Internal, e.to_string());
        let body = serde_json::to_vec(&Blocks { blocks }).map_err(malformed)?;
        self.post_bytes(engine, "/v1/cache/export", body.into()).await
    }

    async fn import(&self, engine: SocketAddr, exported: Bytes) -> Result<usize, Failure> {
        let answer = self.post_bytes(engine, "/v1/cache/import", exported).await?;
        let malformed = |e: serde_json::Error| Failure::new(Code::BackendBroke, e.to_string());
        let imported: Imported = serde_json::from_slice(&answer).map_err(malformed)?;
        Ok(imported.imported)
    }
}
