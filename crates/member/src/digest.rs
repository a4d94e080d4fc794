//! A short digest of the whole state, to find what differs between two entries.

use crate::gossip::Member;
use xxhash_rust::xxh3::xxh3_64;

/// Buckets of a digest.
pub(crate) const BUCKETS: usize = 256;

/// One number for each bucket; rows fall into buckets by their name.
#[derive(Clone, Debug)]
pub(crate) struct Digest(pub(crate) Vec<u32>);

impl Default for Digest {
    fn default() -> Self {
        Self(vec![0; BUCKETS])
    }
}

impl Digest {
    pub(crate) fn add_member(&mut self, member: &Member) {
        let mut bytes = member.node.name.as_bytes().to_vec();
        bytes.extend(member.node.incarnation.to_le_bytes());
        bytes.extend(member.refutation.to_le_bytes());
        bytes.push(member.state as u8);
        self.add(&member.node.name, &bytes);
    }

    pub(crate) fn add_server(&mut self, server: &str) {
        let bytes = format!("server/{server}");
        self.add(server, bytes.as_bytes());
    }

    fn add(&mut self, name: &str, bytes: &[u8]) {
        self.0[bucket(name)] ^= xxh3_64(bytes) as u32;
    }

    /// Returns one bit for each bucket that differs.
    pub(crate) fn differences(&self, other: &[u32]) -> Vec<u8> {
        let mut mask = vec![0; BUCKETS / 8];
        for (i, mine) in self.0.iter().enumerate() {
            if other.get(i) != Some(mine) {
                mask[i / 8] |= 1 << (i % 8);
            }
        }
        mask
    }
}

/// Tells whether the bucket of a name is marked.
pub(crate) fn is_marked(mask: &[u8], name: &str) -> bool {
    let i = bucket(name);
    mask.get(i / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0)
}

fn bucket(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % BUCKETS
}
