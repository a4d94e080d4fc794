//! Bodies: whole, streamed, and read within a limit.

use crate::clients::ClientConnection;
use crate::server::Request;
use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures::stream::BoxStream;
use futures::{Stream, StreamExt};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, BodyStream, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use kernel::{Code, Failure};
use serde::de::DeserializeOwned;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

/// The body of a reply.
pub type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Creates an empty body.
pub fn empty() -> Body {
    full(Bytes::new())
}

/// Creates a body that is whole already.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).boxed_unsync()
}

/// Creates a body from chunks that are still to come.
pub fn stream(chunks: impl Stream<Item = Bytes> + Send + 'static) -> Body {
    let frames = chunks.map(|chunk| Ok(Frame::data(chunk)));
    StreamBody::new(frames).boxed_unsync()
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
/// [`Code::BodyTooLarge`] past the limit, [`Code::MalformedBody`] when the connection breaks.
pub async fn read_limited(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    let whole = Limited::new(body, limit).collect().await;
    match whole {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::new(Code::BodyTooLarge, format!("the limit is {limit} bytes")))
        }
        Err(e) => Err(Failure::new(Code::MalformedBody, e.to_string())),
    }
}

/// Reads a whole body of at most `limit` bytes that arrives within `time`.
///
/// # Errors
/// As [`read_limited`], and [`Code::BodyLate`] past the time.
pub async fn receive(body: Incoming, limit: usize, time: Duration) -> Result<Bytes, Failure> {
    let late = |_| Failure::new(Code::BodyLate, format!("the limit is {time:?}"));
    tokio::time::timeout(time, read_limited(body, limit)).await.map_err(late)?
}

/// Returns the connection of a client on which a request came.
///
/// # Errors
/// [`Code::Internal`] for a request that no server of this crate has taken.
pub fn client_of(req: &Request) -> Result<Arc<ClientConnection>, Failure> {
    let client = req.extensions().get::<Arc<ClientConnection>>().cloned();
    client.ok_or_else(|| Failure::new(Code::Internal, "the connection is unknown"))
}

/// Reads a whole body as JSON.
///
/// # Errors
/// As [`read_limited`], and [`Code::MalformedBody`] for JSON of another shape.
pub async fn read_json<T: DeserializeOwned>(body: Incoming, limit: usize) -> Result<T, Failure> {
    let bytes = read_limited(body, limit).await?;
    serde_json::from_slice(&bytes).map_err(|e| Failure::new(Code::MalformedBody, e.to_string()))
}

/// Reads a body piece by piece: server-sent events or lines of JSON.
pub struct Reader {
    events: BoxStream<'static, Result<Event, String>>,
}

impl Reader {
    /// Reads a body as server-sent events.
    pub fn events(body: Incoming) -> Self {
        let chunks = BodyStream::new(body).map(|frame| match frame {
            Ok(frame) => Ok(frame.into_data().unwrap_or_default()),
            Err(e) => Err(e.to_string()),
        });
        let events = chunks.eventsource().map(|event| event.map_err(|e| e.to_string()));
        Self { events: events.boxed() }
    }

    /// Reads the next event; `None` at the end of the body.
    ///
    /// # Errors
    /// [`Code::Incomplete`] when the connection breaks.
    pub async fn next(&mut self) -> Result<Option<Event>, Failure> {
        match self.events.next().await {
            None => Ok(None),
            Some(Ok(event)) => Ok(Some(event)),
            Some(Err(e)) => Err(Failure::new(Code::Incomplete, e)),
        }
    }
}
