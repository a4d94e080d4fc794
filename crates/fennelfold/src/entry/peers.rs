//! Answers other entries.

use cluster::Cluster;
use control::Configuration;
use exec::Requests;
use kernel::prelude::*;
use peer::{Handler, Reply, Request};
use std::future::Future;
use std::pin::Pin;

/// Answers other entries: each request goes to the service that it concerns.
pub(super) struct PeerHandler {
    pub(super) cluster: Arc<Cluster>,
    pub(super) configuration: Arc<Configuration>,
    pub(super) requests: Arc<Requests>,
}

impl Handler for PeerHandler {
    fn handle(&self, req: Request) -> Pin<Box<dyn Future<Output = Reply> + Send + '_>> {
        Box::pin(async move {
            match req {
                Request::Gossip(message) => match self.cluster.handle_gossip(message).await {
                    Some(answer) => Reply::Gossip(answer),
                    None => Reply::Failure(Failure::new(Code::PeerUnreachable, "superseded")),
                },
                Request::Configuration => match self.configuration.current() {
                    Ok(current) => Reply::Configuration {
                        head: serde_json::to_string(&current.head).unwrap_or_default().into(),
                        body: current.body.text.as_str().into(),
                    },
                    Err(failure) => Reply::Failure(failure),
                },
                req => self.requests.handle_peer_request(req).await,
            }
        })
    }

    fn is_this_incarnation(&self, to: &NodeId) -> bool {
        to == self.cluster.local_node()
    }
}
