//! Random numbers of a run: seeded streams, one for each part, so that a change in one part does
//! not shift the others.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One seeded stream.
pub struct Random(ChaCha8Rng);

impl Random {
    /// The stream of this number under this seed.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        Random(generator)
    }

    /// Any number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// A number below `bound`; 0 when the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.number().checked_rem(bound).unwrap_or(0)
    }

    /// A number from `low` to `high`, both included.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high.saturating_sub(low) + 1)
    }

    /// An index into a list of this length.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// True this many times of a thousand.
    pub fn chance(&mut self, permille: u64) -> bool {
        self.below(1_000) < permille
    }
}
