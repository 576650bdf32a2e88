//! Logical block provisioning: UNMAP and GET LBA STATUS. A run of blocks is a pair of the first block and the number of
//! blocks.
use super::big_endian;
use super::cdb::{operation, service_action};

/// Length of the header before the descriptors in the data of UNMAP and GET LBA STATUS, in bytes.
const HEADER_LEN: usize = 8;
/// Length of a block descriptor in the data of UNMAP and GET LBA STATUS, in bytes.
const DESCRIPTOR_LEN: usize = 16;
/// Bits of byte 12 of a GET LBA STATUS descriptor that hold the provisioning status; 0 means mapped.
const PROVISIONING_STATUS_BITS: u8 = 0x0f;

fn push_descriptors(out: &mut Vec<u8>, runs: &[(u64, u32)]) {
    for (lba, blocks) in runs {
        out.extend_from_slice(&lba.to_be_bytes());
        out.extend_from_slice(&blocks.to_be_bytes());
        out.extend_from_slice(&[0; 4]);
    }
}

fn parse_descriptor(bytes: &[u8]) -> (u64, u32) {
    (big_endian::u64(bytes), big_endian::u32(&bytes[8..]))
}

/// Builds an UNMAP of up to 4095 runs of blocks (SBC-3, 5.28). Returns its command descriptor block and data.
pub fn unmap(runs: &[(u64, u32)]) -> ([u8; 16], Vec<u8>) {
    let len = runs.len() * DESCRIPTOR_LEN;
    let mut data = vec![0; HEADER_LEN];
    // The data length counts all bytes after itself.
    data[..2].copy_from_slice(&((len + 6) as u16).to_be_bytes());
    data[2..4].copy_from_slice(&(len as u16).to_be_bytes());
    push_descriptors(&mut data, runs);
    let mut cdb = [0; 16];
    cdb[0] = operation::UNMAP;
    cdb[7..9].copy_from_slice(&(data.len() as u16).to_be_bytes());
    (cdb, data)
}

/// Parses the data of an UNMAP into runs of blocks; returns `None` if its lengths are inconsistent.
pub fn parse_unmap(data: &[u8]) -> Option<Vec<(u64, u32)>> {
    let len = usize::from(big_endian::u16(data.get(2..4)?));
    let descriptors = data.get(HEADER_LEN..)?;
    let is_consistent = len == descriptors.len() && len.is_multiple_of(DESCRIPTOR_LEN);
    is_consistent.then(|| {
        descriptors
            .chunks_exact(DESCRIPTOR_LEN)
            .map(parse_descriptor)
            .collect()
    })
}

/// Builds the command descriptor block of a GET LBA STATUS from block `lba` on (SBC-3, 5.4); `allocation_len` is in
/// bytes.
pub fn get_lba_status(lba: u64, allocation_len: u32) -> [u8; 16] {
    let mut cdb = [0; 16];
    cdb[0] = operation::SERVICE_ACTION_IN_16;
    cdb[1] = service_action::GET_LBA_STATUS;
    cdb[2..10].copy_from_slice(&lba.to_be_bytes());
    cdb[10..14].copy_from_slice(&allocation_len.to_be_bytes());
    cdb
}

/// Encodes runs of mapped blocks as the answer to a GET LBA STATUS; those beyond the allocation length (in bytes) are
/// left out.
pub fn lba_status_data(runs: &[(u64, u32)], allocation_len: usize) -> Vec<u8> {
    let fitting = allocation_len.saturating_sub(HEADER_LEN) / DESCRIPTOR_LEN;
    let runs = &runs[..runs.len().min(fitting)];
    let mut out = ((runs.len() * DESCRIPTOR_LEN + 4) as u32)
        .to_be_bytes()
        .to_vec();
    out.extend_from_slice(&[0; 4]);
    push_descriptors(&mut out, runs);
    out
}

/// Parses the answer to a GET LBA STATUS into runs of mapped blocks; returns `None` if its length is inconsistent.
pub fn parse_lba_status(data: &[u8]) -> Option<Vec<(u64, u32)>> {
    let len = big_endian::u32(data.get(..4)?) as usize;
    let descriptors = data.get(HEADER_LEN..len + 4)?;
    let is_mapped = |descriptor: &&[u8]| descriptor[12] & PROVISIONING_STATUS_BITS == 0;
    descriptors.len().is_multiple_of(DESCRIPTOR_LEN).then(|| {
        descriptors
            .chunks_exact(DESCRIPTOR_LEN)
            .filter(is_mapped)
            .map(parse_descriptor)
            .collect()
    })
}
