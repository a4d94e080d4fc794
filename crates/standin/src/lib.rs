//! Small stand-ins for the platform and for backend servers; not shipped.
//!
//! Each runs as a process of its own. `POST /fault` sets its faults, `GET /stats` shows its counts.

pub mod engine;
pub mod kv;
pub mod plain;
pub mod platform_api;
mod serve;
pub mod weights;

pub use serve::{Running, start};
