//! Choice of the incarnation number at startup.

use kernel::prelude::*;
use member::{Body, Message, Update};
use peer::{Peers, Reply, Request};
use std::net::SocketAddr;

/// Timeout of the request to one seed.
const SEED_TIMEOUT: Duration = Duration::from_millis(200);

/// Returns an incarnation that is above every earlier one known to the seeds and not below
/// `proposed`.
///
/// `proposed` comes from the clock. If the clock was set back, the new incarnation must still be
/// higher than the one it replaces.
pub async fn next_incarnation(
    peers: &Peers,
    name: &Name,
    seeds: &[SocketAddr],
    proposed: u64,
) -> u64 {
    let requests = seeds.iter().map(|seed| last_incarnation(peers, name, *seed));
    let known = futures::future::join_all(requests).await.into_iter().flatten().max();
    known.map_or(proposed, |known| proposed.max(known + 1))
}

/// Returns the incarnation of the entry with this name that a seed knows, if the seed replies.
async fn last_incarnation(peers: &Peers, name: &Name, seed: SocketAddr) -> Option<u64> {
    let from = NodeId::new(name.clone(), 0);
    let message = Message { from, generation: 0, body: Body::Join, updates: Vec::new() };
    let req = Request::Gossip(message);
    let reply = peers.call(seed, &NodeId::default(), req, Some(SEED_TIMEOUT)).await;
    let Ok(Reply::Gossip(message)) = reply else { return None };
    message.updates.iter().find_map(|update| match update {
        Update::Member { member, .. } if member.node.name == *name => Some(member.node.incarnation),
        _ => None,
    })
}
