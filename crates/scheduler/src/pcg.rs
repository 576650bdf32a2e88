//! A permuted congruential generator (PCG-XSH-RR 64/32; M. E. O'Neill, 2014).
use std::cell::Cell;

const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// A seeded source of random numbers. A draw needs no exclusive access, so that it may stand between two looks at the
/// scheduler's state.
#[derive(Default)]
pub(crate) struct Pcg(Cell<u64>);

impl Pcg {
    pub(crate) fn new(seed: u64) -> Self {
        let pcg = Pcg(Cell::new(seed.wrapping_add(INCREMENT)));
        pcg.next();
        pcg
    }

    fn next(&self) -> u32 {
        let state = self.0.get();
        self.0
            .set(state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT));
        ((((state >> 18) ^ state) >> 27) as u32).rotate_right((state >> 59) as u32)
    }

    /// A number in 0..n; 0 when n is 0.
    pub(crate) fn below(&self, n: u64) -> u64 {
        (u64::from(self.next()) * n) >> 32
    }

    /// A number above 0 and up to 1.
    pub(crate) fn fraction(&self) -> f64 {
        (f64::from(self.next()) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}
