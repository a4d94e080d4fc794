//! Clients of model engines and plain services.
//!
//! Every message carries the request, the run of the owner and the attempt. An answer whose
//! numbers do not match is not passed on.

mod engine;
mod plain;
mod tag;

pub use engine::{Engine, EngineLoad, Generation, Piece};
pub use plain::{Plain, PlainAnswer};
pub use tag::Tag;
