//! Transport between entries over capnp-rpc.
//!
//! capnp-rpc objects are bound to one thread, so a dedicated thread runs them. [`Peers`] sends
//! calls to that thread through a channel and can be used from any task.

mod codec;
mod connections;
mod message;
mod traffic;
mod transport;

pub use codec::{decode_reply, decode_request, encode_reply, encode_request};
pub use message::{Handler, Reply, Request};
pub use traffic::Traffic;
pub use transport::{PeerSettings, Peers};
