//! Content of a block: the id of the write, the block's address, and a pattern that shows any corrupt byte.

/// Bytes of a block.
pub const SIZE: usize = 512;
/// Bytes of the id, and of the id with the address behind it.
const ID_BYTES: usize = 8;
const HEADER_BYTES: usize = 16;

/// Fills a block as write `id` leaves it at `lba`. Id 0 means a block never written: all zeros.
fn fill(id: u64, lba: u64, out: &mut [u8]) {
    if id == 0 {
        return out.fill(0);
    }
    out[..ID_BYTES].copy_from_slice(&id.to_le_bytes());
    out[ID_BYTES..HEADER_BYTES].copy_from_slice(&lba.to_le_bytes());
    // Xorshift (Marsaglia, 2003), seeded by both.
    let mut x = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ lba;
    for chunk in out[HEADER_BYTES..].chunks_mut(8) {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        chunk.copy_from_slice(&x.to_le_bytes()[..chunk.len()]);
    }
}

/// Id of the write that a block shows; none if a byte of it is not that write's.
pub fn read(block: &[u8], lba: u64) -> Option<u64> {
    let id = u64::from_le_bytes(block[..ID_BYTES].try_into().ok()?);
    let mut expected = [0; SIZE];
    fill(id, lba, &mut expected);
    (expected == block).then_some(id)
}

/// Data of write `id` of some blocks from `lba` on.
pub fn write(id: u64, lba: u64, blocks: u32) -> Vec<u8> {
    let mut out = vec![0; blocks as usize * SIZE];
    for (block, lba) in out.chunks_mut(SIZE).zip(lba..) {
        fill(id, lba, block);
    }
    out
}
