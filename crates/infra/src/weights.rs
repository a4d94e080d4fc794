//! What fennelfold needs of the weight store.

use async_trait::async_trait;
use kernel::{Failure, Name};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The weights of one version of a model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Weights {
    /// Name of the model.
    pub model: Name,
    /// Version of the weights.
    pub version: Name,
    /// Size in bytes.
    pub bytes: u64,
}

/// The weight store.
#[async_trait]
pub trait WeightStore: Send + Sync {
    /// Lists the weights that it holds.
    ///
    /// # Errors
    /// [`kernel::Code::PlatformUnreachable`] when no answer came in time.
    async fn list(&self) -> Result<Vec<Weights>, Failure>;

    /// Starts a transfer, and returns the time until it is done.
    ///
    /// # Errors
    /// [`kernel::Code::WeightsBusy`] when the store is over its rate, with the time to come back
    /// after; [`kernel::Code::PlatformUnreachable`] when no answer came in time.
    async fn pull(&self, weights: &Weights) -> Result<Duration, Failure>;
}
