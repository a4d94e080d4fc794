//! Connections of callers that tell whether bytes wait to be sent.

use crate::context::Context;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{self, Poll};
use tokio::net::TcpStream;

/// A connection that counts itself in [`Context::blocked_connections`] while its caller reads more slowly
/// than it is sent to. A response counts as sent only when its last byte was written.
pub(crate) struct TrackedIo {
    io: TokioIo<TcpStream>,
    cx: Rc<Context>,
    is_blocked: bool,
}

impl TrackedIo {
    pub(crate) fn new(cx: Rc<Context>, stream: TcpStream) -> Self {
        Self { io: TokioIo::new(stream), cx, is_blocked: false }
    }

    fn set_blocked(&mut self, is_blocked: bool) {
        if is_blocked == self.is_blocked {
            return;
        }
        self.is_blocked = is_blocked;
        let count = self.cx.blocked_connections.get();
        let count = if is_blocked { count + 1 } else { count.saturating_sub(1) };
        self.cx.blocked_connections.set(count);
    }

    /// Notes the result of writing `len` bytes. The HTTP library writes until nothing is left or a write
    /// is not completed.
    fn record_write(
        &mut self,
        written: Poll<io::Result<usize>>,
        len: usize,
    ) -> Poll<io::Result<usize>> {
        self.set_blocked(match &written {
            Poll::Pending => true,
            Poll::Ready(Ok(written)) => *written < len,
            // The connection has ended.
            Poll::Ready(Err(_)) => false,
        });
        written
    }
}

impl Drop for TrackedIo {
    fn drop(&mut self) {
        self.set_blocked(false);
    }
}

impl Read for TrackedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl Write for TrackedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(written, buf.len())
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut task::Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(written, len)
    }
}
