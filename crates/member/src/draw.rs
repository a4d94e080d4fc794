//! Random choices from one drawn number.

/// Derives any number of choices from one drawn number (the SplitMix64 sequence).
pub(crate) struct Draw(u64);

impl Draw {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Returns a number below the limit, which must not be zero.
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^= z >> 31;
        (z % limit as u64) as usize
    }

    /// Takes out at most this many items, in random order.
    pub(crate) fn sample<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        let count = count.min(items.len());
        for i in 0..count {
            let j = i + self.below(items.len() - i);
            items.swap(i, j);
        }
        items.truncate(count);
        items
    }

    /// Takes one item.
    pub(crate) fn pick<T>(&mut self, items: Vec<T>) -> Option<T> {
        self.sample(items, 1).pop()
    }
}
