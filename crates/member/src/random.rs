//! Deterministic random choices from a seed.

/// A SplitMix64 generator, seeded once per step.
pub(crate) struct RandomSource(u64);

impl RandomSource {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below `limit`, which must not be zero.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
        (z % limit as u64) as usize
    }

    /// Returns at most `count` random items, in random order.
    pub(crate) fn sample<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let count = count.min(items.len());
        for i in 0..count {
            let j = i + self.below(items.len() - i);
            items.swap(i, j);
        }
        items.truncate(count);
        items
    }

    /// Returns one random item, if there is any.
    pub(crate) fn pick<T>(&mut self, items: Vec<T>) -> Option<T> {
        self.sample(items, 1).pop()
    }
}
