//! Encoding and decoding of LUNs as eight bytes (SAM-5, 4.7).

/// First byte of a LUN with extended flat space addressing of 24 bits (SAM-5, 4.7.11).
const EXTENDED_FLAT: u8 = 0xd2;
/// Bit of the first byte that selects flat space addressing (SAM-5, 4.7).
const FLAT_SPACE: u8 = 0x40;

/// Encodes a LUN of up to 24 bits in eight bytes: with peripheral device addressing below 256, flat space
/// addressing below 16384, and extended flat space addressing from there on (SAM-5, 4.7).
pub fn lun_bytes(lun: u32) -> [u8; 8] {
    let mut bytes = [0; 8];
    match lun {
        0..256 => bytes[1] = lun as u8,
        256..16_384 => {
            bytes[0] = FLAT_SPACE | (lun >> 8) as u8;
            bytes[1] = lun as u8;
        }
        _ => {
            bytes[..4].copy_from_slice(&lun.to_be_bytes());
            bytes[0] = EXTENDED_FLAT;
        }
    }
    bytes
}

/// Decodes a LUN in one of the three addressing methods of [`lun_bytes`]; returns `None` for any other.
pub(super) fn parse_lun(bytes: [u8; 8]) -> Option<u32> {
    if bytes[4..8].iter().any(|byte| *byte != 0) {
        return None;
    }
    let [method, second, third, fourth, ..] = bytes;
    let fits_two_bytes = [third, fourth] == [0, 0];
    match method {
        EXTENDED_FLAT => Some(u32::from_be_bytes([0, second, third, fourth])),
        0 if fits_two_bytes => Some(u32::from(second)),
        FLAT_SPACE..=0x7f if fits_two_bytes => {
            Some(u32::from_be_bytes([0, 0, method & !FLAT_SPACE, second]))
        }
        _ => None,
    }
}
