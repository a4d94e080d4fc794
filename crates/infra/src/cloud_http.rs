//! The cloud API by HTTP.

use crate::Vm;
use crate::cloud::{Cloud, Market, Notice, Price, StartVm};
use crate::http::Endpoint;
use async_trait::async_trait;
use kernel::{Failure, Name};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a call may take beyond the time it waits.
const MARGIN: Duration = Duration::from_secs(2);

/// A client of the cloud API.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    endpoint: Endpoint,
}

impl HttpCloud {
    /// Creates a client; `wait` is the longest time that a call waits for notices.
    pub fn new(address: SocketAddr, wait: Duration) -> Self {
        Self { endpoint: Endpoint::new(address, wait + MARGIN) }
    }
}

#[async_trait]
impl Cloud for HttpCloud {
    async fn notices(&self, after: u64, wait_ms: u64) -> Result<Vec<Notice>, Failure> {
        self.endpoint.get(&format!("/v1/notices?after={after}&wait_ms={wait_ms}")).await
    }
}

#[async_trait]
impl Market for HttpCloud {
    async fn prices(&self) -> Result<Vec<Price>, Failure> {
        self.endpoint.get("/v1/prices").await
    }

    async fn start(&self, wanted: &StartVm) -> Result<Vm, Failure> {
        self.endpoint.post("/v1/start", wanted).await
    }

    async fn stop(&self, vm: &Name) -> Result<(), Failure> {
        let body = serde_json::json!({"vm": vm});
        self.endpoint.post::<serde_json::Value>("/v1/stop", &body).await.map(drop)
    }
}
