//! Bodies of responses to callers.

use bytes::Bytes;
use futures::stream::LocalBoxStream;
use http_body_util::{Either, Full, StreamBody};
use hyper::Response;
use hyper::body::Frame;
use kernel::Failure;

/// Stream of body chunks. A failure aborts the response so that the caller sees it is incomplete.
pub(crate) type Chunks = LocalBoxStream<'static, Result<Frame<Bytes>, Failure>>;

/// Body of a response to a caller.
pub(crate) type Body = Either<Full<Bytes>, StreamBody<Chunks>>;

/// Response to a caller.
pub(crate) type Reply = Response<Body>;

/// Creates a body from bytes that are complete.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> Body {
    Either::Left(Full::new(bytes.into()))
}

/// Creates a body from chunks that arrive over time.
pub(crate) fn streamed_body(chunks: Chunks) -> Body {
    Either::Right(StreamBody::new(chunks))
}
