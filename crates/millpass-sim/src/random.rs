//! Seeded random streams, one per component, so that a change in one does not shift the others.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One seeded stream.
pub struct Random(ChaCha8Rng);

impl Random {
    /// Creates the stream with this number.
    pub fn new(seed: u64, stream: u64) -> Self {
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        generator.set_stream(stream);
        Random(generator)
    }

    /// Returns a random number.
    pub fn number(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.number().checked_rem(bound).unwrap_or(0)
    }

    /// Returns a number from `low` to `high`, both inclusive.
    pub fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high.saturating_sub(low) + 1)
    }

    /// Returns an index into a list of this length.
    pub fn index(&mut self, length: usize) -> usize {
        self.below(length as u64) as usize
    }

    /// Returns true with this probability, in permille.
    pub fn chance(&mut self, permille: u64) -> bool {
        self.below(1_000) < permille
    }
}
