//! The random numbers of the simulation, which are independent of the scheduler's.
use mallowseam_scheduler::interface::Tick;
use mallowseam_test_support::SeededRng;

pub struct Random(SeededRng);

impl Random {
    pub fn new(seed: u64) -> Self {
        Random(SeededRng::new(
            seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ 0x5bd1_e995,
        ))
    }

    /// Returns a number in `0..n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.0.below(n)
    }

    /// Returns a number from `min` to `max`, inclusive.
    pub fn between(&mut self, min: Tick, max: Tick) -> Tick {
        min + self.below((max - min + 1) as u64) as Tick
    }

    /// Returns a number in [0, 1), in steps of 1/1024.
    pub fn fraction(&mut self) -> f64 {
        self.below(1024) as f64 / 1024.0
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
