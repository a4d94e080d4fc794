//! Adapters to the platform: key-value service, VM list and cloud API.
//!
//! Each interface is a narrow trait with one adapter file; another adapter needs no change
//! elsewhere.

mod cloud;
mod cloud_http;
mod etcd;
mod kv;
mod observed;
mod vm_list;
mod vms_http;

pub use cloud::{Cloud, Notice};
pub use cloud_http::HttpCloud;
pub use etcd::Etcd;
pub use kv::{Kv, Lease, Stored, Swap};
pub use observed::{Health, Observed};
pub use vm_list::{Vm, VmList, VmRole, VmState};
pub use vms_http::HttpVmList;
