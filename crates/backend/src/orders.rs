//! What fennelfold needs of the orders that model engines take.

use async_trait::async_trait;
use kernel::{Failure, Name};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// What an engine is told to do.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "order")]
pub enum Order {
    /// Load a version of a model.
    Load {
        /// Name of the model.
        model: Name,
        /// Version of the weights.
        version: Name,
    },
    /// Drop a model and its adapters.
    Unload {
        /// Name of the model.
        model: Name,
    },
    /// Load an adapter of a model that is loaded.
    LoadAdapter {
        /// Name of the model.
        model: Name,
        /// Name of the adapter.
        adapter: Name,
    },
    /// Take a role, such as prefill or decode.
    Role {
        /// Name of the role.
        role: Name,
    },
}

/// A model that is loaded.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Loaded {
    /// Version of the weights.
    pub version: Name,
    /// Adapters.
    pub adapters: Vec<Name>,
}

/// What an engine has been told.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineState {
    /// Highest fencing number seen.
    pub fence: u64,
    /// Models by name.
    pub models: BTreeMap<Name, Loaded>,
    /// Role.
    pub role: Name,
}

/// The orders that model engines take.
///
/// Every method fails with [`kernel::Code::NotDispatched`] when the engine was not reached, and with
/// [`kernel::Code::BackendBroke`] when the order may have been carried out.
#[async_trait]
pub trait Orders: Send + Sync {
    /// Gives an order with a fencing number; some engines refuse an old one and others ignore it.
    ///
    /// # Errors
    /// [`kernel::Code::OrderFenced`] when the engine has seen a higher fencing number.
    async fn give(
        &self,
        engine: SocketAddr,
        fence: u64,
        order: &Order,
    ) -> Result<EngineState, Failure>;

    /// Reads what an engine has been told.
    async fn state(&self, engine: SocketAddr) -> Result<EngineState, Failure>;
}
