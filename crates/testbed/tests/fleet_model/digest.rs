//! Digest of values, independent of the names of types and fields.

/// Digest of a sequence of numbers and bytes.
pub struct Digest(mallowseam_test_support::Digest);

impl Digest {
    pub fn new() -> Self {
        Digest(mallowseam_test_support::Digest::default())
    }

    pub fn value(&self) -> u64 {
        self.0.value()
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        self.0.add_bytes(bytes);
    }

    pub fn number(&mut self, number: u64) {
        self.0.add(number);
    }

    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    pub fn numbers(&mut self, numbers: &[u64]) {
        for number in numbers {
            self.number(*number);
        }
    }
}
