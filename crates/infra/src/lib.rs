//! Adapters to the platform: key-value service, VM list, cloud API and weight store.
//!
//! Each interface is a narrow trait with one adapter file; another adapter needs no change
//! elsewhere.

mod cloud;
mod cloud_http;
mod duty;
mod etcd;
mod http;
mod kv;
mod observed;
mod vm_list;
mod vms_http;
mod weights;
mod weights_http;

pub use cloud::{Cloud, Market, Notice, Price, StartVm};
pub use cloud_http::HttpCloud;
pub use duty::{Duties, Holder, Ordered, ServerOrder};
pub use etcd::Etcd;
pub use kv::{Change, Commit, Committed, Kv, Lease, Listing, Put, Store, Stored, Swap, Watched};
pub use observed::{Health, Observed};
pub use vm_list::{Vm, VmList, VmRole, VmState};
pub use vms_http::HttpVmList;
pub use weights::{WeightStore, Weights};
pub use weights_http::HttpWeightStore;
