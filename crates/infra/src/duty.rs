//! Calls to the platform that one entry makes for all.

use async_trait::async_trait;
use kernel::{Failure, Name};
use std::collections::BTreeMap;

/// Who makes a call: the entry that holds the duty, and its fencing number.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Name of the entry.
    pub entry: Name,
    /// Fencing number; rises when the holder changes.
    pub number: i64,
}

/// An order for backend servers of one service in one data centre.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ServerOrder {
    /// The service.
    pub service: Name,
    /// The data centre.
    pub data_centre: Name,
    /// Whether the servers may be reclaimed.
    pub reclaimable: bool,
    /// How many there shall be.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ordered {
    /// It was taken.
    Taken,
    /// There are none to be had at present.
    NoneLeft,
}

/// Calls that are the duty of one entry at a time.
///
/// Methods fail with [`kernel::Code::PlatformUnreachable`] when no answer came in time; the call
/// may have taken effect then.
#[async_trait]
pub trait Duties: Send + Sync {
    /// Reports the requests that began in a window, by organisation.
    async fn report_usage(
        &self,
        holder: &Holder,
        window: u64,
        counts: &BTreeMap<Name, u64>,
    ) -> Result<(), Failure>;

    /// Orders backend servers.
    async fn order(&self, holder: &Holder, order: &ServerOrder) -> Result<Ordered, Failure>;
}
