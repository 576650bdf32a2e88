//! What writer and reader share: constants of the format, the header, and the state of a stream.
use blake3::{Hash, Hasher};

/// The first bytes of every stream.
pub(crate) const MAGIC: [u8; 8] = *b"MSEAM1\n\0";
/// The first byte of a frame.
pub(crate) const FRAME_TAG: u8 = b'F';
/// The first byte of the end record.
pub(crate) const END_TAG: u8 = b'E';
/// Bytes of a BLAKE3 hash.
pub(crate) const HASH_BYTES: usize = blake3::OUT_LEN;
/// Bytes of a frame but for its data: tag, index, length, hash.
const FRAME_OVERHEAD: u64 = 1 + 4 + 4 + HASH_BYTES as u64;
/// Bytes of the end record: tag, number of frames, hash.
pub(crate) const END_BYTES: u64 = 1 + 4 + HASH_BYTES as u64;
/// Largest extent that is accepted, in bytes: a damaged length must not allocate all memory.
const MAX_EXTENT_BYTES: u32 = 256 << 20;
/// Longest name of a snapshot, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The header of a stream: what it contains.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name of the snapshot, at most 256 bytes.
    pub name: String,
    /// Size of an extent in bytes, at most 256 MiB.
    pub extent_bytes: u32,
    /// Size of the snapshot in extents.
    pub extent_count: u32,
}

impl Header {
    /// The bytes of the header but for its hash. None: the name or the extents are out of bounds.
    pub(crate) fn encode(&self) -> Option<Vec<u8>> {
        let fixed = FixedHeader {
            extent_bytes: self.extent_bytes,
            extent_count: self.extent_count,
            name_bytes: u16::try_from(self.name.len()).ok()?,
        };
        if !fixed.is_within_bounds() {
            return None;
        }
        let mut out = fixed.encode().to_vec();
        out.extend_from_slice(self.name.as_bytes());
        Some(out)
    }
}

/// The fields of a header in front of the name.
pub(crate) struct FixedHeader {
    pub(crate) extent_bytes: u32,
    pub(crate) extent_count: u32,
    /// Length of the name in bytes.
    pub(crate) name_bytes: u16,
}

impl FixedHeader {
    /// Bytes of all fields, with [`MAGIC`] in front.
    pub(crate) const BYTES: usize = 18;

    fn encode(&self) -> [u8; FixedHeader::BYTES] {
        let mut out = [0; FixedHeader::BYTES];
        out[..8].copy_from_slice(&MAGIC);
        out[8..12].copy_from_slice(&self.extent_bytes.to_le_bytes());
        out[12..16].copy_from_slice(&self.extent_count.to_le_bytes());
        out[16..].copy_from_slice(&self.name_bytes.to_le_bytes());
        out
    }

    /// The fields in these bytes. None: they are no header, or its sizes are out of bounds.
    pub(crate) fn decode(bytes: [u8; FixedHeader::BYTES]) -> Option<FixedHeader> {
        let header = FixedHeader {
            extent_bytes: u32::from_le_bytes(field_at(&bytes, 8)),
            extent_count: u32::from_le_bytes(field_at(&bytes, 12)),
            name_bytes: u16::from_le_bytes(field_at(&bytes, 16)),
        };
        let is_header = field_at(&bytes, 0) == MAGIC && header.is_within_bounds();
        is_header.then_some(header)
    }

    fn is_within_bounds(&self) -> bool {
        usize::from(self.name_bytes) <= MAX_NAME_BYTES
            && (1..=MAX_EXTENT_BYTES).contains(&self.extent_bytes)
    }
}

/// The bytes of a field. Offset and length are those of the format, which are within the header.
fn field_at<const N: usize>(header: &[u8; FixedHeader::BYTES], offset: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&header[offset..offset + N]);
    field
}

/// The state of a stream after its last complete record, from which a writer can resume it.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// Bytes of complete records.
    pub valid_bytes: u64,
    /// Index of the last extent. None: there is no frame yet.
    pub last_extent: Option<u32>,
    /// Number of frames.
    pub frame_count: u32,
    /// Over the hashes of header and frames.
    hasher: Hasher,
}

impl ResumePoint {
    /// The state after the header.
    pub(crate) fn after_header(header_bytes: usize, header_hash: &Hash) -> ResumePoint {
        let mut hasher = Hasher::new();
        hasher.update(header_hash.as_bytes());
        let valid_bytes = (header_bytes + HASH_BYTES) as u64;
        ResumePoint {
            valid_bytes,
            last_extent: None,
            frame_count: 0,
            hasher,
        }
    }

    /// Moves on past a frame.
    pub(crate) fn add_frame(&mut self, extent: u32, data_bytes: usize, hash: &Hash) {
        self.hasher.update(hash.as_bytes());
        self.last_extent = Some(extent);
        self.frame_count += 1;
        self.valid_bytes += FRAME_OVERHEAD + data_bytes as u64;
    }

    /// The hash in the end record of a stream that ends here.
    pub(crate) fn end_hash(&self) -> Hash {
        self.hasher.finalize()
    }
}

pub(crate) fn frame_hash(extent: u32, compressed: &[u8]) -> Hash {
    let mut hasher = Hasher::new();
    hasher.update(&extent.to_le_bytes());
    hasher.update(compressed);
    hasher.finalize()
}
