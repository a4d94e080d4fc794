//! Bodies of answers to callers.

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use kernel::Failure;

/// Chunks that are still to come; a failure cuts the answer so that it does not look whole.
pub(crate) type Chunks = LocalBoxStream<'static, Result<Frame<Bytes>, Failure>>;

/// The body of an answer to a caller.
pub(crate) type Body = Either<Full<Bytes>, StreamBody<Chunks>>;

/// An answer to a caller.
pub(crate) type Reply = Response<Body>;

pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

pub(crate) fn streamed_body(chunks: Chunks) -> Body {
    Either::Right(StreamBody::new(chunks))
}
