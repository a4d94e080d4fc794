//! Replies: JSON, text, and problem details as in RFC 9457.

use crate::body::{Body, full};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use kernel::{Code, Failure, Outcome};
use serde::Serialize;
use std::time::Duration;

/// A reply of the server.
pub type Reply = Response<Body>;

/// Creates a JSON reply.
pub fn json(status: u16, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", bytes)
}

/// Creates a plain text reply.
pub fn text(status: u16, text: impl Into<String>) -> Reply {
    typed(status, "text/plain; charset=utf-8", text.into().into_bytes())
}

/// Creates a reply that tells a failure: code, text, context and when to try again.
pub fn problem(failure: &Failure) -> Reply {
    let code = failure.code;
    let after_ms = failure.retry_after.map(|after| after.as_millis());
    let body = serde_json::json!({
        "type": format!("urn:fennelfold:result:{}", code.number()),
        "title": code.title(),
        "status": code.status(),
        "detail": failure.context,
        "code": code.number(),
        "outcome": format!("{:?}", failure.outcome),
        "retry_after_ms": after_ms,
    });
    let mut reply = typed(code.status(), "application/problem+json", body.to_string().into_bytes());
    if let Some(after) = failure.retry_after {
        let seconds = after.as_millis().div_ceil(1000).max(1);
        if let Ok(value) = HeaderValue::from_str(&seconds.to_string()) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}

/// Reads the failure out of problem details; `None` when they tell no known number.
pub fn read_problem(bytes: &[u8]) -> Option<Failure> {
    let value: serde_json::Value = serde_json::from_slice(bytes).ok()?;
    let number = u16::try_from(value["code"].as_u64()?).ok()?;
    let detail = value["detail"].as_str().unwrap_or_default();
    let mut failure = Failure::new(Code::from_number(number)?, detail);
    if value["outcome"] == "Rejected" {
        failure.outcome = Outcome::Rejected;
    }
    failure.retry_after = value["retry_after_ms"].as_u64().map(Duration::from_millis);
    Some(failure)
}

fn typed(status: u16, content_type: &'static str, bytes: Vec<u8>) -> Reply {
    let mut reply = Response::new(full(bytes));
    *reply.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    reply.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    reply
}
