//! Counts the connections between entries and the bytes sent and received on them.

use kernel::Metrics;
use opentelemetry::metrics::Counter;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use web::ClientConnection;

/// Counters of the connections between entries; clones share them.
#[derive(Clone, Debug)]
pub struct Traffic {
    sent: Counter<u64>,
    received: Counter<u64>,
    opened: Counter<u64>,
    closed: Counter<u64>,
}

impl Traffic {
    /// Name under which the kernel registers the counters.
    pub const NAME: &'static str = "traffic";

    /// Creates the counters.
    pub fn new(metrics: &Metrics) -> Self {
        Self {
            sent: metrics.counter("peer_sent_bytes", "Bytes sent to other entries"),
            received: metrics.counter("peer_received_bytes", "Bytes received from other entries"),
            opened: metrics.counter("peer_connections_opened", "Connections with other entries"),
            closed: metrics
                .counter("peer_connections_closed", "Connections with other entries that ended"),
        }
    }

    /// Counts a connection and wraps it to count its bytes. One that was accepted is that of a client.
    pub(crate) fn count_stream(
        &self,
        stream: TcpStream,
        client: Option<Arc<ClientConnection>>,
    ) -> CountedStream {
        self.opened.add(1, &[]);
        CountedStream { stream, traffic: self.clone(), client }
    }
}

/// A TCP stream whose bytes are counted; it counts as closed when dropped.
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: Traffic,
    client: Option<Arc<ClientConnection>>,
}

impl Drop for CountedStream {
    fn drop(&mut self) {
        self.traffic.closed.add(1, &[]);
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            self.traffic.received.add(read as u64, &[]);
            if let Some(client) = &self.client {
                client.mark_used();
            }
        }
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(written)) = &polled {
            self.traffic.sent.add(*written as u64, &[]);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
