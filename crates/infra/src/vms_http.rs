//! The VM list by HTTP.

use crate::http::Endpoint;
use crate::vm_list::{Vm, VmList};
use async_trait::async_trait;
use kernel::Failure;
use std::net::SocketAddr;
use std::time::Duration;

/// A client of the VM list.
#[derive(Clone, Debug)]
pub struct HttpVmList {
    endpoint: Endpoint,
}

impl HttpVmList {
    /// Creates a client; a call that takes longer than `timeout` counts as failed.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { endpoint: Endpoint::new(address, timeout) }
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Vec<Vm>, Failure> {
        self.endpoint.get("/v1/vms").await
    }
}
