//! Key-value service: the JSON gateway of etcd v3, as far as fennelfold uses it.

mod api;
mod store;

pub use api::{Faults, Kv, Stats, run};
