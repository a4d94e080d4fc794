//! What fennelfold needs of the VM list.

use async_trait::async_trait;
use kernel::{Failure, Name};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What runs on a VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmRole {
    /// A model engine.
    Model,
    /// A plain service.
    Plain,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It was told to leave.
    Leaving,
}

/// A backend server VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Vm {
    /// Name, unique in the platform.
    pub name: Name,
    /// Where it answers.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: Name,
    /// Machine class.
    pub class: Name,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// Price of an hour.
    pub price_per_hour: f64,
    /// What runs on it.
    pub role: VmRole,
    /// Services it answers; for a model engine the models it has loaded.
    pub serves: Vec<Name>,
    /// Whether it stays.
    pub state: VmState,
}

/// The VM list.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Lists the backend server VMs; the list lags.
    ///
    /// # Errors
    /// [`kernel::Code::PlatformUnreachable`] when no answer came in time.
    async fn list(&self) -> Result<Vec<Vm>, Failure>;
}
