//! Encoding and decoding of PDUs in a byte stream, with their digests (sections 11.2 and 13.1).
mod decoder;
mod send_buffer;

pub use decoder::PduDecoder;
pub use send_buffer::SendBuffer;

use crate::pdu::Bhs;
use thiserror::Error;

/// Length of a CRC32C digest, in bytes.
const DIGEST_LEN: usize = 4;
/// Digests that the two sides of a connection have negotiated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// Whether headers carry a CRC32C digest.
    pub header: bool,
    /// Whether data segments carry a CRC32C digest.
    pub data: bool,
}

/// Error in a byte stream that prevents decoding further PDUs. After any variant but `DataDigest`, the start of
/// the next PDU is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The digest of a header does not match its bytes.
    #[error("header digest does not match")]
    HeaderDigest,
    /// The digest of a data segment does not match its bytes. Holds the header of the PDU, which is intact; the next
    /// PDU starts right after this one.
    #[error("data digest does not match (opcode {:#04x})", .0.opcode())]
    DataDigest(Bhs),
    /// A data segment is longer than this side has declared to accept.
    #[error("data segment of {len} bytes exceeds MaxRecvDataSegmentLength ({limit} bytes)")]
    DataSegmentTooLong {
        /// Length of the data segment, in bytes.
        len: usize,
        /// `MaxRecvDataSegmentLength` of this side, in bytes.
        limit: usize,
    },
}

/// Returns the length of a data segment with its padding to a multiple of four bytes (section 11.1).
fn padded(len: usize) -> usize {
    len.next_multiple_of(4)
}

/// Returns the CRC32C digest of a data segment and its padding.
fn data_digest(data: &[u8], padding: &[u8]) -> [u8; DIGEST_LEN] {
    crc32c::crc32c_append(crc32c::crc32c(data), padding).to_le_bytes()
}
