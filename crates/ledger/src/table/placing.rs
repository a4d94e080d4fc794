//! Which other entry takes a request, so that any entry finds it again.

use super::input::{MembershipView, PeerEntry};
use kernel::{Key, Name, NodeId};
use xxhash_rust::xxh3::Xxh3;

/// Entries of each data centre that are asked for a request whose home is gone.
const ASKED: usize = 2;

/// Returns the entry to give a copy of a request to: one that stays, preferably in another data
/// centre, by rendezvous hashing of the key.
pub(super) fn pick(members: &dyn MembershipView, key: &Key, avoid: &[NodeId]) -> Option<NodeId> {
    let here = members.data_centre();
    let ranked = ranked(members, key);
    let fit = || ranked.iter().filter(|other| !avoid.contains(&other.node));
    let far = fit().find(|other| other.data_centre != here);
    far.or_else(|| fit().next()).map(|other| other.node.clone())
}

/// Returns the entries that may have been given a request when its home left, likely ones last.
pub fn hand_over_candidates(members: &dyn MembershipView, key: &Key) -> Vec<NodeId> {
    let mut of_centre: Vec<(Name, usize)> = Vec::new();
    let mut found: Vec<NodeId> = Vec::new();
    for other in ranked(members, key) {
        let place = of_centre.iter().position(|(name, _)| *name == other.data_centre);
        let place = place.unwrap_or_else(|| {
            of_centre.push((other.data_centre.clone(), 0));
            of_centre.len() - 1
        });
        of_centre[place].1 += 1;
        if of_centre[place].1 <= ASKED {
            found.push(other.node);
        }
    }
    found.reverse();
    found
}

/// Returns the entries that stay, the first choice first.
fn ranked(members: &dyn MembershipView, key: &Key) -> Vec<PeerEntry> {
    let mut others: Vec<PeerEntry> =
        members.peers().into_iter().filter(|other| other.available).collect();
    others.sort_by_cached_key(|other| std::cmp::Reverse(weight(key, &other.node)));
    others
}

fn weight(key: &Key, node: &NodeId) -> u64 {
    let mut hash = Xxh3::new();
    for text in [&key.organisation, &key.id, &node.name] {
        hash.update(text.as_bytes());
        hash.update(&[0]);
    }
    hash.digest()
}
