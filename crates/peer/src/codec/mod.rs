//! Between plain types and the generated Cap'n Proto types.

mod parts;
mod reply;
mod request;

pub(crate) use reply::{read_reply, write_reply};
pub(crate) use request::{read_request, write_request};

use kernel::{Code, Failure};

/// Turns a malformed message into a failure.
pub(crate) fn malformed(e: impl std::fmt::Display) -> Failure {
    Failure::new(Code::PeerUnreachable, format!("malformed message: {e}"))
}
