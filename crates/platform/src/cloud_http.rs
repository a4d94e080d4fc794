//! The cloud API by HTTP.

use crate::cloud::{Cloud, Notice};
use async_trait::async_trait;
use kernel::{Code, Failure};
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings};

/// Time that a call may take beyond the time it waits.
const MARGIN: Duration = Duration::from_secs(2);

/// A client of the cloud API.
#[derive(Clone, Debug)]
pub struct HttpCloud {
    base: String,
    client: Client,
}

impl HttpCloud {
    /// Creates a client; `wait` is the longest time that a call waits for notices.
    pub fn new(address: SocketAddr, wait: Duration) -> Self {
        let settings = ClientSettings { answer: wait + MARGIN, ..ClientSettings::default() };
        Self { base: format!("http://{address}"), client: Client::new(settings) }
    }
}

#[async_trait]
impl Cloud for HttpCloud {
    async fn notices(&self, after: u64, wait_ms: u64) -> Result<Vec<Notice>, Failure> {
        let url = format!("{}/v1/notices?after={after}&wait_ms={wait_ms}", self.base);
        let listed = self.client.get(&url).await;
        listed.map_err(|failure| Failure::new(Code::PlatformUnreachable, failure.context))
    }
}
