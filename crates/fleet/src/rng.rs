//! Random number generator with a seed and a state that can be compared and hashed.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Difference between the seeds of two consecutive draws: 2^64 divided by the golden ratio, which spreads the seeds
/// over all of `u64`.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Random number generator whose state is its seed and the number of draws so far. The exhaustive search compares and
/// hashes the states of members, and thus of their generators.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SeededRng {
    seed: u64,
    draws: u64,
}

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng { seed, draws: 0 }
    }

    /// Draws a uniform number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let seed = self.seed.wrapping_add(self.draws.wrapping_mul(SEED_STEP));
        Pcg64Mcg::seed_from_u64(seed).random_range(0..bound.max(1))
    }

    /// Draws a uniform index into a list of `len` entries, or 0 if the list is empty.
    pub fn index(&mut self, len: usize) -> usize {
        self.below(len as u64) as usize
    }
}
