//! A small seeded random number generator, so that decisions are reproducible.

/// A SplitMix64 random number generator.
#[derive(Clone, Debug)]
pub struct SplitMixRandom {
    state: u64,
}

impl SplitMixRandom {
    /// Creates a generator with this seed.
    pub const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns the next 64 random bits.
    pub fn next_bits(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.state;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        bits ^ (bits >> 31)
    }

    /// Returns a random number below `bound`, which must not be zero.
    pub fn next_below(&mut self, bound: usize) -> usize {
        ((u128::from(self.next_bits()) * bound as u128) >> 64) as usize
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    pub fn next_unit(&mut self) -> f64 {
        (self.next_bits() >> 11) as f64 / (1_u64 << 53) as f64
    }
}
