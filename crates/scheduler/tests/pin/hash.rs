//! FNV-1a of 64 bits, over whole numbers.

pub struct ActionHash(u64);

impl Default for ActionHash {
    fn default() -> Self {
        ActionHash(0xcbf2_9ce4_8422_2325)
    }
}

impl ActionHash {
    pub fn add(&mut self, number: u64) {
        for byte in number.to_le_bytes() {
            self.0 = (self.0 ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    pub fn value(&self) -> u64 {
        self.0
    }
}
