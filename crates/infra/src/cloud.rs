//! What fennelfold needs of the cloud API.

use crate::{Vm, VmRole};
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

/// The present price of a kind of VM.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Price {
    /// Data centre.
    pub data_centre: Name,
    /// Machine class.
    pub class: Name,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// Price of an hour.
    pub per_hour: f64,
}

/// Asks for a VM.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StartVm {
    /// Idempotency token: the same token gives the same VM.
    pub token: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Machine class.
    pub class: Name,
    /// Whether it can be reclaimed.
    pub reclaimable: bool,
    /// What runs on it.
    pub role: VmRole,
    /// Services it answers; for a model engine the models it loads.
    pub serves: Vec<Name>,
}

/// The part of the cloud API that starts and stops VMs.
///
/// Every method fails with [`kernel::Code::PlatformUnreachable`] when no answer came in time; a
/// start may have taken effect then and is sent again with the same token.
#[async_trait]
pub trait Market: Send + Sync {
    /// Lists the present prices.
    async fn prices(&self) -> Result<Vec<Price>, Failure>;

    /// Starts a VM.
    ///
    /// # Errors
    /// [`kernel::Code::VmRefused`] when there is no such VM to give.
    async fn start(&self, wanted: &StartVm) -> Result<Vm, Failure>;

    /// Stops a VM; one that is gone already counts as stopped.
    async fn stop(&self, vm: &Name) -> Result<(), Failure>;
}
