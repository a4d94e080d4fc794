//! Compact digest of the membership state, used to find the differences between two entries.

use crate::gossip::Member;
use xxhash_rust::xxh3::xxh3_64;

/// Number of buckets in a digest.
pub(crate) const BUCKET_COUNT: usize = 256;

/// One checksum per bucket: the XOR of the hashes of its rows. A row is a member or a leaving
/// backend server; the hash of its name selects the bucket.
#[derive(Clone, Debug)]
pub(crate) struct Digest(pub(crate) Vec<u32>);

impl Default for Digest {
    fn default() -> Self {
        Self(vec![0; BUCKET_COUNT])
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

    /// Returns a bit mask of the buckets that differ.
    pub(crate) fn differences(&self, other: &[u32]) -> Vec<u8> {
        let mut mask = vec![0; BUCKET_COUNT / 8];
        for (i, local) in self.0.iter().enumerate() {
            if other.get(i) != Some(local) {
                mask[i / 8] |= 1 << (i % 8);
            }
        }
        mask
    }
}

/// Returns whether the mask has the bit of this name's bucket set.
pub(crate) fn is_marked(mask: &[u8], name: &str) -> bool {
    let i = bucket(name);
    mask.get(i / 8).is_some_and(|byte| byte & (1 << (i % 8)) != 0)
}

fn bucket(name: &str) -> usize {
    xxh3_64(name.as_bytes()) as usize % BUCKET_COUNT
}
