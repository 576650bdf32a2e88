//! Content of a block: the id of the write, the block's address, and a pattern that shows any corrupt byte.

/// Size of a block, in bytes.
pub const SIZE: usize = 512;
/// Size of the write id at the start of a block, in bytes.
const ID_BYTES: usize = 8;
/// Size of the write id and the block address behind it, in bytes.
const HEADER_BYTES: usize = 16;

/// Fills `out` with the content that write `id` stores in block `lba`. Id 0 stands for a block that was never written:
/// all zeros.
fn fill(id: u64, lba: u64, out: &mut [u8]) {
    if id == 0 {
        return out.fill(0);
    }
    out[..ID_BYTES].copy_from_slice(&id.to_le_bytes());
    out[ID_BYTES..HEADER_BYTES].copy_from_slice(&lba.to_le_bytes());
    // Xorshift (Marsaglia, 2003), seeded by the id and the address.
    let mut x = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ lba;
    for chunk in out[HEADER_BYTES..].chunks_mut(8) {
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        chunk.copy_from_slice(&x.to_le_bytes()[..chunk.len()]);
    }
}

/// Returns the id of the write whose data `block`, read at address `lba`, holds; none if any byte differs from that
/// data.
pub fn read(block: &[u8], lba: u64) -> Option<u64> {
    let id = u64::from_le_bytes(block[..ID_BYTES].try_into().ok()?);
    let mut expected = [0; SIZE];
    fill(id, lba, &mut expected);
    (expected == block).then_some(id)
}

/// Returns the data of write `id` for `blocks` blocks from `lba` on.
pub fn write(id: u64, lba: u64, blocks: u32) -> Vec<u8> {
    let mut out = vec![0; blocks as usize * SIZE];
    for (block, lba) in out.chunks_mut(SIZE).zip(lba..) {
        fill(id, lba, block);
    }
    out
}
