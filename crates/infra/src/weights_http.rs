//! The weight store by HTTP.

use crate::http::Endpoint;
use crate::weights::{WeightStore, Weights};
use async_trait::async_trait;
use kernel::Failure;
use serde::Deserialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A client of the weight store.
#[derive(Clone, Debug)]
pub struct HttpWeightStore {
    endpoint: Endpoint,
}

#[derive(Deserialize)]
struct Pulled {
    ready_in_ms: u64,
}

impl HttpWeightStore {
    /// Creates a client; a call that takes longer than `timeout` counts as failed.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { endpoint: Endpoint::new(address, timeout) }
    }
}

#[async_trait]
impl WeightStore for HttpWeightStore {
    async fn list(&self) -> Result<Vec<Weights>, Failure> {
        self.endpoint.get("/v1/weights").await
    }

    async fn pull(&self, weights: &Weights) -> Result<Duration, Failure> {
        let pulled: Pulled = self.endpoint.post("/v1/weights/pull", weights).await?;
        Ok(Duration::from_millis(pulled.ready_in_ms))
    }
}
