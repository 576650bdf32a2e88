//! What a client writes into a block: who wrote it, where, and a pattern that shows any altered byte.

pub const SIZE: usize = 512;

/// The bytes of a block that write `id` put at `lba`. Id 0 is a block never written: all zeros.
pub fn fill(id: u64, lba: u64, out: &mut [u8]) {
    if id == 0 {
        return out.fill(0);
    }
    out[..8].copy_from_slice(&id.to_le_bytes());
    out[8..16].copy_from_slice(&lba.to_le_bytes());
    let mut x = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ lba;
    for chunk in out[16..].chunks_mut(8) {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        chunk.copy_from_slice(&x.to_le_bytes()[..chunk.len()]);
    }
}

/// Which write a block shows; none if a byte of it is not that write's.
pub fn read(block: &[u8], lba: u64) -> Option<u64> {
    let id = u64::from_le_bytes(block[..8].try_into().ok()?);
    let mut sound = [0; SIZE];
    fill(id, lba, &mut sound);
    (sound == block).then_some(id)
}

pub fn write(id: u64, lba: u64, blocks: u32) -> Vec<u8> {
    let mut out = vec![0; blocks as usize * SIZE];
    for (i, block) in out.chunks_mut(SIZE).enumerate() {
        fill(id, lba + i as u64, block);
    }
    out
}
