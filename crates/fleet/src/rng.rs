//! Chance from a seed, that can be compared and hashed with the state that it belongs to.
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Chance that can be compared and hashed: drawn by seed and count.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct SeededRng {
    seed: u64,
    draws: u64,
}

impl SeededRng {
    pub fn new(seed: u64) -> Self {
        SeededRng { seed, draws: 0 }
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        self.draws += 1;
        let mut rng =
            Pcg64Mcg::seed_from_u64(self.seed.wrapping_add(self.draws.wrapping_mul(0x9e37_79b9_7f4a_7c15)));
        rng.random_range(0..bound.max(1))
    }
}
