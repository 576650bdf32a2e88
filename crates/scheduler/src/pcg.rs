//! A permuted congruential generator (PCG-XSH-RR 64/32; M. E. O'Neill, 2014).
use std::cell::Cell;

const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;

/// A seeded pseudorandom number generator. Drawing a number takes `&self`, so that numbers can be drawn while the
/// scheduler's state is borrowed.
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

    /// Returns a number in `0..n`, or 0 if `n` is 0.
    pub(crate) fn below(&self, n: u64) -> u64 {
        (u64::from(self.next()) * n) >> 32
    }

    /// Returns a number greater than 0 and at most 1.
    pub(crate) fn fraction(&self) -> f64 {
        (f64::from(self.next()) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}
