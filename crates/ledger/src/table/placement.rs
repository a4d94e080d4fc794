//! Selects other entries for a request so that every entry selects the same ones.

use super::input::{MembershipView, PeerEntry};
use kernel::{Key, Name, NodeId};
use xxhash_rust::xxh3::Xxh3;

/// Maximum number of entries in each data centre that are asked for a request whose home is gone.
const MAX_CANDIDATES_PER_DATA_CENTRE: usize = 2;

/// Returns the entry that receives a copy of a request, chosen by rendezvous hashing of the key:
/// an available entry, preferably in another data centre.
pub(super) fn pick_peer(
    members: &dyn MembershipView,
    key: &Key,
    exclude: &[NodeId],
) -> Option<NodeId> {
    let here = members.data_centre();
    let ranked = ranked_peers(members, key);
    let eligible = || ranked.iter().filter(|peer| !exclude.contains(&peer.node));
    let remote = eligible().find(|peer| peer.data_centre != here);
    remote.or_else(|| eligible().next()).map(|peer| peer.node.clone())
}

/// Returns the entries that may have received a request by a hand-over when its home left, the most
/// likely one last.
pub fn hand_over_candidates(members: &dyn MembershipView, key: &Key) -> Vec<NodeId> {
    let mut counts: Vec<(Name, usize)> = Vec::new();
    let mut found: Vec<NodeId> = Vec::new();
    for peer in ranked_peers(members, key) {
        let index = counts.iter().position(|(name, _)| *name == peer.data_centre);
        let index = index.unwrap_or_else(|| {
            counts.push((peer.data_centre.clone(), 0));
            counts.len() - 1
        });
        counts[index].1 += 1;
        if counts[index].1 <= MAX_CANDIDATES_PER_DATA_CENTRE {
            found.push(peer.node);
        }
    }
    found.reverse();
    found
}

/// Returns the available entries by descending rendezvous weight.
fn ranked_peers(members: &dyn MembershipView, key: &Key) -> Vec<PeerEntry> {
    let mut peers: Vec<PeerEntry> =
        members.peers().into_iter().filter(|peer| peer.available).collect();
    peers.sort_by_cached_key(|peer| std::cmp::Reverse(rendezvous_weight(key, &peer.node)));
    peers
}

fn rendezvous_weight(key: &Key, node: &NodeId) -> u64 {
    let mut hash = Xxh3::new();
    for text in [&key.organisation, &key.id, &node.name] {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}
