//! Responses that the entry creates itself.

use crate::body::{Reply, full_body};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use kernel::Failure;

/// Creates the problem document (RFC 9457) that reports a failure to the caller.
pub(crate) fn error_reply(failure: &Failure) -> Reply {
    let code = failure.code;
    let body = serde_json::json!({
        "type": format!("urn:fennelfold:result:{}", code.number()),
        "title": code.title(),
        "status": code.status(),
        "code": code.number(),
    });
    let mut reply = Response::new(full_body(body.to_string()));
    *reply.status_mut() =
        StatusCode::from_u16(code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = reply.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
    if let Some(after) = failure.retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    reply
}

/// Creates a response with a status and an empty body.
pub(crate) fn empty_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(full_body(""));
    *reply.status_mut() = status;
    reply
}
