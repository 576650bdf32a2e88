//! A digest that depends on values alone, not on the names of types or fields.

/// FNV-1a over 64 bits.
pub struct Digest(pub u64);

impl Digest {
    pub fn new() -> Self {
        Digest(0xcbf2_9ce4_8422_2325)
    }

    pub fn bytes(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    pub fn number(&mut self, number: u64) {
        self.bytes(&number.to_le_bytes());
    }

    pub fn float(&mut self, number: f64) {
        self.number(number.to_bits());
    }

    pub fn numbers(&mut self, numbers: &[u64]) {
        numbers.iter().for_each(|n| self.number(*n));
    }
}
