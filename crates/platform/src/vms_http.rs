//! The VM list by HTTP.

use crate::vm_list::{Vm, VmList};
use async_trait::async_trait;
use kernel::{Code, Failure};
use std::net::SocketAddr;
use std::time::Duration;
use web::{Client, ClientSettings};

/// A client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    url: String,
    client: Client,
}

impl HttpVmList {
    /// Creates a client; a call that takes longer than `timeout` counts as failed.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        let settings =
            ClientSettings { answer: timeout, connect: timeout, ..ClientSettings::default() };
        Self { url: format!("http://{address}/v1/vms"), client: Client::new(settings) }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, Failure> {
        let listed = self.client.get(&self.url).await;
        listed.map_err(|failure| Failure::new(Code::PlatformUnreachable, failure.context))
    }
}
