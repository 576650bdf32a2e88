//! The format of a stream, which writer and reader share: its constants, the header, and the state of a stream.
use blake3::{Hash, Hasher};

/// First bytes of every stream.
pub(crate) const MAGIC: [u8; 8] = *b"MSEAM1\n\0";
/// First byte of a frame.
pub(crate) const FRAME_TAG: u8 = b'F';
/// First byte of the end record.
pub(crate) const END_TAG: u8 = b'E';
/// Size of a BLAKE3 hash, in bytes.
pub(crate) const HASH_BYTES: usize = blake3::OUT_LEN;
/// Size of a frame without its data (tag, index, length and hash), in bytes.
const FRAME_OVERHEAD_BYTES: u64 = 1 + 4 + 4 + HASH_BYTES as u64;
/// Size of the end record (tag, number of frames and hash), in bytes.
pub(crate) const END_BYTES: u64 = 1 + 4 + HASH_BYTES as u64;
/// Maximum size of an extent, in bytes. The limit keeps a damaged header from allocating all memory.
const MAX_EXTENT_BYTES: u32 = 256 << 20;
/// Maximum length of the name of a snapshot, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// The header of a stream, which describes the snapshot.
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
    /// Returns the bytes of the header without its hash, or `None` if the name or the size of an extent is out of
    /// bounds.
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

/// The fields of a header before the name, which have a fixed size.
pub(crate) struct FixedHeader {
    pub(crate) extent_bytes: u32,
    pub(crate) extent_count: u32,
    /// Length of the name in bytes.
    pub(crate) name_bytes: u16,
}

impl FixedHeader {
    /// Size of [`MAGIC`] and all fixed fields, in bytes.
    pub(crate) const BYTES: usize = 18;

    fn encode(&self) -> [u8; FixedHeader::BYTES] {
        let mut out = [0; FixedHeader::BYTES];
        out[..8].copy_from_slice(&MAGIC);
        out[8..12].copy_from_slice(&self.extent_bytes.to_le_bytes());
        out[12..16].copy_from_slice(&self.extent_count.to_le_bytes());
        out[16..].copy_from_slice(&self.name_bytes.to_le_bytes());
        out
    }

    /// Returns the fields in these bytes, or `None` if the bytes are no header or a size in it is out of bounds.
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

/// Returns the bytes of a field. The offset and the length `N` are constants of the format, which lie within the
/// header.
fn field_at<const N: usize>(header: &[u8; FixedHeader::BYTES], offset: usize) -> [u8; N] {
    let mut field = [0; N];
    field.copy_from_slice(&header[offset..offset + N]);
    field
}

/// The state of a stream after its last complete record, from which a writer can resume it.
#[derive(Clone, Debug)]
pub struct ResumePoint {
    /// Length of all complete records, in bytes.
    pub valid_bytes: u64,
    /// Index of the extent in the last frame. None: there is no frame yet.
    pub last_extent: Option<u32>,
    /// Number of complete frames.
    pub frame_count: u32,
    /// Hasher over the hashes of the header and the frames.
    hasher: Hasher,
}

impl ResumePoint {
    /// Returns the state of a stream after its header.
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

    /// Advances the state by a frame.
    pub(crate) fn add_frame(&mut self, extent: u32, data_bytes: usize, hash: &Hash) {
        self.hasher.update(hash.as_bytes());
        self.last_extent = Some(extent);
        self.frame_count += 1;
        self.valid_bytes += FRAME_OVERHEAD_BYTES + data_bytes as u64;
    }

    /// Returns the hash of the end record of a stream that ends in this state.
    pub(crate) fn end_hash(&self) -> Hash {
        self.hasher.finalize()
    }
}

/// Returns the hash of a frame, over the index of the extent and its compressed data.
pub(crate) fn frame_hash(extent: u32, compressed: &[u8]) -> Hash {
    let mut hasher = Hasher::new();
    hasher.update(&extent.to_le_bytes());
    hasher.update(compressed);
    hasher.finalize()
}
