//! Writes a snapshot stream.
use crate::error::Error;
use crate::format::{END_BYTES, END_TAG, FRAME_TAG, Header, ResumePoint, frame_hash};
use std::io::Write;

/// Compression level, which is the default of zstd. Pages of databases become little smaller at higher levels.
const COMPRESSION_LEVEL: i32 = 3;

/// Writes a snapshot stream to an output.
pub struct Writer<W> {
    out: W,
    position: ResumePoint,
}

impl<W: Write> Writer<W> {
    /// Begins a stream and writes its header.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Damaged`] if the name is longer than 256 bytes, or the size of an extent is 0 or more than
    /// 256 MiB. Returns the errors of the output.
    pub fn new(mut out: W, header: &Header) -> Result<Self, Error> {
        let out_of_bounds = "a name of up to 256 bytes and extents of up to 256 MiB";
        let bytes = header.encode().ok_or(Error::damaged(0, out_of_bounds))?;
        let hash = blake3::hash(&bytes);
        out.write_all(&bytes)?;
        out.write_all(hash.as_bytes())?;
        Ok(Writer {
            out,
            position: ResumePoint::after_header(bytes.len(), &hash),
        })
    }

    /// Resumes a stream. The output must be positioned after its last complete record.
    pub fn resume(out: W, position: ResumePoint) -> Self {
        Writer { out, position }
    }

    /// Writes an extent. Extents have to be written in ascending order. Extents that contain only zeros need not be
    /// written.
    ///
    /// # Errors
    ///
    /// Returns the errors of compression and of the output.
    pub fn write_extent(&mut self, index: u32, data: &[u8]) -> Result<(), Error> {
        let compressed = zstd::bulk::compress(data, COMPRESSION_LEVEL)?;
        let hash = frame_hash(index, &compressed);
        self.out.write_all(&[FRAME_TAG])?;
        self.out.write_all(&index.to_le_bytes())?;
        self.out
            .write_all(&(compressed.len() as u32).to_le_bytes())?;
        self.out.write_all(&compressed)?;
        self.out.write_all(hash.as_bytes())?;
        self.position.add_frame(index, compressed.len(), &hash);
        Ok(())
    }

    /// Ends the stream with the end record. Returns the length of the stream in bytes.
    ///
    /// # Errors
    ///
    /// Returns the errors of the output.
    pub fn finish(mut self) -> Result<u64, Error> {
        self.out.write_all(&[END_TAG])?;
        self.out
            .write_all(&self.position.frame_count.to_le_bytes())?;
        self.out.write_all(self.position.end_hash().as_bytes())?;
        self.out.flush()?;
        Ok(self.position.valid_bytes + END_BYTES)
    }
}
