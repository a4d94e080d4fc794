//! The socket of a client, which tells the registry what it reads and sends.

use crate::clients::ClientConnection;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Maximum number of bytes that are read at once. The HTTP library doubles its buffer of 8 KiB when it is filled.
const READ_BYTES: usize = (8 << 10) - 1;
/// Maximum number of bytes that are passed over before a connection is closed.
const LINGER_BYTES: usize = 8 << 20;
/// Maximum time for which bytes are passed over.
const LINGER_TIME: Duration = Duration::from_secs(2);

/// The socket of a client.
#[derive(Debug)]
pub struct ClientIo {
    stream: TcpStream,
    connection: Arc<ClientConnection>,
    linger: Option<Linger>,
}

/// A connection that reads on although its answer was sent.
#[derive(Debug)]
struct Linger {
    end: Pin<Box<Sleep>>,
    left_bytes: usize,
}

impl ClientIo {
    /// Creates the socket of a connection.
    pub fn new(stream: TcpStream, connection: Arc<ClientConnection>) -> Self {
        Self { stream, connection, linger: None }
    }

    /// Notes the result of writing `len` bytes. The HTTP library writes until nothing is left or a write is not
    /// completed.
    fn record_write(&self, written: &Poll<io::Result<usize>>, len: usize) {
        match written {
            Poll::Pending => self.connection.send(0, true),
            Poll::Ready(Ok(written)) => self.connection.send(*written, *written < len),
            // The connection has ended.
            Poll::Ready(Err(_)) => self.connection.send(0, false),
        }
    }
}

/// Reads some bytes, at most `limit`, and hands them on.
fn poll_read_some<T>(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    limit: usize,
    hand_on: impl FnOnce(&[u8]) -> T,
) -> Poll<io::Result<T>> {
    let mut bytes = [MaybeUninit::uninit(); READ_BYTES];
    let mut part = ReadBuf::uninit(&mut bytes[..limit.min(READ_BYTES)]);
    ready!(Pin::new(stream).poll_read(cx, &mut part))?;
    Poll::Ready(Ok(hand_on(part.filled())))
}

impl Linger {
    /// Passes bytes over until the client closes the connection or has sent too much.
    fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        while self.end.as_mut().poll(cx).is_pending() {
            let read = poll_read_some(stream, cx, READ_BYTES, <[u8]>::len);
            match ready!(read) {
                Ok(len) if len > 0 && len < self.left_bytes => self.left_bytes -= len,
                Ok(_) | Err(_) => break,
            }
        }
        Poll::Ready(())
    }
}

impl AsyncRead for ClientIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buf.remaining();
        let hand_on = |bytes: &[u8]| {
            buf.put_slice(bytes);
            bytes.len()
        };
        let len = ready!(poll_read_some(&mut self.stream, cx, limit, hand_on))?;
        if len > 0 && !self.connection.receive_head(len) {
            let error = io::Error::new(io::ErrorKind::OutOfMemory, "no memory is left for heads");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ClientIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&written, buf.len());
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.connection.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        if !self.connection.has_unread_body() {
            return Poll::Ready(Ok(()));
        }
        let Self { stream, linger, .. } = &mut *self;
        let linger = linger.get_or_insert_with(|| Linger {
            end: Box::pin(tokio::time::sleep(LINGER_TIME)),
            left_bytes: LINGER_BYTES,
        });
        linger.poll(stream, cx).map(Ok)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let len = bufs.iter().map(|buf| buf.len()).sum();
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&written, len);
        written
    }
}
