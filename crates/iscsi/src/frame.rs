//! PDUs from and to a byte stream, with their digests (RFC 7143, sections 11.2 and 13.1).
use crate::pdu::{BHS_LEN, Bhs, Pdu};
use std::fmt;

/// Which digests both sides have agreed on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digests {
    pub header: bool,
    pub data: bool,
}

/// Why a stream cannot be read on. All but `DataDigest` leave no way to find the next PDU.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameError {
    HeaderDigest,
    /// The header is sound and the stream goes on behind this PDU.
    DataDigest(Bhs),
    /// Data segment longer than this side said it takes: length, and what was agreed.
    TooLong(usize, usize),
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::HeaderDigest => write!(f, "header digest does not match"),
            FrameError::DataDigest(bhs) => {
                write!(f, "data digest does not match (opcode {:#04x})", bhs.opcode())
            }
            FrameError::TooLong(len, most) => {
                write!(f, "data segment of {len} bytes, at most {most} agreed")
            }
        }
    }
}

/// Reads PDUs as their bytes come in, in pieces of any size. Holds at most one PDU.
pub struct PduDecoder {
    digests: Digests,
    most: usize,
    header: Vec<u8>,
    data: Vec<u8>,
    trailer: usize,
    tail: [u8; 8],
}

fn padded(len: usize) -> usize {
    len.next_multiple_of(4)
}

impl PduDecoder {
    /// `most`: the longest data segment in bytes that is taken.
    pub fn new(most: usize) -> Self {
        PduDecoder {
            digests: Digests::default(),
            most,
            header: Vec::new(),
            data: Vec::new(),
            trailer: 0,
            tail: [0; 8],
        }
    }

    /// Takes effect from the next PDU on.
    pub fn set_limits(&mut self, digests: Digests, most: usize) {
        (self.digests, self.most) = (digests, most);
    }

    /// Whether a PDU has begun and is not whole yet.
    pub fn is_mid_pdu(&self) -> bool {
        !self.header.is_empty()
    }

    /// Bytes of memory held for the PDU that is coming in.
    pub fn allocated_bytes(&self) -> usize {
        self.header.capacity() + self.data.capacity()
    }

    /// Takes bytes off the front of `input` until a PDU is whole or `input` is empty.
    pub fn decode(&mut self, input: &mut &[u8]) -> Result<Option<Pdu>, FrameError> {
        // The usual case: header and data of a PDU stand together in the input.
        if self.header.len() < BHS_LEN && !self.fill_header(input, BHS_LEN) {
            return Ok(None);
        }
        let bhs = self.bhs();
        let ahs = BHS_LEN + bhs.ahs_len();
        let header_len = ahs + if self.digests.header { 4 } else { 0 };
        if self.header.len() < header_len && !self.fill_header(input, header_len) {
            return Ok(None);
        }
        let len = bhs.data_len();
        if self.data.is_empty() && self.trailer == 0 {
            if self.digests.header && crc32c::crc32c(&self.header[..ahs]).to_le_bytes() != self.header[ahs..]
            {
                return Err(FrameError::HeaderDigest);
            }
            if len > self.most {
                return Err(FrameError::TooLong(len, self.most));
            }
            self.data.reserve_exact(len);
        }
        let take = (len - self.data.len()).min(input.len());
        self.data.extend_from_slice(&input[..take]);
        *input = &input[take..];
        let digest = self.digests.data && len > 0;
        let trailer = padded(len) - len + if digest { 4 } else { 0 };
        let take = (trailer - self.trailer).min(input.len());
        self.tail[self.trailer..self.trailer + take].copy_from_slice(&input[..take]);
        self.trailer += take;
        *input = &input[take..];
        if self.data.len() < len || self.trailer < trailer {
            return Ok(None);
        }
        self.header.clear();
        self.trailer = 0;
        let data = std::mem::take(&mut self.data);
        if digest {
            let padding = padded(len) - len;
            let crc = crc32c::crc32c_append(crc32c::crc32c(&data), &self.tail[..padding]);
            if crc.to_le_bytes() != self.tail[padding..padding + 4] {
                return Err(FrameError::DataDigest(bhs));
            }
        }
        Ok(Some(Pdu { bhs, data }))
    }

    fn fill_header(&mut self, input: &mut &[u8], len: usize) -> bool {
        let take = (len - self.header.len()).min(input.len());
        self.header.extend_from_slice(&input[..take]);
        *input = &input[take..];
        self.header.len() == len
    }

    fn bhs(&self) -> Bhs {
        let mut bytes = [0; BHS_LEN];
        bytes.copy_from_slice(&self.header[..BHS_LEN]);
        Bhs(bytes)
    }
}

/// Bytes that wait to be written to a stream, with their place in it.
#[derive(Default)]
pub struct SendBuffer {
    bytes: Vec<u8>,
    start: usize,
    written: u64,
    digests: Digests,
}

/// Kept as room for the next bytes; a larger buffer is given back once it is empty.
const KEEP: usize = 16 * 1024;

impl SendBuffer {
    pub fn set_digests(&mut self, digests: Digests) {
        self.digests = digests;
    }

    /// Puts a PDU behind what waits; the header's data length is set here.
    pub fn push(&mut self, mut bhs: Bhs, data: &[u8]) {
        bhs.set_data_len(data.len());
        self.bytes.extend_from_slice(&bhs.0);
        if self.digests.header {
            self.bytes.extend_from_slice(&crc32c::crc32c(&bhs.0).to_le_bytes());
        }
        if data.is_empty() {
            return;
        }
        let padding = padded(data.len()) - data.len();
        self.bytes.extend_from_slice(data);
        self.bytes.extend_from_slice(&[0; 3][..padding]);
        if self.digests.data {
            let crc = crc32c::crc32c_append(crc32c::crc32c(data), &[0; 3][..padding]);
            self.bytes.extend_from_slice(&crc.to_le_bytes());
        }
    }

    /// What waits to be written.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    /// The first `n` waiting bytes were written.
    pub fn mark_sent(&mut self, n: usize) {
        self.start += n;
        self.written += n as u64;
        if self.start == self.bytes.len() {
            self.bytes.clear();
            self.start = 0;
            if self.bytes.capacity() > KEEP {
                self.bytes = Vec::new();
            }
        } else if self.start > KEEP {
            self.bytes.drain(..self.start);
            self.start = 0;
        }
    }

    /// Bytes written since the stream opened.
    pub fn sent_bytes(&self) -> u64 {
        self.written
    }

    /// Offset in the stream of the next byte that is pushed.
    pub fn end_offset(&self) -> u64 {
        self.written + self.unsent().len() as u64
    }

    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }
}
