//! Decoding of PDUs from a byte stream.
use super::{DIGEST_LEN, Digests, FrameError, data_digest, padded};
use crate::pdu::{BHS_LEN, Bhs, Pdu};

/// Maximum number of bytes that follow a data segment: three bytes of padding and a digest.
const MAX_TRAILER_LEN: usize = 3 + DIGEST_LEN;

/// Decoder of PDUs from bytes that arrive in pieces of any size. Buffers at most one PDU.
pub struct PduDecoder {
    digests: Digests,
    max_data_segment: usize,
    /// Header segments and header digest, as far as received.
    header: Vec<u8>,
    data: Vec<u8>,
    /// Padding and data digest, as far as received.
    trailer: [u8; MAX_TRAILER_LEN],
    trailer_len: usize,
}

impl PduDecoder {
    /// Returns a decoder that expects no digests and accepts data segments of up to `max_data_segment` bytes.
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

    /// Sets the negotiated digests and maximum data segment length (in bytes), with effect from the next PDU on.
    pub fn set_limits(&mut self, digests: Digests, max_data_segment: usize) {
        self.digests = digests;
        self.max_data_segment = max_data_segment;
    }

    /// Returns whether a PDU has been received in part.
    pub fn is_mid_pdu(&self) -> bool {
        !self.header.is_empty()
    }

    /// Returns the number of bytes that have been received of a PDU that is not complete.
    pub fn received_bytes(&self) -> usize {
        self.header.len() + self.data.len()
    }

    /// Returns the memory allocated for the PDU that is being received, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.header.capacity() + self.data.capacity()
    }

    /// Consumes bytes from the front of `input` until a PDU is complete or `input` is empty. Returns the PDU, or
    /// `None` if more bytes are needed.
    ///
    /// # Errors
    /// Fails if a digest does not match or the data segment is too long.
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

    /// Reads header bytes from `input` until `len` of them are buffered; returns whether they are.
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

    /// Reads the data segment of `len` bytes, its padding and its digest; returns whether they are complete.
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

/// Removes up to `len` bytes from the front of `input` and returns them.
fn take_front<'a>(input: &mut &'a [u8], len: usize) -> &'a [u8] {
    let (taken, rest) = input.split_at(len.min(input.len()));
    *input = rest;
    taken
}
