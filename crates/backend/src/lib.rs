//! Clients of model engines and plain services.
//!
//! Every message carries the request, the run of the owner and the attempt. An answer whose
//! numbers do not match is not passed on.

mod cache;
mod engine;
mod engine_http;
mod orders;
mod plain;
mod serving;
mod tag;

pub use cache::{CacheEvent, CacheSnapshot, Caches, is_gapless};
pub use engine::{Engine, EngineLoad, Piece};
pub use engine_http::HttpEngines;
pub use orders::{EngineState, Loaded, Order, Orders};
pub use plain::{Plain, PlainAnswer};
pub use serving::{Engines, Pieces, PlainServices};
pub use tag::Tag;
