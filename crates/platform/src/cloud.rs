//! What fennelfold needs of the cloud API.

use async_trait::async_trait;
use kernel::{Failure, Name};
use serde::{Deserialize, Serialize};

/// A notice that a VM will be reclaimed.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Notice {
    /// Number of the notice; rises.
    pub number: u64,
    /// Name of the VM.
    pub vm: Name,
    /// Milliseconds until the VM ends, when the notice was sent.
    pub in_ms: u64,
}

/// The cloud API.
#[async_trait]
pub trait Cloud: Send + Sync {
    /// Waits up to `wait_ms` for notices with a number above `after`.
    ///
    /// # Errors
    /// [`kernel::Code::PlatformUnreachable`] when no answer came in time.
    async fn notices(&self, after: u64, wait_ms: u64) -> Result<Vec<Notice>, Failure>;
}
