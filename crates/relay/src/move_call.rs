//! The call with which an engine moves a run to another one.

use crate::context::Context;
use crate::headers::ends_with_connection;
use crate::pool::SendError;
use crate::request::AdmittedRequest;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Uri};
use kernel::prelude::*;
use std::net::SocketAddr;

/// Maximum time for an engine to stop a run and copy its KV cache.
const MOVE_TIMEOUT: Duration = Duration::from_millis(600);

/// Maximum size of the reply to a move request, in bytes.
const MAX_MOVE_REPLY_BYTES: usize = 64 << 10;

/// Result of a request to move a run.
pub(crate) enum MoveResult {
    /// The run has stopped, and its KV cache is copied to the other engine.
    Copied(HeaderValue),
    /// The run has stopped, and nothing was copied.
    Stopped(String),
    /// The run goes on.
    NotStopped(String),
    /// The run may have stopped, and nothing was copied.
    Unknown(String),
}

/// Requests an engine to stop a run and copy its KV cache to another engine.
pub(crate) async fn request_move(
    cx: &Context,
    request: &AdmittedRequest,
    at: SocketAddr,
    to: SocketAddr,
) -> MoveResult {
    let (target, body) = cx.protocol.move_request(request.id_text(), to);
    let mut req = Request::new(Bytes::from(body));
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from(target);
    match HeaderValue::from_str(&at.to_string()) {
        Ok(host) => req.headers_mut().insert(HOST, host),
        Err(e) => return MoveResult::NotStopped(e.to_string()),
    };
    req.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let call = async {
        let mut connection = match cx.pool.connection(at).await {
            Ok(connection) => connection,
            Err(failure) => return MoveResult::NotStopped(failure.context),
        };
        let response = match connection.send(req).await {
            Ok(response) => response,
            Err(SendError::Unwritten(failure)) => return MoveResult::NotStopped(failure.context),
            Err(SendError::Broke(failure)) => return MoveResult::Unknown(failure.context),
        };
        let (head, body) = response.into_parts();
        let may_be_cut = ends_with_connection(&head.headers, &body);
        let body = match Limited::new(body, MAX_MOVE_REPLY_BYTES).collect().await {
            Ok(body) => body.to_bytes(),
            Err(e) => return MoveResult::Unknown(e.to_string()),
        };
        // The reply names no request, so that a late copy of it could not be told from the response to the next
        // one. The connection is closed.
        let status = head.status;
        if !status.is_success() {
            let cause = format!("{status}: {}", String::from_utf8_lossy(&body));
            // An engine that stopped the run and could not copy its KV cache names the one that it keeps.
            return if cx.protocol.parse_move_reply(at, &body).is_some() {
                MoveResult::Stopped(cause)
            } else if may_be_cut {
                MoveResult::Unknown(cause)
            } else {
                MoveResult::NotStopped(cause)
            };
        }
        match cx.protocol.parse_move_reply(at, &body) {
            Some(moved_from) => MoveResult::Copied(moved_from),
            None => MoveResult::Unknown("response does not name the copied KV cache".to_owned()),
        }
    };
    tokio::time::timeout(MOVE_TIMEOUT, call)
        .await
        .unwrap_or_else(|_| MoveResult::Unknown("no response before the timeout".to_owned()))
}
