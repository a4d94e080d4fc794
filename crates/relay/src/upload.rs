//! Bodies of requests to backend servers, of which it is known whether they are written.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// Size of the pieces in which a body is given to its connection, in bytes. The connection takes the next one when it has
/// written most of those before.
const PIECE_BYTES: usize = 64 << 10;

/// Whether a connection has taken the whole body of its request.
#[derive(Clone, Debug, Default)]
pub(crate) struct UploadProgress(Rc<Cell<bool>>);

impl UploadProgress {
    /// Whether part of the body has not been written yet.
    pub(crate) fn is_unfinished(&self) -> bool {
        self.0.get()
    }
}

/// Body of a request, which is written piece by piece.
#[derive(Debug)]
pub(crate) struct Upload {
    rest: Bytes,
    progress: UploadProgress,
}

impl Upload {
    /// Creates a body, whose progress is noted from now on.
    pub(crate) fn new(bytes: Bytes, progress: UploadProgress) -> Self {
        progress.0.set(!bytes.is_empty());
        Self { rest: bytes, progress }
    }
}

impl Body for Upload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let upload = self.get_mut();
        if upload.rest.is_empty() {
            return Poll::Ready(None);
        }
        let piece = upload.rest.split_to(PIECE_BYTES.min(upload.rest.len()));
        upload.progress.0.set(!upload.rest.is_empty());
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
