//! PDUs from and to a byte stream, with their digests (sections 11.2 and 13.1).
use crate::pdu::{BHS_LEN, Bhs, Pdu};
use thiserror::Error;

/// Bytes of a CRC32C digest.
const DIGEST_LEN: usize = 4;
/// Most bytes behind a data segment: three of padding and a digest.
const MAX_TRAILER_LEN: usize = 3 + DIGEST_LEN;

/// Which digests both sides have negotiated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    /// Whether headers carry a CRC32C digest.
    pub header: bool,
    /// Whether data segments carry a CRC32C digest.
    pub data: bool,
}

/// Why a stream cannot be decoded any further. After any but `DataDigest` the start of the next PDU is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The digest of a header does not match.
    #[error("header digest does not match")]
    HeaderDigest,
    /// The digest of a data segment does not match. Its header is intact and the stream goes on behind it.
    #[error("data digest does not match (opcode {:#04x})", .0.opcode())]
    DataDigest(Bhs),
    /// A data segment is longer than this side declared that it takes.
    #[error("data segment of {len} bytes, at most {limit} agreed")]
    DataSegmentTooLong {
        /// Bytes of the data segment.
        len: usize,
        /// `MaxRecvDataSegmentLength` of this side in bytes.
        limit: usize,
    },
}

/// Length of a data segment with its padding to a multiple of four (section 11.1).
fn padded(len: usize) -> usize {
    len.next_multiple_of(4)
}

/// Digest of a data segment and its padding.
fn data_digest(data: &[u8], padding: &[u8]) -> [u8; DIGEST_LEN] {
    crc32c::crc32c_append(crc32c::crc32c(data), padding).to_le_bytes()
}

/// Decodes PDUs from bytes that come in pieces of any size. Holds at most one PDU.
pub struct PduDecoder {
    digests: Digests,
    max_data_segment: usize,
    /// Header segments and header digest, as far as they have come.
    header: Vec<u8>,
    data: Vec<u8>,
    /// Padding and data digest, as far as they have come.
    trailer: [u8; MAX_TRAILER_LEN],
    trailer_len: usize,
}

impl PduDecoder {
    /// A decoder without digests that accepts data segments of up to `max_data_segment` bytes.
    pub fn new(max_data_segment: usize) -> Self {
        PduDecoder {
            digests: Digests::default(),
            max_data_segment,
            header: Vec::new(),
            data: Vec::new(),
            trailer: [0; MAX_TRAILER_LEN],
            trailer_len: 0,
        }
    }

    /// Sets what was negotiated, with effect from the next PDU on.
    pub fn set_limits(&mut self, digests: Digests, max_data_segment: usize) {
        (self.digests, self.max_data_segment) = (digests, max_data_segment);
    }

    /// Whether a PDU has begun and is not complete yet.
    pub fn is_mid_pdu(&self) -> bool {
        !self.header.is_empty()
    }

    /// Bytes of memory allocated for the PDU that is coming in.
    pub fn allocated_bytes(&self) -> usize {
        self.header.capacity() + self.data.capacity()
    }

    /// Takes bytes off the front of `input` until a PDU is complete or `input` is empty.
    ///
    /// # Errors
    /// A digest does not match, or the data segment is too long.
    pub fn decode(&mut self, input: &mut &[u8]) -> Result<Option<Pdu>, FrameError> {
        if !self.fill_header(input, BHS_LEN) {
            return Ok(None);
        }
        let bhs = self.bhs();
        let segments_len = BHS_LEN + bhs.ahs_len();
        let header_len = segments_len + if self.digests.header { DIGEST_LEN } else { 0 };
        if !self.fill_header(input, header_len) {
            return Ok(None);
        }
        if self.data.is_empty() && self.trailer_len == 0 {
            self.check_header(segments_len, bhs.data_len())?;
            self.data.reserve_exact(bhs.data_len());
        }
        if !self.fill_data(input, bhs.data_len()) {
            return Ok(None);
        }
        self.finish_pdu(bhs).map(Some)
    }

    /// Reads header bytes until there are `len`; whether there are.
    fn fill_header(&mut self, input: &mut &[u8], len: usize) -> bool {
        let missing = len.saturating_sub(self.header.len());
        self.header.extend_from_slice(take_front(input, missing));
        self.header.len() >= len
    }

    fn bhs(&self) -> Bhs {
        let mut bytes = [0; BHS_LEN];
        bytes.copy_from_slice(&self.header[..BHS_LEN]);
        Bhs::from_bytes(bytes)
    }

    fn check_header(&self, segments_len: usize, data_len: usize) -> Result<(), FrameError> {
        let (segments, digest) = self.header.split_at(segments_len);
        if self.digests.header && crc32c::crc32c(segments).to_le_bytes() != digest {
            return Err(FrameError::HeaderDigest);
        }
        if data_len > self.max_data_segment {
            return Err(FrameError::DataSegmentTooLong {
                len: data_len,
                limit: self.max_data_segment,
            });
        }
        Ok(())
    }

    /// Reads the data segment, its padding and its digest; whether all of them are there.
    fn fill_data(&mut self, input: &mut &[u8], len: usize) -> bool {
        let missing = len - self.data.len();
        self.data.extend_from_slice(take_front(input, missing));
        let trailer_len = padded(len) - len
            + if self.has_data_digest(len) {
                DIGEST_LEN
            } else {
                0
            };
        let bytes = take_front(input, trailer_len - self.trailer_len);
        self.trailer[self.trailer_len..self.trailer_len + bytes.len()].copy_from_slice(bytes);
        self.trailer_len += bytes.len();
        self.data.len() == len && self.trailer_len == trailer_len
    }

    fn has_data_digest(&self, data_len: usize) -> bool {
        self.digests.data && data_len > 0
    }

    fn finish_pdu(&mut self, bhs: Bhs) -> Result<Pdu, FrameError> {
        self.header.clear();
        self.trailer_len = 0;
        let data = std::mem::take(&mut self.data);
        if self.has_data_digest(data.len()) {
            let (padding, rest) = self.trailer.split_at(padded(data.len()) - data.len());
            if data_digest(&data, padding) != rest[..DIGEST_LEN] {
                return Err(FrameError::DataDigest(bhs));
            }
        }
        Ok(Pdu { bhs, data })
    }
}

/// Takes up to `len` bytes off the front of `input`.
fn take_front<'a>(input: &mut &'a [u8], len: usize) -> &'a [u8] {
    let (taken, rest) = input.split_at(len.min(input.len()));
    *input = rest;
    taken
}

/// Encoded PDUs that wait to be written to a stream, with their position in it.
#[derive(Default)]
pub struct SendBuffer {
    bytes: Vec<u8>,
    /// Index of the first unsent byte.
    start: usize,
    sent: u64,
    digests: Digests,
}

/// Largest allocation in bytes that an empty buffer keeps for the next PDUs; also how many sent bytes are
/// left at its front before the rest is moved down.
const RETAINED_CAPACITY: usize = 16 * 1024;

impl SendBuffer {
    /// Sets what was negotiated, with effect from the next PDU on.
    pub fn set_digests(&mut self, digests: Digests) {
        self.digests = digests;
    }

    /// Appends a PDU. Sets the data segment length in its header.
    pub fn push(&mut self, mut bhs: Bhs, data: &[u8]) {
        bhs.set_data_len(data.len());
        self.bytes.extend_from_slice(bhs.as_bytes());
        if self.digests.header {
            self.bytes
                .extend_from_slice(&crc32c::crc32c(bhs.as_bytes()).to_le_bytes());
        }
        if data.is_empty() {
            return;
        }
        let padding = &[0; 3][..padded(data.len()) - data.len()];
        self.bytes.extend_from_slice(data);
        self.bytes.extend_from_slice(padding);
        if self.digests.data {
            self.bytes.extend_from_slice(&data_digest(data, padding));
        }
    }

    /// The bytes that wait to be written.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// Takes note that the first `len` unsent bytes were written.
    pub fn mark_sent(&mut self, len: usize) {
        self.start += len;
        self.sent += len as u64;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > RETAINED_CAPACITY {
                self.bytes = Vec::new();
            }
        } else if self.start > RETAINED_CAPACITY {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }

    /// Bytes written since the stream opened.
    pub fn sent_bytes(&self) -> u64 {
        self.sent
    }

    /// Offset in the stream of the next byte that is pushed.
    pub fn end_offset(&self) -> u64 {
        self.sent + self.unsent().len() as u64
    }

    /// Bytes of memory allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}
