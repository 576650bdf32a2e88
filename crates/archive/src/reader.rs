//! Reads a snapshot stream.
use crate::error::Error;
use crate::format::{END_TAG, FRAME_TAG, FixedHeader, HASH_BYTES, Header, ResumePoint, frame_hash};
use std::io::Read;

/// A record of a stream after its header.
#[derive(Debug, PartialEq, Eq)]
pub enum Record {
    /// A frame with an extent.
    Extent {
        /// Index of the extent.
        index: u32,
        /// Uncompressed data of the extent.
        data: Vec<u8>,
    },
    /// The end record of a complete stream.
    End,
}

/// Reads a snapshot stream from an input.
pub struct Reader<R> {
    input: R,
    header: Header,
    position: ResumePoint,
}

impl<R: Read> Reader<R> {
    /// Returns a reader that has read the header.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Damaged`] if the input is no snapshot stream, or its header is damaged or truncated.
    pub fn new(mut input: R) -> Result<Self, Error> {
        let no_header = || Error::damaged(0, "the header of a snapshot stream");
        let mut fixed = [0; FixedHeader::BYTES];
        input.read_exact(&mut fixed).map_err(|_| no_header())?;
        let fields = FixedHeader::decode(fixed).ok_or_else(no_header)?;
        let name_length = usize::from(fields.name_bytes);
        let mut rest = vec![0; name_length + HASH_BYTES];
        input.read_exact(&mut rest).map_err(|_| no_header())?;
        let (name, stored_hash) = rest.split_at(name_length);
        let bytes = [&fixed[..], name].concat();
        let hash = blake3::hash(&bytes);
        if hash.as_bytes()[..] != *stored_hash {
            return Err(Error::damaged(bytes.len() as u64, "the hash of the header"));
        }
        let name = String::from_utf8(name.to_vec())
            .map_err(|_| Error::damaged(FixedHeader::BYTES as u64, "a snapshot name in UTF-8"))?;
        let position = ResumePoint::after_header(bytes.len(), &hash);
        Ok(Reader {
            input,
            header: Header {
                name,
                extent_bytes: fields.extent_bytes,
                extent_count: fields.extent_count,
            },
            position,
        })
    }

    /// Returns the header of the stream.
    pub fn header(&self) -> &Header {
        &self.header
    }

    /// Returns the state of the stream after the last complete record that was read.
    pub fn resume_point(&self) -> &ResumePoint {
        &self.position
    }

    /// Reads the next record.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Damaged`] if the record is damaged or truncated. The resume point stays before that record.
    pub fn next_record(&mut self) -> Result<Record, Error> {
        // In a frame, the value is the index of the extent; in the end record, the number of frames.
        let [tag, value @ ..] = self.read_array::<5>()?;
        let value = u32::from_le_bytes(value);
        match tag {
            FRAME_TAG => self.read_extent(value),
            END_TAG => self.read_end(value),
            _ => Err(self.damaged("a frame or the end record")),
        }
    }

    fn read_extent(&mut self, index: u32) -> Result<Record, Error> {
        let is_ascending = self.position.last_extent.is_none_or(|last| index > last);
        if index >= self.header.extent_count || !is_ascending {
            return Err(self.damaged("an extent of the snapshot, in ascending order"));
        }
        let length = u32::from_le_bytes(self.read_array()?) as usize;
        let extent_bytes = self.header.extent_bytes as usize;
        if length > max_compressed_bytes(extent_bytes) {
            return Err(self.damaged("a length of compressed data that fits an extent"));
        }
        let mut compressed = vec![0; length];
        self.read(&mut compressed)?;
        let stored_hash: [u8; HASH_BYTES] = self.read_array()?;
        // The hash is checked first, so that damaged data is never decompressed.
        let hash = frame_hash(index, &compressed);
        if *hash.as_bytes() != stored_hash {
            return Err(self.damaged("data that fits its hash"));
        }
        let data = zstd::bulk::decompress(&compressed, extent_bytes).ok();
        let data = data.filter(|data| data.len() == extent_bytes);
        let data = data.ok_or_else(|| self.damaged("data that decompresses to one extent"))?;
        self.position.add_frame(index, length, &hash);
        Ok(Record::Extent { index, data })
    }

    fn read_end(&mut self, frame_count: u32) -> Result<Record, Error> {
        let stored_hash: [u8; HASH_BYTES] = self.read_array()?;
        if frame_count != self.position.frame_count
            || *self.position.end_hash().as_bytes() != stored_hash
        {
            return Err(self.damaged("an end record that matches the frames before it"));
        }
        Ok(Record::End)
    }

    fn read_array<const N: usize>(&mut self) -> Result<[u8; N], Error> {
        let mut bytes = [0; N];
        self.read(&mut bytes)?;
        Ok(bytes)
    }

    fn read(&mut self, out: &mut [u8]) -> Result<(), Error> {
        self.input
            .read_exact(out)
            .map_err(|_| self.damaged("a complete frame or end record"))
    }

    /// Returns an error about the record that is being read.
    fn damaged(&self, expected: &'static str) -> Error {
        Error::damaged(self.position.valid_bytes, expected)
    }
}

/// Returns the maximum length of a compressed extent, in bytes. Data that cannot be compressed grows only by a small
/// overhead, so a longer frame is damaged and must not allocate memory.
fn max_compressed_bytes(extent_bytes: usize) -> usize {
    extent_bytes + extent_bytes / 8 + 1024
}
