//! The incarnation of a new run.

use kernel::prelude::*;
use member::{Body, Message, Update};
use peer::{Peers, Reply, Request};
use std::net::SocketAddr;

/// Time that one seed may take to tell what it knows.
const ANSWER: Duration = Duration::from_millis(200);

/// Returns an incarnation above every earlier run that the seeds remember, and not below `drawn`.
///
/// A clock that was set back must not make a new run look older than the one it replaces.
pub async fn next_incarnation(peers: &Peers, name: &Name, seeds: &[SocketAddr], drawn: u64) -> u64 {
    let asks = seeds.iter().map(|seed| last_run(peers, name, *seed));
    let known = futures::future::join_all(asks).await.into_iter().flatten().max();
    known.map_or(drawn, |known| drawn.max(known + 1))
}

async fn last_run(peers: &Peers, name: &Name, seed: SocketAddr) -> Option<u64> {
    let from = NodeId::new(name.clone(), 0);
    let message = Message { from, generation: 0, body: Body::Join, updates: Vec::new() };
    let req = Request::Gossip(message);
    let reply = peers.call(seed, &NodeId::default(), req, Some(ANSWER)).await;
    let Ok(Reply::Gossip(message)) = reply else { return None };
    message.updates.iter().find_map(|update| match update {
        Update::Member { member, .. } if member.node.name == *name => Some(member.node.incarnation),
        _ => None,
    })
}
