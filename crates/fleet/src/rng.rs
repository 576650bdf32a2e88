//! Seeded random numbers whose state can be compared and hashed.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Distance between the seeds of two draws: 2^64 divided by the golden ratio, which spreads them over all of `u64`.
const SEED_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A generator that is fully described by its seed and the number of draws so far, so that two states of a member can be
/// compared and hashed. The exhaustive search needs that.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SeededRng {
    seed: u64,
    draws: u64,
}

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng { seed, draws: 0 }
    }

    /// A uniform number below `bound`; 0 where the bound is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let seed = self.seed.wrapping_add(self.draws.wrapping_mul(SEED_STEP));
        Pcg64Mcg::seed_from_u64(seed).random_range(0..bound.max(1))
    }

    /// A uniform index into a list of `len` entries; 0 where it is empty.
    pub fn index(&mut self, len: usize) -> usize {
        self.below(len as u64) as usize
    }
}
