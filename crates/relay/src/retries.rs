//! Retries of requests, from the share of this entry or granted by peers.

use crate::context::Context;
use crate::message::Message;
use crate::peers::{is_paused, pause_requests, request_from_peers, sample_live_peers};
use crate::request::AdmittedRequest;
use kernel::boot_ms;
use kernel::prelude::*;
use std::rc::Rc;

/// Number of peers that one request for retries goes to.
const RETRY_PEERS: usize = 4;
/// Number of retries requested from each of these peers.
const RETRIES_PER_PEER: u32 = 2;

/// Takes a retry of a request from the retry budget. If this entry's share is used up, requests some
/// from the peers. Returns whether the retry is allowed.
pub(crate) async fn take_retry(cx: &Rc<Context>, request: &AdmittedRequest) -> bool {
    let service = &request.service;
    let mut source = take_local_retry(cx, service);
    if source == RetrySource::None && !is_paused(cx, service) {
        let live = sample_live_peers(cx, boot_ms(), RETRY_PEERS);
        let message = |number| Message::RetryRequest {
            number,
            service: service.clone(),
            count: RETRIES_PER_PEER,
        };
        if live.is_empty() || request_from_peers(cx, &live, message, 1.0).await.amount < 1.0 {
            pause_requests(cx, service);
        }
        source = take_local_retry(cx, service);
    }
    cx.count_retry(source.label());
    let status = cx.retry_budget.borrow_mut().status(service, boot_ms());
    info!(cx.log, "retry"; "request" => request.id_text(), "service" => %service,
        "budget" => source.label(), "available" => status.available,
        "requests" => status.requests, "entries" => status.entries);
    source != RetrySource::None
}

/// Budget that a retry is charged to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RetrySource {
    /// The share of this entry.
    Own,
    /// The share of a peer, which granted the retry.
    Granted,
    /// None: the retry is not allowed.
    None,
}

impl RetrySource {
    fn label(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Granted => "granted",
            Self::None => "none",
        }
    }
}

/// Takes a retry from the share of this entry, or one that a peer granted.
fn take_local_retry(cx: &Context, service: &Name) -> RetrySource {
    let mut retries = cx.retry_budget.borrow_mut();
    if retries.take(service, boot_ms()) {
        RetrySource::Own
    } else if retries.take_granted(service, boot_ms()) {
        RetrySource::Granted
    } else {
        RetrySource::None
    }
}
