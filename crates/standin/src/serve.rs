//! Runs a stand-in's handler as a server.

use kernel::{Failure, Kernel};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;
use web::{Reply, Request, ServerSettings};

/// A stand-in that runs in this process, for tests.
#[derive(Debug)]
pub struct Running {
    /// Where it answers.
    pub address: SocketAddr,
    kernel: Arc<Kernel>,
    task: JoinHandle<()>,
}

impl Running {
    /// Stops it as a killed process would: connections break.
    pub fn kill(&self) {
        self.kernel.stop();
        self.task.abort();
    }

    /// Waits until it ends.
    pub async fn wait(self) {
        let _ = self.task.await;
    }
}

/// Starts a handler as a server; port 0 draws a free one.
///
/// # Errors
/// [`kernel::Code::PortInUse`] when the address cannot be listened on.
pub async fn start<F, R>(address: SocketAddr, handler: F) -> Result<Running, Failure>
where
    F: Fn(Request) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = Result<Reply, Failure>> + Send + 'static,
{
    let listener = web::bind(address).await?;
    let in_use = |e: std::io::Error| Failure::new(kernel::Code::PortInUse, e.to_string());
    let address = listener.local_addr().map_err(in_use)?;
    let kernel = Kernel::new();
    let settings = ServerSettings { drain: Duration::ZERO, ..ServerSettings::default() };
    let task = tokio::spawn(web::serve(listener, settings, kernel.stop_signal(), handler));
    Ok(Running { address, kernel, task })
}
