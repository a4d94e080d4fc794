//! Conversion between plain types and the generated Cap'n Proto types.

mod gossip;
mod parts;
mod reply;
mod request;

pub(crate) use reply::{read_reply, write_reply};
pub(crate) use request::{read_request, write_request};

use crate::message::{Reply, Request};
use kernel::{Code, Failure, NodeId};

/// Returns the failure for a malformed message.
pub(crate) fn malformed(e: impl std::fmt::Display) -> Failure {
    Failure::new(Code::PeerUnreachable, format!("malformed message: {e}"))
}

/// Encodes a request as the message that one capnp-rpc call carries.
pub fn encode_request(to: &NodeId, req: &Request) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    write_request(message.init_root(), to, req);
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes a request that [`encode_request`] encoded.
///
/// # Errors
/// [`Code::PeerUnreachable`] when the bytes are malformed.
pub fn decode_request(bytes: &[u8]) -> Result<(NodeId, Request), Failure> {
    let options = capnp::message::ReaderOptions::default();
    let message = capnp::serialize::read_message(bytes, options).map_err(malformed)?;
    message.get_root().and_then(read_request).map_err(malformed)
}

/// Encodes a reply as the message that one capnp-rpc return carries.
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    let mut message = capnp::message::Builder::new_default();
    write_reply(message.init_root(), reply);
    capnp::serialize::write_message_to_words(&message)
}

/// Decodes a reply that [`encode_reply`] encoded.
///
/// # Errors
/// [`Code::PeerUnreachable`] when the bytes are malformed.
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, Failure> {
    let options = capnp::message::ReaderOptions::default();
    let message = capnp::serialize::read_message(bytes, options).map_err(malformed)?;
    message.get_root().and_then(read_reply).map_err(malformed)
}
