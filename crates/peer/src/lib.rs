//! Transport between entries over capnp-rpc.
//!
//! capnp-rpc works on one thread, so a thread of its own runs it. [`Peers`] talks to that thread by
//! channels and can be used from any task.

mod codec;
mod connections;
mod message;
mod traffic;
mod transport;

pub use codec::{decode_reply, decode_request, encode_reply, encode_request};
pub use message::{Handler, Reply, Request};
pub use traffic::Traffic;
pub use transport::{PeerSettings, Peers};
