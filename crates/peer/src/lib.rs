//! Transport between entries over capnp-rpc.
//!
//! capnp-rpc works on one thread, so a thread of its own runs it. [`Peers`] talks to that thread by
//! channels and can be used from any task.

mod codec;
mod message;
mod transport;

pub use message::{Handler, Reply, Request};
pub use transport::{PeerSettings, Peers};
