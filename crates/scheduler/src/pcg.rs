//! A permuted congruential generator (PCG-XSH-RR 64/32).

#[derive(Default)]
pub(crate) struct Pcg(u64);

impl Pcg {
    pub(crate) fn new(seed: u64) -> Self {
        let mut pcg = Pcg(seed.wrapping_add(1442695040888963407));
        pcg.next();
        pcg
    }

    fn next(&mut self) -> u32 {
        let old = self.0;
        self.0 = old.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        ((((old >> 18) ^ old) >> 27) as u32).rotate_right((old >> 59) as u32)
    }

    /// A number in 0..n; 0 when n is 0.
    pub(crate) fn below(&mut self, n: u64) -> u64 {
        (u64::from(self.next()) * n) >> 32
    }

    /// A number above 0 and up to 1.
    pub(crate) fn part(&mut self) -> f64 {
        (f64::from(self.next()) + 1.0) / (f64::from(u32::MAX) + 1.0)
    }
}
